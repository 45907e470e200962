//! State that lives as long as one request.
//!
//! In an entry, [`caller`] decodes a caller's request. [`forward`] obtains a claim from the
//! [`claimant`], if the request needs one, and submits the request to agents in one or more
//! [`attempt`]s. The parts of the [`answer`] are buffered ([`assembly`]) or relayed as a
//! [`stream`]; [`reply`] builds the responses. The state of the request is in the entry's
//! state machine, where a [`handle`] refers to it.
//!
//! In an agent, [`call`] sends a submission to its endpoint. In a gateway, [`passthrough`]
//! forwards a client's request unchanged.

pub mod answer;
pub mod assembly;
pub mod attempt;
pub mod body;
pub mod buffer;
pub mod call;
pub mod caller;
pub mod claimant;
pub mod forward;
pub mod handle;
pub mod passthrough;
pub mod path;
pub mod reply;
pub mod status;
pub mod stream;

pub use body::Body;
pub use buffer::Buffer;
pub use claimant::Claimant;
pub use path::Path;
