//! What lives as long as one request.
//!
//! In an entry, [`caller`] decodes a caller's request, [`forward`] carries it
//! through one or more [`attempt`]s, and the [`answer`]'s parts become a whole
//! body ([`assembly`]) or a [`stream`]. In an agent, [`call`] carries one
//! submission to its endpoint.

pub mod answer;
pub mod assembly;
pub mod attempt;
pub mod body;
pub mod call;
pub mod caller;
pub mod forward;
pub mod handle;
pub mod passthrough;
pub mod path;
pub mod registrar;
pub mod reply;
pub mod stream;

pub use body::Body;
pub use path::Path;
pub use registrar::Registrar;
