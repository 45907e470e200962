//! The state that survives: the configuration in force and the claims.

use std::cmp::Ordering;
use std::rc::Rc;

use super::claims::{self, Claims};
use super::event::Acceptance;
use super::replica::State;
use crate::request::claim::{self, Key};
use crate::request::{Id, Verdict};
use crate::version::{Configuration, Document, Model};

/// About how many bytes a claim takes in the log or a snapshot.
const CLAIM_BYTES: usize = 80;

/// About how many bytes a plan or a grant takes in the log or a snapshot.
const ROW_BYTES: usize = 160;

/// About how many bytes the demand for one model takes in the log or a snapshot.
const DEMAND_BYTES: usize = 40;

/// The replicated state.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// The configuration in force.
    pub configuration: Rc<Configuration>,
    /// The routing document in force, if one was published.
    pub document: Option<Rc<Document>>,
    /// The claims within their retention.
    pub claims: Claims,
    /// The demand for each model when it was recorded last, in prompt tokens per second.
    pub demand: Rc<[(Model, f64)]>,
}

/// A change of the replicated state.
#[derive(Clone, Debug)]
pub enum Change {
    /// An operator submitted a configuration.
    Configure { configuration: Rc<Configuration> },
    /// An operator published a routing document.
    Publish { document: Rc<Document> },
    /// A leader records the demand for models, for the leader after it.
    RecordDemand { demand: Rc<[(Model, f64)]> },
    /// Nothing; its place in the log proves what came before it.
    Barrier,
    /// An entry wants a claim.
    Claim { request: claims::Request },
    /// An entry tells how a claimed request ended.
    Conclude {
        key: Key,
        holder: Id,
        verdict: Verdict,
        vm: Rc<str>,
    },
}

/// What the one who proposed a change learns.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Whether the configuration is accepted.
    Configured { acceptance: Acceptance },
    /// Whether the claim is granted.
    Claimed { outcome: claim::Outcome },
    /// The number of the routing document that is in force now.
    Published { number: Option<u64> },
    /// The end of the claimed request is recorded.
    Recorded,
}

impl Store {
    /// Compares the submitted version number with the accepted one and sets it.
    fn configure(&mut self, submitted: &Rc<Configuration>) -> Acceptance {
        let accepted = &self.configuration;
        let (number, digest) = (accepted.number(), accepted.digest());
        match submitted.number().cmp(&number) {
            Ordering::Less => Acceptance::Stale { number },
            Ordering::Equal if submitted.digest() == digest => {
                Acceptance::Accepted { number, digest }
            }
            Ordering::Equal => Acceptance::Conflict { number, digest },
            Ordering::Greater => {
                self.configuration = Rc::clone(submitted);
                Acceptance::Accepted {
                    number: submitted.number(),
                    digest: submitted.digest(),
                }
            }
        }
    }
}

impl Store {
    /// Puts a document in force if its number is the highest so far.
    fn publish(&mut self, document: &Rc<Document>) {
        if self
            .document
            .as_ref()
            .is_none_or(|held| held.number < document.number)
        {
            self.document = Some(Rc::clone(document));
        }
    }

    fn newest_document(&self) -> Outcome {
        Outcome::Published {
            number: self.document.as_ref().map(|document| document.number),
        }
    }
}

impl State for Store {
    type Change = Change;
    type Outcome = Outcome;

    fn apply(&mut self, change: &Change) -> Outcome {
        match change {
            Change::Configure { configuration } => Outcome::Configured {
                acceptance: self.configure(configuration),
            },
            Change::Publish { document } => {
                self.publish(document);
                self.newest_document()
            }
            Change::RecordDemand { demand } => {
                self.demand = Rc::clone(demand);
                Outcome::Recorded
            }
            Change::Barrier => self.newest_document(),
            Change::Claim { request } => Outcome::Claimed {
                outcome: self.claims.grant(*request),
            },
            Change::Conclude {
                key,
                holder,
                verdict,
                vm,
            } => {
                self.claims.conclude(*key, *holder, *verdict, vm);
                Outcome::Recorded
            }
        }
    }

    fn weight(change: &Change) -> usize {
        match change {
            Change::Configure { configuration } => rows(configuration) * ROW_BYTES,
            Change::Publish { document } => document.source.len(),
            Change::RecordDemand { demand } => demand.len() * DEMAND_BYTES,
            Change::Claim { .. } | Change::Conclude { .. } | Change::Barrier => CLAIM_BYTES,
        }
    }

    fn size(&self) -> usize {
        let document = self.document.as_ref().map_or(0, |held| held.source.len());
        let demand = self.demand.len() * DEMAND_BYTES;
        rows(&self.configuration) * ROW_BYTES + self.claims.len() * CLAIM_BYTES + document + demand
    }
}

fn rows(configuration: &Configuration) -> usize {
    let lists = configuration.lists();
    lists.plans.len() + lists.grants.len()
}
