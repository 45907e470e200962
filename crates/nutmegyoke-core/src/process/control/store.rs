//! The replicated state: the configuration and the routing document in force, the
//! claims and the demand for models.

use std::cmp::Ordering;
use std::rc::Rc;

use super::claims::{self, Claims};
use super::event::Acceptance;
use super::replica::State;
use crate::request::claim::{self, Key};
use crate::request::{Id, Verdict};
use crate::version::{Configuration, Document, Model};

/// Approximate encoded size of a claim in the log or a snapshot.
const CLAIM_BYTES: usize = 80;

/// Approximate encoded size of a plan or a grant in the log or a snapshot.
const ROW_BYTES: usize = 160;

/// Approximate encoded size of the demand for one model in the log or a snapshot.
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
    /// The last recorded demand for each model, in prompt tokens per second.
    pub demand: Rc<[(Model, f64)]>,
}

/// A change of the replicated state.
#[derive(Clone, Debug)]
pub enum Change {
    /// An operator submitted a configuration.
    Configure { configuration: Rc<Configuration> },
    /// An operator published a routing document.
    Publish { document: Rc<Document> },
    /// A leader recorded the demand for models, for the use of later leaders.
    RecordDemand { demand: Rc<[(Model, f64)]> },
    /// A read barrier, which changes nothing. Once it is committed, every earlier log
    /// entry is committed too, which makes reads linearizable.
    Barrier,
    /// An entry process asked for a claim.
    Claim { request: claims::Request },
    /// An entry process reported how a claimed request ended.
    Conclude {
        key: Key,
        holder: Id,
        verdict: Verdict,
        vm: Rc<str>,
    },
}

/// The result of a change, returned to its proposer.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Whether the configuration is accepted.
    Configured { acceptance: Acceptance },
    /// Whether the claim is granted.
    Claimed { outcome: claim::Outcome },
    /// The number of the routing document in force, if any, after a publication or at a
    /// read barrier.
    Published { number: Option<u64> },
    /// The demand or the end of a claimed request is recorded.
    Recorded,
}

impl Store {
    /// Puts the submitted configuration in force if its number is the highest so far.
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
    /// Puts a routing document in force if its number is the highest so far.
    fn publish(&mut self, document: &Rc<Document>) {
        if self
            .document
            .as_ref()
            .is_none_or(|current| current.number < document.number)
        {
            self.document = Some(Rc::clone(document));
        }
    }

    /// The approximate size of a configuration in the log or a snapshot, in bytes.
    #[must_use]
    pub fn configuration_size(configuration: &Configuration) -> usize {
        let lists = configuration.lists();
        (lists.plans.len() + lists.grants.len()) * ROW_BYTES
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

    fn is_repeat(change: &Change, earlier: &Change) -> bool {
        match (change, earlier) {
            (Change::Publish { document }, Change::Publish { document: earlier }) => {
                document.number == earlier.number && document.source == earlier.source
            }
            (
                Change::Configure { configuration },
                Change::Configure {
                    configuration: earlier,
                },
            ) => {
                configuration.number() == earlier.number()
                    && configuration.digest() == earlier.digest()
            }
            _ => false,
        }
    }

    fn change_size(change: &Change) -> usize {
        match change {
            Change::Configure { configuration } => Self::configuration_size(configuration),
            Change::Publish { document } => document.source.len(),
            Change::RecordDemand { demand } => demand.len() * DEMAND_BYTES,
            Change::Claim { .. } | Change::Conclude { .. } | Change::Barrier => CLAIM_BYTES,
        }
    }

    fn snapshot_size(&self) -> usize {
        let document = self
            .document
            .as_ref()
            .map_or(0, |document| document.source.len());
        let demand = self.demand.len() * DEMAND_BYTES;
        Self::configuration_size(&self.configuration)
            + self.claims.len() * CLAIM_BYTES
            + document
            + demand
    }
}
