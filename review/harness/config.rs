//! Configs of a small deployment.

/// The first part of a path and the service that it leads to.
#[derive(Clone, Copy)]
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
}

pub const HOST: &str = "desk.example";

/// A config with `routes`, and the services that they lead to.
pub fn config(version: u64, routes: &[Route<'_>]) -> String {
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    let services = services.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health-path\":\"/health\",\"max-conns\":120,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    });
    let routes = routes.iter().map(|route| {
        let Route {
            prefix,
            kind,
            service,
        } = route;
        format!(
            "{{\"name\":\"r{}\",\"hostname\":\"{HOST}\",\"path-prefix\":\"{prefix}\",\
             \"route-type\":\"{kind}\",\"timeout-ms\":4000,\"target-latency-ms\":300,\
             \"priority\":1,\"backend\":\"{service}\",\"max-attempts\":1,\"sticky\":false,\
             \"resumable\":false}}",
            prefix.trim_matches('/')
        )
    });
    let join = |items: Vec<String>| items.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":\
         {{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}}}}",
        join(routes.collect()),
        join(services.collect())
    )
}

/// The bytes of a client's request.
pub fn request(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
         X-Nutmegyoke-Deadline-Ms: 4000\r\nContent-Length: 5\r\n\r\nlot-7"
    )
}
