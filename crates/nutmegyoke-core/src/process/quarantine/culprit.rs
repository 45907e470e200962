//! Prompt parts that are taken to crash endpoints, and the inference from crashes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::Crash;

/// The most crashes that an inference is drawn from.
pub const MAX_CRASHES: usize = 64;

/// The number of moments with a crash after which a part is taken to cause them. Two could be
/// chance: the requests of one session often run on the engine that crashes.
pub const MIN_MOMENTS: usize = 3;

/// A part has to explain one moment more for each this many that it does not explain between
/// its first and its last crash: the more engines crash for other reasons, the more parts run
/// on several of them by chance.
const UNEXPLAINED_PER_MOMENT: usize = 8;

/// Crashes closer than this count as one moment, because one fault, such as the loss of a
/// rack, may end several endpoints at once.
const MOMENT: Duration = Duration::from_millis(250);

/// The parts that crash an endpoint when a request has all of them. Usually it is one part;
/// more if none of them ever came without the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Culprit {
    /// The parts, in the order of the prompt.
    pub parts: Vec<u64>,
    /// The number of crashes that they explain.
    pub crashes: usize,
    /// When the latest of these was.
    pub latest: Instant,
    /// How long requests are refused after it.
    duration: Duration,
}

impl Culprit {
    /// Whether a request with these shared parts would crash an endpoint.
    #[must_use]
    pub fn matches(&self, parts: &[u64]) -> bool {
        contains_all(parts, &self.parts)
    }

    /// When requests are no longer refused, unless there is another crash.
    #[must_use]
    pub fn until(&self) -> Instant {
        self.latest + self.duration
    }
}

/// A set of crashes, with a bit for each.
type Mask = u64;

/// Finds the culprits: repeatedly the parts that explain most of the crashes that no earlier
/// culprit explains. A sound part that comes with several culprits, such as a common first
/// part, explains more than each of them, but a success clears it within a moment.
pub fn find<'a>(
    crashes: impl Iterator<Item = &'a Crash>,
    quarantine_time: Duration,
) -> Vec<Culprit> {
    let mut crashes: Vec<&Crash> = crashes.collect();
    crashes.sort_by_key(|crash| crash.at);
    let moments = moments(&crashes);
    let mut masks: BTreeMap<u64, Mask> = BTreeMap::new();
    for (index, crash) in crashes.iter().enumerate().take(MAX_CRASHES) {
        for &part in crash.suspects.iter().flatten() {
            *masks.entry(part).or_default() |= 1 << index;
        }
    }
    let count = |mask: Mask| moments.iter().filter(|&moment| moment & mask != 0).count();
    let suffices = |mask: Mask, unexplained: Mask| {
        let explained = count(mask & unexplained);
        let others = count(span(mask) & unexplained).saturating_sub(explained);
        explained >= MIN_MOMENTS + others / UNEXPLAINED_PER_MOMENT
    };
    let mut culprits = Vec::new();
    let mut unexplained = Mask::MAX;
    loop {
        let sufficient = masks.values().copied();
        let sufficient = sufficient.filter(|&mask| suffices(mask, unexplained));
        let Some(best) = sufficient.max_by_key(|mask| count(mask & unexplained)) else {
            return culprits;
        };
        unexplained &= !best;
        let explained = crashes.iter().enumerate();
        let explained = explained.filter(|(index, _)| best & (1 << index) != 0);
        let explained: Vec<&Crash> = explained.map(|(_, crash)| *crash).collect();
        let Some(latest) = explained.last().map(|crash| crash.at) else {
            return culprits;
        };
        for parts in groups(&explained, |part| masks.get(&part) == Some(&best)) {
            culprits.push(Culprit {
                parts,
                crashes: explained.len(),
                latest,
                duration: quarantine_time,
            });
        }
    }
}

/// All crashes from the first to the last of a set.
fn span(mask: Mask) -> Mask {
    let from = Mask::MAX.checked_shl(mask.trailing_zeros()).unwrap_or(0);
    let until = Mask::MAX.checked_shr(mask.leading_zeros()).unwrap_or(0);
    from & until
}

/// The crashes of each moment; `crashes` is in order of time.
fn moments(crashes: &[&Crash]) -> Vec<Mask> {
    let mut moments: Vec<(Instant, Mask)> = Vec::new();
    for (index, crash) in crashes.iter().enumerate().take(MAX_CRASHES) {
        match moments.last_mut() {
            Some((start, mask)) if crash.at < *start + MOMENT => *mask |= 1 << index,
            _ => moments.push((crash.at, 1 << index)),
        }
    }
    moments.into_iter().map(|(_, mask)| mask).collect()
}

/// Groups the parts that are equally suspect: those that came in one request at each of the
/// crashes stay together, since none is known to crash an endpoint without the others. The
/// others are groups of their own.
fn groups(crashes: &[&Crash], is_equal: impl Fn(u64) -> bool) -> Vec<Vec<u64>> {
    let Some(first) = crashes.first() else {
        return Vec::new();
    };
    let candidates = first.suspects.iter().map(|suspect| {
        let parts = suspect.iter().copied().filter(|&part| is_equal(part));
        parts.collect::<Vec<u64>>()
    });
    let (mut together, apart): (Vec<_>, Vec<_>) = candidates.partition(|parts| {
        crashes.iter().all(|crash| {
            let mut suspects = crash.suspects.iter();
            suspects.any(|suspect| contains_all(suspect, parts))
        })
    });
    together.extend(apart.into_iter().flatten().map(|part| vec![part]));
    // The largest first, so that a group is dropped if it is a part of another one.
    together.sort_by_key(|parts| std::cmp::Reverse(parts.len()));
    let mut groups: Vec<Vec<u64>> = Vec::new();
    for parts in together {
        if !groups.iter().any(|group| contains_all(group, &parts)) {
            groups.push(parts);
        }
    }
    groups.retain(|parts| !parts.is_empty());
    groups
}

fn contains_all(parts: &[u64], some: &[u64]) -> bool {
    some.iter().all(|part| parts.contains(part))
}
