//! The sets of voters of which majorities decide.
//!
//! A membership is in force as soon as it is appended. Until it is known to be committed, the
//! one before it may be in force at other replicas, so elections, commits and leases need a
//! majority of both. Without that a removal could be committed by voters of whom half of the
//! earlier membership knows nothing, and half is enough to replace a lost voter, see
//! [`super::reseat`].

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::{Content, Id, Membership, Peer, Replica, Seed, State};

/// The voters of each membership that may be in force.
#[derive(Clone, Debug, Default)]
pub struct Quorum {
    /// From the last membership that is known to be committed to the latest, without repeats.
    sets: Vec<BTreeSet<Id>>,
    /// The VM of each voter.
    seeds: BTreeMap<Id, Seed>,
    /// The replica that took a lost voter's seat in a membership not known to be committed.
    pub reseated: Option<Id>,
}

/// A membership in the log.
#[derive(Clone, Copy, Debug)]
struct Step<'a> {
    membership: &'a Membership,
    /// Whether it gives a lost voter's seat to another replica. It is then the first entry of
    /// its term, and the membership before it need not be committed.
    reseats: bool,
}

impl Quorum {
    /// The quorum of a series of memberships, each of which follows the one before in the log.
    /// Only the first is known to be committed.
    fn open<'a>(series: impl Iterator<Item = Step<'a>>) -> Self {
        let mut quorum = Self::default();
        for (number, step) in series.enumerate() {
            let voters: Vec<&Peer> = step.membership.voters().collect();
            if step.reseats && number > 0 {
                quorum.reseat(&voters);
            }
            let seeds = voters.iter().map(|peer| (peer.id, peer.seed.clone()));
            quorum.seeds.extend(seeds);
            let set: BTreeSet<Id> = voters.iter().map(|peer| peer.id).collect();
            if !set.is_empty() && !quorum.sets.contains(&set) {
                quorum.sets.push(set);
            }
        }
        quorum
    }

    /// Lets the voter that has another id than the replica before it on its VM take that one's
    /// seat in all sets.
    fn reseat(&mut self, voters: &[&Peer]) {
        for peer in voters
            .iter()
            .filter(|peer| !self.seeds.contains_key(&peer.id))
        {
            let Some(lost) = self.predecessor(peer.id, &peer.seed.name) else {
                continue;
            };
            self.reseated = Some(peer.id);
            for set in &mut self.sets {
                if set.remove(&lost) {
                    set.insert(peer.id);
                }
            }
        }
    }

    /// The voter on the VM of this name that is not the replica `id`.
    pub fn predecessor(&self, id: Id, name: &str) -> Option<Id> {
        let mut voters = self.voters().into_iter();
        voters.find(|voter| {
            let seed = self.seeds.get(voter);
            *voter != id && seed.is_some_and(|seed| seed.name == name)
        })
    }

    /// Whether the latest voters are known to be committed.
    pub fn is_settled(&self) -> bool {
        self.sets.len() <= 1 && self.reseated.is_none()
    }

    /// All voters that count.
    pub fn voters(&self) -> BTreeSet<Id> {
        self.sets.iter().flatten().copied().collect()
    }

    /// The address of a voter.
    pub fn address(&self, id: Id) -> Option<SocketAddr> {
        self.seeds.get(&id).map(|seed| seed.address)
    }

    /// Whether the replicas for which `counts` holds are a majority of each set.
    pub fn is_majority(&self, counts: impl Fn(Id) -> bool) -> bool {
        let is_majority =
            |set: &BTreeSet<Id>| set.iter().filter(|&&id| counts(id)).count() > set.len() / 2;
        !self.sets.is_empty() && self.sets.iter().all(is_majority)
    }

    /// Whether the replicas for which `counts` holds meet each majority of each set without
    /// `lost`: they are half of a set of an even number that includes it.
    pub fn is_half_without(&self, lost: Id, counts: impl Fn(Id) -> bool) -> bool {
        let is_half = |set: &BTreeSet<Id>| {
            let others = set.iter().filter(|&&id| id != lost && counts(id)).count();
            let needed = if set.contains(&lost) {
                set.len().div_ceil(2)
            } else {
                set.len() / 2 + 1
            };
            others >= needed
        };
        !self.sets.is_empty() && self.sets.iter().all(is_half)
    }

    /// The highest value that a majority of each set has reached.
    pub fn reached(&self, value: impl Fn(Id) -> u64) -> u64 {
        let reached = |set: &BTreeSet<Id>| {
            let mut values: Vec<u64> = set.iter().map(|&id| value(id)).collect();
            values.sort_unstable_by(|one, other| other.cmp(one));
            values.get(set.len() / 2).copied().unwrap_or(0)
        };
        self.sets.iter().map(reached).min().unwrap_or(0)
    }
}

impl<S: State> Replica<S> {
    /// Determines anew which sets of voters may be in force.
    ///
    /// A membership is known to be committed by the commit index; if another one follows it, as
    /// a leader appends that only then, unless it replaces a lost voter; or by a blank entry
    /// that isn't the first of its term, which a leader appends after it has committed a change of
    /// the voters. The commit index isn't on the disk, so after a restart only the log tells.
    pub(super) fn refresh_quorum(&mut self) {
        let mut series: Vec<Step> = Vec::new();
        let mut confirmed = false;
        let mut complete = false;
        for entry in self.log.entries_from(0).rev() {
            let index = entry.position.index;
            let is_first = self.log.term(index - 1) != Some(entry.position.term);
            match &entry.content {
                Content::Blank => confirmed |= !is_first,
                Content::Membership(membership) => {
                    let follows = series.last().is_some_and(|step| !step.reseats);
                    series.push(Step {
                        membership,
                        reseats: is_first,
                    });
                    if confirmed || follows || index <= self.commit_index {
                        complete = true;
                        break;
                    }
                }
                Content::Change(_) => {}
            }
        }
        if !complete {
            series.push(Step {
                membership: &self.applied_membership,
                reseats: false,
            });
        }
        self.quorum = Quorum::open(series.into_iter().rev());
    }
}
