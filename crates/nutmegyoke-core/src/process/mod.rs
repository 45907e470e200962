//! State that lives as long as a process.
//!
//! Each role of the daemon is a [`machine::Machine`]: [`entry`], [`agent`],
//! [`control`], [`gateway`] and [`steward`]. Control keeps the [`directory`] of the fleet,
//! whose rows are a [`member`] with its [`vm`], [`data_centre`] and [`endpoint`]s, and
//! sends its changes in an [`update`]. It changes what engines hold by an [`order`] and
//! learns of the result from a [`report`]. Gateways list endpoints in a [`registry`],
//! decide on models by [`placement`] and keep [`quarantine`] of what crashes endpoints and
//! [`throttle`] the requests to endpoints that ask for it.

pub mod account;
pub mod agent;
pub mod allotment;
pub mod balance;
pub mod clock;
pub mod control;
pub mod damping;
pub mod data_centre;
pub mod directory;
pub mod endpoint;
pub mod entry;
pub mod gateway;
pub mod machine;
pub mod member;
pub mod order;
pub mod origin;
pub mod placement;
pub mod quarantine;
pub mod registry;
pub mod report;
pub mod signal;
pub mod steward;
pub mod throttle;
pub mod update;
pub mod vm;

pub use account::Account;
pub use agent::Agent;
pub use clock::Clock;
pub use control::Control;
pub use data_centre::DataCentre;
pub use directory::Directory;
pub use endpoint::Endpoint;
pub use entry::Entry;
pub use gateway::Gateway;
pub use machine::{Machine, Sink};
pub use member::Member;
pub use order::Order;
pub use placement::Placement;
pub use quarantine::Quarantine;
pub use registry::Registry;
pub use report::Report;
pub use steward::Steward;
pub use vm::Vm;
