//! Tests which routing documents are rejected, which route a request takes, and how a
//! route's weights divide its requests between services.

mod fleet;

use std::time::Duration;

use fleet::{DESK, draft, route};
use nutmegyoke_cases::cases;
use nutmegyoke_core::version::Routing;
use nutmegyoke_core::version::routing::{Draft, Semantics, Share};

fn rejects(edit: impl Fn(&mut Draft), expected: &str) {
    let mut draft = draft();
    edit(&mut draft);
    let fault = Routing::open(draft).unwrap_err();
    assert_eq!(fault.to_string(), expected);
}

cases!(rejects {
    unknown_service: (
        |draft| draft.routes[0].shares[0].service = "deck".into(),
        "route `/book/` leads to the unknown service `deck`: add the service or correct the name"
    ),
    duplicate_prefix: (
        |draft| draft.routes[1].prefix = "/book/".to_owned(),
        "routes `/book/` and `/look/` have the same host and prefix: remove one"
    ),
    zero_weights: (
        |draft| draft.routes[0].shares[0].weight = 0,
        "the weights of route `/book/` add up to 0: give one a positive weight"
    ),
    no_shares: (
        |draft| draft.routes[0].shares.clear(),
        "the weights of route `/book/` add up to 0: give one a positive weight"
    ),
    zero_timeout: (
        |draft| draft.routes[0].timeout = Duration::ZERO,
        "the timeout of route `/book/` is 0: write a positive number of milliseconds"
    ),
    prefix_without_a_trailing_slash: (
        |draft| draft.routes[0].prefix = "/book".to_owned(),
        "the prefix `/book` of route `/book/` has to begin and end with a slash"
    ),
    duplicate_service: (
        |draft| draft.pools.push(draft.pools[0].clone()),
        "service `desk` is defined twice: remove one"
    ),
});

fn selects_route(host: &str, path: &str, expected: Option<&str>) {
    let mut draft = draft();
    draft
        .routes
        .push(route("/book/today/", DESK, Semantics::Once, 1));
    let routing = Routing::open(draft).unwrap();
    let selected = routing.route(host, path).map(|route| route.name.as_str());
    assert_eq!(selected, expected);
}

cases!(selects_route {
    prefix: ("desk.example", "/book/1", Some("/book/")),
    longest_prefix: ("desk.example", "/book/today/1", Some("/book/today/")),
    no_partial_segment: ("desk.example", "/bookings", None),
    no_other_host: ("other.example", "/book/1", None),
});

#[test]
fn weights_split_the_requests() {
    let mut route = route("/book/", DESK, Semantics::Once, 1);
    route.shares = vec![
        Share {
            service: "a".into(),
            weight: 90,
        },
        Share {
            service: "b".into(),
            weight: 10,
        },
    ];
    let to_b = (0..1000).filter(|&point| {
        let service = route.choose_service(point).unwrap();
        service.as_str() == "b"
    });
    assert_eq!(to_b.count(), 100);
}
