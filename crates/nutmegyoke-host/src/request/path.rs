//! The paths of the caller API.

use hyper::Method;
use nutmegyoke_core::request::Reason;

/// Where a request of a caller goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path<'a> {
    /// Whether the process lives.
    Health,
    /// Whether the process can serve.
    Readiness,
    /// The models that the plan may use.
    Models,
    /// A chat or text completion.
    Completion,
    /// A call of a plain service; `rest` begins with a slash.
    Service { name: &'a str, rest: &'a str },
}

impl<'a> Path<'a> {
    /// Finds the route of `method` and `path`.
    ///
    /// # Errors
    ///
    /// There is no such path, or it does not take this method.
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
