//! The paths of the HTTP API for callers.

use hyper::Method;
use nutmegyoke_core::request::Reason;

/// The operation that a path stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path<'a> {
    /// The liveness check.
    Health,
    /// The readiness check.
    Readiness,
    /// The list of models that the plan may use.
    Models,
    /// A chat or text completion.
    Completion,
    /// A call of a plain service. `rest` is the path at the service and begins with a
    /// slash.
    Service { name: &'a str, rest: &'a str },
}

impl<'a> Path<'a> {
    /// Parses the path of a request.
    ///
    /// # Errors
    ///
    /// The path does not exist, or it does not allow `method`.
    pub fn parse(method: &Method, path: &'a str) -> Result<Self, Reason> {
        let (route, allowed) = match path {
            "/healthz" => (Self::Health, Method::GET),
            "/readyz" => (Self::Readiness, Method::GET),
            "/v1/models" => (Self::Models, Method::GET),
            "/v1/chat/completions" | "/v1/completions" => (Self::Completion, Method::POST),
            _ => return parse_service(path).ok_or(Reason::UnknownPath),
        };
        if *method == allowed {
            Ok(route)
        } else {
            Err(Reason::MethodNotAllowed)
        }
    }
}

/// Splits `/services/NAME/rest` into the name and `/rest`.
fn parse_service(path: &str) -> Option<Path<'_>> {
    let rest = path.strip_prefix("/services/")?;
    let end = rest.find('/')?;
    let (name, rest) = rest.split_at(end);
    (end > 0).then_some(Path::Service { name, rest })
}
