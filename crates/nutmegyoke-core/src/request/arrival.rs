//! A borrowed view of a decoded request.

use crate::process::endpoint::Target;

/// A decoded request before admission.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// The bearer key, if the caller sent one.
    pub key: Option<&'a str>,
    /// What the request asks for.
    pub subject: Subject<'a>,
    /// The idempotency key, if the caller sent one.
    pub idempotency_key: Option<&'a str>,
    /// Whether the caller declared that the request must not run more than once.
    pub once: bool,
    /// A digest of method, path and body. It distinguishes a resend from another request that
    /// reuses the idempotency key.
    pub digest: u64,
}

/// What a request asks for, with the names as the caller sent them.
#[derive(Clone, Copy, Debug)]
pub enum Subject<'a> {
    /// A completion from a model. `name` is a model or an adapter, `prompt_tokens` an
    /// estimate of the prompt's length, `max_tokens` the limit of generated tokens.
    Completion {
        name: &'a str,
        prompt_tokens: u32,
        max_tokens: u32,
    },
    /// A call of a plain service; `path` is the part of the URL path after the service's name.
    Call {
        service: &'a str,
        method: &'a str,
        path: &'a str,
    },
}

/// Where an admitted request goes, with owned names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Destination {
    /// A model and, if requested, one of its adapters.
    Model {
        model: crate::version::Model,
        adapter: Option<crate::version::Adapter>,
    },
    /// A plain service.
    Service { service: crate::version::Service },
}

impl Destination {
    /// A borrowed view of the destination.
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
