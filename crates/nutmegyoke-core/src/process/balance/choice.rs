//! The choice among endpoints with similar expected times.

/// An endpoint that a request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The cost of sending the request there, in milliseconds.
    pub cost: f64,
    /// By how much the true cost may differ, because the load is known from old reports.
    pub spread: f64,
    /// The share of its requests that it may get, see [`super::Failures::share`].
    pub share: f64,
}

/// Chooses among candidates; returns the index, or `None` if there is none. `random` is called
/// for numbers that are uniform in 0..1.
///
/// Candidates whose cost is above the lowest by less than the larger of the two spreads are chosen
/// at random, the nearer the more often. So gateways with the same view choose differently, but
/// only where the view does not tell which endpoint is better.
pub fn choose(candidates: &[Candidate], mut random: impl FnMut() -> f64) -> Option<usize> {
    let all = 0..candidates.len();
    if candidates.iter().all(|candidate| candidate.share >= 1.0) {
        return draw(candidates, all, random);
    }
    let mut allowed: Vec<usize> = all.clone().collect();
    allowed.retain(|&index| candidates[index].share >= 1.0 || random() < candidates[index].share);
    if allowed.is_empty() {
        return draw(candidates, all, random);
    }
    draw(candidates, allowed.into_iter(), random)
}

/// Draws one of the candidates with these indices.
fn draw(
    candidates: &[Candidate],
    indices: impl Iterator<Item = usize> + Clone,
    mut random: impl FnMut() -> f64,
) -> Option<usize> {
    let cost = |&index: &usize| candidates[index].cost;
    let best = indices.clone().min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
    let weight = |index: usize| {
        let candidate = &candidates[index];
        let spread = candidate.spread.max(candidates[best].spread);
        let excess = candidate.cost - candidates[best].cost;
        if excess <= 0.0 {
            1.0
        } else if excess < spread {
            1.0 - excess / spread
        } else {
            0.0
        }
    };
    let total: f64 = indices.clone().map(weight).sum();
    let mut point = random() * total;
    for index in indices {
        point -= weight(index);
        if point < 0.0 {
            return Some(index);
        }
    }
    Some(best)
}
