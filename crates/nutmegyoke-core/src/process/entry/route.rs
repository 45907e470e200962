//! Chooses the endpoint for a request.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};

use crate::process::endpoint::Target;
use crate::process::{DataCentre, Directory};

/// Candidates compared by load for each request.
const SAMPLES: usize = 2;

/// Requests of this entry in flight, by VM and endpoint.
#[derive(Debug, Default)]
pub struct Loads {
    counts: HashMap<(String, String), u32>,
}

impl Loads {
    /// Counts a dispatched request.
    pub fn add(&mut self, choice: &Choice) {
        *self.counts.entry(choice.key()).or_default() += 1;
    }

    /// Counts the end of an attempt.
    pub fn remove(&mut self, choice: &Choice) {
        if let Some(count) = self.counts.get_mut(&choice.key()) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&choice.key());
            }
        }
    }

    fn get(&self, choice: &Choice) -> u32 {
        self.counts.get(&choice.key()).copied().unwrap_or(0)
    }
}

/// A chosen endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The name of the VM.
    pub vm: String,
    /// The run of its agent.
    pub incarnation: u64,
    /// Where its agent is reached.
    pub address: SocketAddr,
    /// The endpoint on that VM.
    pub endpoint: String,
}

impl Default for Choice {
    fn default() -> Self {
        Self {
            vm: String::new(),
            incarnation: 0,
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            endpoint: String::new(),
        }
    }
}

impl Choice {
    fn key(&self) -> (String, String) {
        (self.vm.clone(), self.endpoint.clone())
    }
}

/// What a request needs of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// What the endpoint has to hold.
    pub target: Target<'a>,
    /// The data centre to prefer.
    pub data_centre: &'a DataCentre,
    /// The endpoint of the attempt before, chosen again only if there is no other.
    pub avoid: &'a Choice,
}

/// Samples endpoints that hold the target and returns the least loaded one.
///
/// Endpoints of the own data centre come first. Returns `None` when no
/// endpoint holds the target.
pub fn choose(
    directory: &Directory,
    loads: &Loads,
    query: Query<'_>,
    random: &mut fastrand::Rng,
) -> Option<Choice> {
    let mut near = Vec::new();
    let mut far = Vec::new();
    for member in directory.members() {
        for endpoint in &member.endpoints {
            if !endpoint.serves(query.target) {
                continue;
            }
            let choice = Choice {
                vm: member.vm.name.clone(),
                incarnation: member.vm.incarnation,
                address: member.address,
                endpoint: endpoint.name.clone(),
            };
            if member.data_centre == *query.data_centre {
                near.push(choice);
            } else {
                far.push(choice);
            }
        }
    }
    let again = |choice: &Choice| choice == query.avoid;
    let candidates = if near.iter().any(|choice| !again(choice)) || far.is_empty() {
        near
    } else {
        far
    };
    let only = candidates.len() == 1;
    let sampled = (0..SAMPLES.max(candidates.len().min(SAMPLES * 2)))
        .filter_map(|_| random.choice(&candidates))
        .filter(|choice| only || !again(choice));
    let best = sampled.min_by_key(|choice| loads.get(choice)).cloned();
    best.or_else(|| candidates.into_iter().find(|choice| only || !again(choice)))
}
