//! Features of requests that are taken to crash endpoints, and the inference from crashes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{Crash, Feature};

/// The most crashes that an inference is drawn from.
pub const MAX_CRASHES: usize = 64;

/// The number of moments with a crash after which a feature is taken to cause them. Two could be
/// chance: the requests of one session often run on the engine that crashes.
pub const MIN_MOMENTS: usize = 3;

/// A part has to explain one moment more for each this many that it does not explain between
/// its first and its last crash: the more engines crash for other reasons, the more parts run
/// on several of them by chance. One and the same request hardly does.
const UNEXPLAINED_PER_MOMENT: usize = 8;

/// Crashes closer than this count as one moment, because one fault, such as the loss of a
/// rack, may end several endpoints at once.
const MOMENT: Duration = Duration::from_millis(250);

/// The features with which a request crashes an endpoint if it has all of them. Usually it is one;
/// more if none of them ever came without the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Culprit {
    /// The features: parts in the order of the prompt, then the request itself.
    pub features: Vec<Feature>,
    /// The number of crashes that they explain.
    pub crashes: usize,
    /// When the latest of these was.
    pub latest: Instant,
    /// How long requests are refused after it.
    duration: Duration,
}

impl Culprit {
    /// Whether a request with these features would crash an endpoint.
    #[must_use]
    pub fn matches(&self, features: &[Feature]) -> bool {
        contains_all(features, &self.features)
    }

    /// When requests are no longer refused, unless there is another crash.
    #[must_use]
    pub fn until(&self) -> Instant {
        self.latest + self.duration
    }
}

/// A set of crashes, with a bit for each.
type Mask = u64;

/// Finds the culprits: repeatedly the features that explain most of the crashes that no earlier
/// culprit explains. A sound part that comes with several culprits, such as a common first
/// part, explains more than each of them, but a success clears it within a moment.
pub fn find<'a>(
    crashes: impl Iterator<Item = &'a Crash>,
    quarantine_time: Duration,
) -> Vec<Culprit> {
    let mut crashes: Vec<&Crash> = crashes.collect();
    crashes.sort_by_key(|crash| crash.at);
    let moments = moments(&crashes);
    let mut masks: BTreeMap<Feature, Mask> = BTreeMap::new();
    for (index, crash) in crashes.iter().enumerate().take(MAX_CRASHES) {
        for &feature in crash.suspects.iter().flatten() {
            *masks.entry(feature).or_default() |= 1 << index;
        }
    }
    let count = |mask: Mask| moments.iter().filter(|&moment| moment & mask != 0).count();
    let suffices = |feature: Feature, mask: Mask, unexplained: Mask| {
        let explained = count(mask & unexplained);
        let chance = match feature {
            Feature::Part(_) => {
                let others = count(span(mask) & unexplained).saturating_sub(explained);
                others / UNEXPLAINED_PER_MOMENT
            }
            Feature::Request(_) => 0,
        };
        explained >= MIN_MOMENTS + chance
    };
    let mut culprits = Vec::new();
    let mut unexplained = Mask::MAX;
    loop {
        let sufficient = masks
            .iter()
            .filter(|&(&feature, &mask)| suffices(feature, mask, unexplained));
        let sufficient = sufficient.map(|(_, &mask)| mask);
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
        for features in groups(&explained, |feature| masks.get(&feature) == Some(&best)) {
            culprits.push(Culprit {
                features,
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

/// Groups the features that are equally suspect: those that came in one request at each of the
/// crashes stay together, since none is known to crash an endpoint without the others. The
/// others are groups of their own.
fn groups(crashes: &[&Crash], is_equal: impl Fn(Feature) -> bool) -> Vec<Vec<Feature>> {
    let Some(first) = crashes.first() else {
        return Vec::new();
    };
    let candidates = first.suspects.iter().map(|suspect| {
        let features = suspect.iter().copied();
        let features = features.filter(|&feature| is_equal(feature));
        features.collect::<Vec<Feature>>()
    });
    let (mut together, apart): (Vec<_>, Vec<_>) = candidates.partition(|features| {
        crashes.iter().all(|crash| {
            let mut suspects = crash.suspects.iter();
            suspects.any(|suspect| contains_all(suspect, features))
        })
    });
    together.extend(apart.into_iter().flatten().map(|feature| vec![feature]));
    // The largest first, so that a group is dropped if it is a part of another one.
    together.sort_by_key(|features| std::cmp::Reverse(features.len()));
    let mut groups: Vec<Vec<Feature>> = Vec::new();
    for features in together {
        if !groups.iter().any(|group| contains_all(group, &features)) {
            groups.push(features);
        }
    }
    groups.retain(|features| !features.is_empty());
    groups
}

fn contains_all(features: &[Feature], some: &[Feature]) -> bool {
    some.iter().all(|feature| features.contains(feature))
}
