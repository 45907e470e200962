//! What a caller asked for, as a borrowed view of the decoded request.

use crate::process::endpoint::Target;

/// A decoded request, before any decision.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// The bearer key, if the caller sent one.
    pub key: Option<&'a str>,
    /// What the request is for.
    pub subject: Subject<'a>,
    /// The idempotency key, if the caller sent one.
    pub idempotency_key: Option<&'a str>,
    /// Whether the caller itself declared the request as not repeatable.
    pub once: bool,
    /// A digest of method, path and body, to tell a resend from another request under the same key.
    pub digest: u64,
}

/// What a request is for, in the caller's words.
#[derive(Clone, Copy, Debug)]
pub enum Subject<'a> {
    /// A completion from a model; `name` is a model or an adapter, `prompt` an
    /// estimate of the tokens sent, `tokens` the most that may be generated.
    Completion {
        name: &'a str,
        prompt_tokens: u32,
        max_tokens: u32,
    },
    /// A call of a plain service; `path` is the rest after the service's name.
    Call {
        service: &'a str,
        method: &'a str,
        path: &'a str,
    },
}

/// Where an admitted request goes, in names owned by the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Destination {
    /// A model and, where asked for, one of its adapters.
    Model {
        model: crate::version::Model,
        adapter: Option<crate::version::Adapter>,
    },
    /// A plain service.
    Service { service: crate::version::Service },
}

impl Destination {
    /// The borrowed form.
    #[must_use]
    pub fn target(&self) -> Target<'_> {
        match self {
            Self::Model { model, adapter } => Target::Model {
                model: model.as_str(),
                adapter: adapter.as_ref().map(crate::version::Adapter::as_str),
            },
            Self::Service { service } => Target::Service {
                service: service.as_str(),
            },
        }
    }
}
