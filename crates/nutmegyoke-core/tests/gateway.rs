//! Tests of the gateway's state machine: choice of endpoints, adapters, retries, ejection,
//! queueing, refusals, and the demand that a leader records.

mod fleet;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use fleet::{ENGINES, desk, engine, routing};
use nutmegyoke_cases::{cases, config};
use nutmegyoke_core::process::endpoint::{Phase, Target};
use nutmegyoke_core::process::gateway::{Bound, Command, Event, Options, Setup};
use nutmegyoke_core::process::registry::Announcement;
use nutmegyoke_core::process::{Gateway, Machine};
use nutmegyoke_core::request::passthrough::Part;
use nutmegyoke_core::request::{Passthrough, Reason, Verdict};
use nutmegyoke_core::version::Routing;
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

const RETRY_BOUND: Bound = Bound {
    ratio: 0.2,
    slack: 2.0,
    window: Duration::from_secs(10),
};

fn not_run(reason: Reason) -> Verdict {
    Verdict::NotRun { reason }
}

fn may_have_run(reason: Reason) -> Verdict {
    Verdict::MayHaveRun { reason }
}

/// A gateway with a simulated clock.
struct Harness {
    now: Instant,
    gateway: Gateway,
}

impl Harness {
    fn empty() -> Self {
        let setup = Setup {
            data_centre: "alp-a".into(),
            address: fleet::address(200),
            heartbeat_period: SECOND,
            retry_bound: RETRY_BOUND,
            seed: 1,
            options: Options::default(),
        };
        Self {
            now: Instant::now(),
            gateway: Gateway::open(setup),
        }
    }

    fn open(endpoints: &[Announcement]) -> Self {
        let mut harness = Self::empty();
        let routing = &routing();
        harness.feed(Event::Configured { routing });
        for announcement in endpoints {
            harness.feed(Event::Announced { announcement });
        }
        harness
    }

    fn feed(&mut self, event: Event<'_>) -> Vec<Command> {
        let mut out = Vec::new();
        self.gateway.handle(self.now, event, &mut out);
        out
    }

    fn arrive(&mut self, call: u64, path: &str) -> Vec<Command> {
        let request = request(path);
        self.feed(Event::Arrived { call, request })
    }

    fn end_attempt(&mut self, call: u64, verdict: Verdict) -> Vec<Command> {
        self.feed(Event::AttemptEnded { call, verdict })
    }

    fn advance(&mut self, time: Duration) -> Vec<Command> {
        self.now += time;
        self.feed(Event::Ticked)
    }
}

fn request(path: &str) -> Passthrough<'_> {
    Passthrough {
        host: "desk.example",
        path,
        timeout: None,
        target: None,
        prompt: &[],
        ..Passthrough::default()
    }
}

fn chat<'a>(model: &'a str, adapter: Option<&'a str>, prompt: &'a [Part]) -> Passthrough<'a> {
    Passthrough {
        target: Some(Target::Model { model, adapter }),
        prompt,
        ..request("/chat/1")
    }
}

/// The id of the endpoint that a request is sent to, if it is sent.
fn dispatched_to(out: &[Command]) -> Option<String> {
    out.iter().find_map(|command| match command {
        Command::Dispatch { endpoint, .. } => Some(endpoint.id.clone()),
        _ => None,
    })
}

/// The verdict that a request is refused with, if it is refused.
fn refusal_verdict(out: &[Command]) -> Option<Verdict> {
    out.iter().find_map(|command| match command {
        Command::Refuse { refusal, .. } => Some(refusal.verdict),
        _ => None,
    })
}

/// Without a limit the client would wait until its own timeout.
#[test]
fn request_is_refused_when_no_routing_document_arrives() {
    let mut harness = Harness::empty();
    assert!(harness.arrive(1, "/book/1").is_empty());
    let out = harness.advance(SECOND);
    assert_eq!(
        refusal_verdict(&out),
        Some(not_run(Reason::NoConfiguration))
    );
}

/// A request that no endpoint can take is refused: at once, or after a second if it is
/// `queued`.
fn refuses_unroutable_request(
    endpoints: &[Announcement],
    path: &str,
    queued: bool,
    reason: Reason,
) {
    let mut harness = Harness::open(endpoints);
    let mut out = harness.arrive(1, path);
    if reason == Reason::UnknownPath {
        assert!(matches!(*out, [Command::Confirm]), "{out:?}");
        out = harness.feed(Event::Confirmed { newest: Some(1) });
    }
    if queued {
        assert!(matches!(*out, [Command::Queued { call: 1 }]), "{out:?}");
        assert!(harness.advance(SECOND * 9 / 10).is_empty());
        out = harness.advance(SECOND / 10);
    }
    assert_eq!(refusal_verdict(&out), Some(not_run(reason)));
    assert_eq!(harness.gateway.in_flight(), 0);
}

cases!(refuses_unroutable_request {
    unknown_path: (&[desk(1)], "/pay/1", false, Reason::UnknownPath),
    no_endpoint: (&[], "/book/1", true, Reason::NoEndpoint),
    only_a_draining_endpoint: (
        &[Announcement {
            phase: Phase::Draining,
            ..desk(1)
        }],
        "/book/1",
        true,
        Reason::NoEndpoint
    ),
    only_an_endpoint_of_another_service: (
        &[engine(1, &["grade"])],
        "/book/1",
        true,
        Reason::NoEndpoint
    ),
});

/// A gateway that has just started would otherwise refuse requests that it can soon route.
#[test]
fn request_waits_for_the_first_routing_document() {
    let mut harness = Harness::empty();
    let announcement = &desk(1);
    harness.feed(Event::Announced { announcement });
    harness.arrive(1, "/book/1");
    harness.now += SECOND / 2;
    let routing = &routing();
    let out = harness.feed(Event::Configured { routing });
    let Command::Dispatch { timeout, .. } = &out[0] else {
        panic!("{out:?}");
    };
    assert_eq!(
        *timeout,
        SECOND * 7 / 2,
        "the time in the queue counts against the timeout"
    );
}

/// A gateway that has just started would otherwise refuse requests until the first heartbeats.
#[test]
fn request_waits_for_an_endpoint() {
    let mut harness = Harness::open(&[]);
    harness.arrive(1, "/book/1");
    harness.now += SECOND / 2;
    let announcement = &desk(1);
    let out = harness.feed(Event::Announced { announcement });
    assert_eq!(dispatched_to(&out).as_deref(), Some("desk-1"));
}

/// A request that waited for longer would have too little time left for an attempt.
#[test]
fn queue_wait_is_limited_to_a_quarter_of_the_client_timeout() {
    let mut harness = Harness::open(&[]);
    let request = Passthrough {
        timeout: Some(SECOND),
        ..request("/book/1")
    };
    harness.feed(Event::Arrived { call: 1, request });
    assert!(refusal_verdict(&harness.advance(SECOND / 4)).is_some());
}

/// The request would otherwise run at an endpoint without a client for the answer.
#[test]
fn queued_request_is_dropped_when_its_client_disconnects() {
    let mut harness = Harness::open(&[]);
    harness.arrive(1, "/book/1");
    harness.feed(Event::Disconnected { call: 1 });
    let announcement = &desk(1);
    assert!(dispatched_to(&harness.feed(Event::Announced { announcement })).is_none());
}

/// Whether a request is retried, on another endpoint, after its first attempt has ended with
/// `verdict`. A request that may run once is retried only if it did not run.
fn retries_on_another_endpoint(path: &str, verdict: Verdict, retried: bool) {
    let mut harness = Harness::open(&[desk(1), desk(2)]);
    let first = dispatched_to(&harness.arrive(1, path)).unwrap();
    let out = harness.end_attempt(1, verdict);
    if let Some(second) = dispatched_to(&out) {
        assert!(retried);
        assert_ne!(first, second);
    } else {
        assert!(!retried);
        let expected = (verdict != Verdict::Ran).then_some(verdict);
        assert_eq!(refusal_verdict(&out), expected);
    }
}

cases!(retries_on_another_endpoint {
    once_only_request_that_did_not_run_is_retried: ("/book/1", not_run(Reason::QueueFull), true),
    once_only_request_that_may_have_run_is_not_retried: (
        "/book/1",
        may_have_run(Reason::LinkLost),
        false
    ),
    repeatable_request_that_may_have_run_is_retried: (
        "/look/1",
        may_have_run(Reason::LinkLost),
        true
    ),
    repeatable_request_that_failed_is_retried: (
        "/look/1",
        may_have_run(Reason::EndpointFailed),
        true
    ),
    answered_request_is_not_retried: ("/look/1", Verdict::Ran, false),
});

/// The route allows two runs, and three endpoints are there.
#[test]
fn attempts_stay_within_the_route_limit() {
    let mut harness = Harness::open(&[desk(1), desk(2), desk(3)]);
    harness.arrive(1, "/look/1");
    let lost = may_have_run(Reason::LinkLost);
    assert!(dispatched_to(&harness.end_attempt(1, lost)).is_some());
    assert_eq!(refusal_verdict(&harness.end_attempt(1, lost)), Some(lost));
}

/// The last attempt did not run, but an earlier one may have. A client that reads "not run"
/// would repeat the request.
#[test]
fn refusal_after_a_possible_run_says_that_it_may_have_run() {
    let mut harness = Harness::open(&[desk(1), desk(2)]);
    harness.arrive(1, "/look/1");
    let lost = may_have_run(Reason::LinkLost);
    harness.end_attempt(1, lost);
    let out = harness.end_attempt(1, not_run(Reason::QueueFull));
    assert_eq!(refusal_verdict(&out), Some(lost));
}

/// In an overload, unlimited retries would double the load.
#[test]
fn retries_stay_within_the_budget() {
    let mut harness = Harness::open(&[desk(1), desk(2)]);
    let mut retries = 0;
    for call in 0..100 {
        harness.arrive(call, "/look/1");
        let out = harness.end_attempt(call, may_have_run(Reason::EndpointFailed));
        retries += usize::from(dispatched_to(&out).is_some());
        harness.end_attempt(call, Verdict::Ran);
    }
    assert_eq!(retries, 22, "a fifth of 100 requests, and a slack of 2");
}

/// The slack holds for all gateways together, not for each.
#[test]
fn gateways_share_the_retry_slack() {
    let mut harness = Harness::open(&[desk(1), desk(2)]);
    let gateways = [fleet::address(8), fleet::address(9), fleet::address(10)];
    harness.feed(Event::PeersListed {
        gateways: &gateways,
    });
    harness.arrive(1, "/look/1");
    let out = harness.end_attempt(1, may_have_run(Reason::EndpointFailed));
    assert!(
        dispatched_to(&out).is_none(),
        "a slack of 2 over 4 gateways and a fifth of one request allow no retry"
    );
}

/// The route has a timeout of 4 s. The endpoint has the request, so it may have run.
#[test]
fn request_is_refused_at_its_timeout() {
    let mut harness = Harness::open(&[desk(1)]);
    harness.arrive(1, "/book/1");
    assert!(refusal_verdict(&harness.advance(SECOND * 3)).is_none());
    let timed_out = may_have_run(Reason::DeadlinePassed);
    assert_eq!(refusal_verdict(&harness.advance(SECOND)), Some(timed_out));
}

/// The client has a part of the answer, so the request cannot be refused any more.
#[test]
fn answer_in_progress_is_cancelled_at_the_timeout() {
    let mut harness = Harness::open(&[desk(1)]);
    harness.arrive(1, "/book/1");
    harness.feed(Event::AnswerStarted { call: 1 });
    let out = harness.advance(SECOND * 4);
    assert!(matches!(out[0], Command::Cancel { call: 1 }), "{out:?}");
}

#[test]
fn client_timeout_overrides_a_longer_route_timeout() {
    let mut harness = Harness::open(&[desk(1)]);
    let request = Passthrough {
        timeout: Some(SECOND),
        ..request("/book/1")
    };
    let out = harness.feed(Event::Arrived { call: 1, request });
    let Command::Dispatch { timeout, .. } = &out[0] else {
        panic!("{out:?}");
    };
    assert_eq!(*timeout, SECOND);
    assert!(refusal_verdict(&harness.advance(SECOND)).is_some());
}

/// The attempt may still end afterwards, which must not cause a retry or a refusal.
#[test]
fn disconnected_client_ends_its_request() {
    let mut harness = Harness::open(&[desk(1)]);
    harness.arrive(1, "/book/1");
    harness.feed(Event::Disconnected { call: 1 });
    assert_eq!(harness.gateway.in_flight(), 0);
    assert!(harness.end_attempt(1, Verdict::Ran).is_empty());
}

/// It fails requests at once, so it has little load and would attract more of them.
#[test]
fn unreachable_endpoint_is_ejected() {
    let mut harness = Harness::open(&[desk(1), desk(2)]);
    let first = dispatched_to(&harness.arrive(1, "/book/1")).unwrap();
    harness.end_attempt(1, not_run(Reason::Unreachable));
    harness.end_attempt(1, Verdict::Ran);
    for call in 2..12 {
        let other = dispatched_to(&harness.arrive(call, "/book/1")).unwrap();
        assert_ne!(other, first);
        harness.end_attempt(call, Verdict::Ran);
    }
}

/// It may have recovered, and a refusal is certain otherwise.
#[test]
fn ejected_endpoint_is_used_when_it_is_the_only_one() {
    let mut harness = Harness::open(&[desk(1)]);
    harness.arrive(1, "/book/1");
    harness.end_attempt(1, not_run(Reason::Unreachable));
    assert_eq!(
        dispatched_to(&harness.arrive(2, "/book/1")).as_deref(),
        Some("desk-1")
    );
}

#[test]
fn load_is_spread_over_the_endpoints() {
    let mut harness = Harness::open(&[desk(1), desk(2), desk(3)]);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for call in 0..18 {
        let id = dispatched_to(&harness.arrive(call, "/book/1")).unwrap();
        *counts.entry(id).or_default() += 1;
    }
    assert_eq!(counts.into_values().collect::<Vec<u32>>(), [6, 6, 6]);
}

#[test]
fn request_goes_to_an_engine_that_holds_its_model() {
    let mut harness = Harness::open(&[engine(1, &["grade"]), engine(2, &["price"])]);
    let request = chat("price", None, &[]);
    let out = harness.feed(Event::Arrived { call: 1, request });
    assert_eq!(dispatched_to(&out).as_deref(), Some("engine-2"));
}

/// A prompt of a shared prefix and a part of its own.
fn prompt(shared: u64, own_part: u64) -> [Part; 2] {
    let part = |id, tokens| Part { id, tokens };
    [part(shared, 6000), part(own_part, 3000)]
}

/// Each engine caches prefixes for itself, so another engine would prefill the prefix again.
#[test]
fn prompts_with_a_shared_prefix_go_to_the_same_engine() {
    let engines: Vec<Announcement> = (1..9).map(|host| engine(host, &["grade"])).collect();
    let mut harness = Harness::open(&engines);
    for shared in 0..20 {
        let mut used = BTreeSet::new();
        for own_part in 0..4 {
            let call = shared * 100 + own_part;
            let prompt = prompt(shared, call + 1_000_000);
            let request = chat("grade", None, &prompt);
            used.insert(dispatched_to(&harness.feed(Event::Arrived { call, request })).unwrap());
            harness.feed(Event::AnswerStarted { call });
            harness.end_attempt(call, Verdict::Ran);
        }
        assert_eq!(used.len(), 1);
    }
}

/// Affinity alone would queue all prompts with a popular prefix at one engine.
#[test]
fn busy_engine_is_avoided_even_when_it_caches_the_prefix() {
    let mut harness = Harness::open(&[engine(1, &["grade"]), engine(2, &["grade"])]);
    let mut used = BTreeSet::new();
    for call in 0..4 {
        let prompt = prompt(1, call + 100);
        let request = chat("grade", None, &prompt);
        used.insert(dispatched_to(&harness.feed(Event::Arrived { call, request })).unwrap());
    }
    assert_eq!(used.len(), 2);
}

/// An engine refuses requests for an adapter that it does not hold.
#[test]
fn adapter_is_loaded_before_the_request_is_sent() {
    let mut harness = Harness::open(&[engine(1, &["price"])]);
    let request = chat("price", Some("a1"), &[]);
    let out = harness.feed(Event::Arrived { call: 1, request });
    assert!(matches!(&out[0], Command::Prepare { adapter, .. } if adapter == "a1"));
    let adapters = ["price/a1".to_owned()];
    let adapters = Some(adapters.as_slice());
    let out = harness.feed(Event::Prepared { call: 1, adapters });
    assert_eq!(dispatched_to(&out).as_deref(), Some("engine-1"));
}

/// Asking the steward again would only delay the request.
#[test]
fn adapter_listed_in_a_heartbeat_is_used_without_preparing() {
    let holder = Announcement {
        adapters: vec!["price/a1".to_owned()],
        ..engine(2, &["price"])
    };
    let mut harness = Harness::open(&[engine(1, &["price"]), holder]);
    let request = chat("price", Some("a1"), &[]);
    let out = harness.feed(Event::Arrived { call: 1, request });
    assert_eq!(dispatched_to(&out).as_deref(), Some("engine-2"));
}

/// A steward that fails must not fail the request as well.
#[test]
fn request_goes_elsewhere_when_the_steward_does_not_answer() {
    let mut harness = Harness::open(&[engine(1, &["price"]), engine(2, &["price"])]);
    let request = chat("price", Some("a1"), &[]);
    let chosen = |out: &[Command]| match out {
        [.., Command::Prepare { endpoint, .. }] => endpoint.id.clone(),
        other => panic!("{other:?}"),
    };
    let first = chosen(&harness.feed(Event::Arrived { call: 1, request }));
    let second = chosen(&harness.feed(Event::Prepared {
        call: 1,
        adapters: None,
    }));
    assert_ne!(first, second);
}

/// The steward of the chosen engine answers that the engine holds no adapter.
const DECLINED: Event<'_> = Event::Prepared {
    call: 1,
    adapters: Some(&[]),
};

/// Whether a steward is asked to load an adapter.
fn asks_a_steward(out: &[Command]) -> bool {
    out.iter()
        .any(|command| matches!(command, Command::Prepare { .. }))
}

/// Five stewards decline, which is more than the slack of 2 and the limit of 3 endpoints.
#[test]
fn declined_preparations_do_not_use_the_retry_budget() {
    let engines: Vec<Announcement> = (1..=6).map(|host| engine(host, &["price"])).collect();
    let mut harness = Harness::open(&engines);
    let request = chat("price", Some("a1"), &[]);
    harness.feed(Event::Arrived { call: 1, request });
    for _ in 1..6 {
        let out = harness.feed(DECLINED);
        assert!(asks_a_steward(&out), "{out:?}");
    }
}

/// An adapter slot may become free within the time that the request can wait.
#[test]
fn stewards_that_declined_are_asked_again() {
    let mut harness = Harness::open(&[engine(1, &["price"])]);
    let request = chat("price", Some("a1"), &[]);
    harness.feed(Event::Arrived { call: 1, request });
    let out = harness.feed(DECLINED);
    assert!(!asks_a_steward(&out) && refusal_verdict(&out).is_none());
    assert!(asks_a_steward(&harness.advance(SECOND / 10)));
    harness.feed(DECLINED);
    assert!(asks_a_steward(&harness.advance(SECOND)));
    let out = harness.feed(DECLINED);
    assert_eq!(refusal_verdict(&out), Some(not_run(Reason::NotHeld)));
}

/// Its steward has no adapter slot to free, whatever the adapter.
#[test]
fn engine_that_declined_is_avoided_for_other_adapters() {
    let mut harness = Harness::open(&[engine(1, &["price"]), engine(2, &["price"])]);
    let chosen = |out: &[Command]| match out {
        [Command::Prepare { endpoint, .. }, ..] => endpoint.id.clone(),
        other => panic!("{other:?}"),
    };
    let request = chat("price", Some("a1"), &[]);
    let declined = chosen(&harness.feed(Event::Arrived { call: 1, request }));
    harness.feed(DECLINED);
    for (call, adapter) in [(2, "a2"), (3, "a3"), (4, "a4"), (5, "a5")] {
        let request = chat("price", Some(adapter), &[]);
        assert_ne!(
            chosen(&harness.feed(Event::Arrived { call, request })),
            declined
        );
    }
}

/// An endpoint that hangs keeps its connections open and reports no failure.
#[test]
fn unresponsive_endpoint_is_ejected_until_it_answers() {
    let mut harness = Harness::open(&[desk(1), desk(2)]);
    let silent = dispatched_to(&harness.arrive(1, "/book/1")).unwrap();
    harness.advance(SECOND * 8 / 10);
    for call in 2..10 {
        assert_ne!(
            dispatched_to(&harness.arrive(call, "/book/1")).unwrap(),
            silent
        );
        harness.end_attempt(call, Verdict::Ran);
    }
    harness.feed(Event::Progressed { call: 1 });
    let used =
        (10..30).any(|call| dispatched_to(&harness.arrive(call, "/book/1")).unwrap() == silent);
    assert!(used);
}

/// Clients that give up on an endpoint that hangs would otherwise make it look healthy again.
#[test]
fn silent_endpoint_stays_ejected_after_its_client_disconnects() {
    let mut harness = Harness::open(&[desk(1), desk(2)]);
    let silent = dispatched_to(&harness.arrive(1, "/book/1")).unwrap();
    harness.advance(SECOND * 8 / 10);
    harness.feed(Event::Disconnected { call: 1 });
    assert_ne!(
        dispatched_to(&harness.arrive(2, "/book/1")).unwrap(),
        silent
    );
}

/// Requests that wait for the steward are in flight but not sent to the engine. When they
/// counted as sent, an engine that had answered everything was ejected until its restart.
#[test]
fn engine_waiting_for_its_steward_is_not_unresponsive() {
    let mut harness = Harness::open(&[engine(1, &["price"]), engine(2, &["price"])]);
    let plain = chat("price", None, &[]);
    harness.feed(Event::Arrived {
        call: 2,
        request: plain,
    });
    let out = harness.feed(Event::Arrived {
        call: 1,
        request: chat("price", Some("a1"), &[]),
    });
    let Command::Prepare { endpoint, .. } = &out[0] else {
        panic!("{out:?}");
    };
    let asked = endpoint.id.clone();
    // These go to both engines, so the engine with the waiting request gets some of them.
    for call in 3..20 {
        let request = chat("price", None, &[]);
        harness.feed(Event::Arrived { call, request });
    }
    for call in 2..20 {
        harness.end_attempt(call, Verdict::Ran);
    }
    harness.feed(DECLINED);
    harness.feed(Event::Disconnected { call: 1 });
    harness.now += SECOND;
    let used = (30..60).any(|call| {
        let request = chat("price", None, &[]);
        let out = harness.feed(Event::Arrived { call, request });
        dispatched_to(&out).as_deref() == Some(asked.as_str())
    });
    assert!(used);
}

/// Whether a request without an answer is retried elsewhere after twice its objective of 1 s.
/// One that may run once, or has no other endpoint, keeps its attempt.
fn retries_slow_request(path: &str, endpoints: &[Announcement], retried: bool) {
    let mut harness = Harness::open(endpoints);
    let first = dispatched_to(&harness.arrive(1, path)).unwrap();
    assert!(dispatched_to(&harness.advance(SECOND * 19 / 10)).is_none());
    let out = harness.advance(SECOND / 10);
    assert!(refusal_verdict(&out).is_none());
    let second = dispatched_to(&out);
    assert_eq!(second.is_some(), retried);
    assert_ne!(second, Some(first));
}

cases!(retries_slow_request {
    repeatable_request: ("/look/1", &[desk(1), desk(2)], true),
    once_only_request: ("/book/1", &[desk(1), desk(2)], false),
    no_other_endpoint: ("/look/1", &[desk(1)], false),
});

/// The client already has a part of the answer.
#[test]
fn started_answer_is_not_retried() {
    let mut harness = Harness::open(&[desk(1), desk(2)]);
    harness.arrive(1, "/look/1");
    harness.feed(Event::AnswerStarted { call: 1 });
    assert!(dispatched_to(&harness.advance(SECOND * 2)).is_none());
}

/// The demand that a leader records a time `after` its election, if it has `restored` demand
/// of an earlier leader.
fn records_demand(restored: f64, after: Duration, expected: Option<f64>) {
    let mut harness = Harness::open(&[engine(1, &["price"])]);
    let demand = &[("price".into(), restored)];
    let term = Some(1);
    harness.feed(Event::LeadershipChanged {
        term,
        leader: None,
        demand,
    });
    let out = harness.advance(after);
    let recorded = out.iter().find_map(|command| match command {
        Command::Record { demand } => Some(demand[0].1),
        _ => None,
    });
    assert_eq!(recorded.map(f64::round), expected);
}

cases!(records_demand {
    not_before_the_first_period: (1000.0, SECOND, None),
    restored_demand_decays_like_measured_demand: (1000.0, SECOND * 6, Some(368.0)),
    nothing_when_there_is_no_demand: (0.0, SECOND * 6, None),
});

/// The placement of a service that a document dropped kept its deadline, which stayed in the past: the
/// leader's timer fired again and again, and the process used a whole core.
#[test]
fn dropped_service_leaves_no_deadline_in_the_past() {
    let mut harness = Harness::open(&[engine(1, &["price"])]);
    harness.feed(Event::LeadershipChanged {
        term: Some(1),
        leader: None,
        demand: &[],
    });
    harness.advance(SECOND);
    let mut draft = fleet::draft();
    draft.routes.retain(|route| route.prefix != "/chat/");
    draft.pools.retain(|pool| pool.service != ENGINES.into());
    let routing = &Routing::open(draft).unwrap();
    harness.feed(Event::Configured { routing });
    for _ in 0..20 {
        harness.advance(SECOND);
        let deadline = harness.gateway.deadline();
        assert!(deadline.is_none_or(|deadline| deadline > harness.now));
    }
}

/// An event of a request that may run once.
#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive,
    NotRun,
    Lost,
    Ran,
    Disconnect,
    Wait,
}

proptest! {
    #![proptest_config(config(500))]

    /// However its attempts end, a request that may run once is never sent again after an
    /// attempt that may have run, nor refused as not run.
    #[test]
    fn once_only_request_runs_at_most_once(
        steps in prop::collection::vec((0..4_u64, prop::sample::select(vec![
            Step::Arrive, Step::NotRun, Step::Lost, Step::Ran, Step::Disconnect, Step::Wait,
        ])), 1..80)
    ) {
        let mut harness = Harness::open(&[desk(1), desk(2), desk(3)]);
        let mut running: BTreeMap<u64, u64> = BTreeMap::new();
        let mut uncertain = BTreeSet::new();
        let mut calls = 0;
        for (slot, step) in steps {
            let out = match (step, running.get(&slot).copied()) {
                (Step::Arrive, None) => {
                    calls += 1;
                    running.insert(slot, calls);
                    harness.arrive(calls, "/book/1")
                }
                (Step::NotRun, Some(call)) => harness.end_attempt(call, not_run(Reason::QueueFull)),
                (Step::Lost, Some(call)) => {
                    uncertain.insert(call);
                    harness.end_attempt(call, may_have_run(Reason::LinkLost))
                }
                (Step::Ran, Some(call)) => {
                    uncertain.insert(call);
                    harness.end_attempt(call, Verdict::Ran)
                }
                (Step::Disconnect, Some(call)) => {
                    uncertain.insert(call);
                    harness.feed(Event::Disconnected { call })
                }
                (Step::Wait, _) => harness.advance(SECOND * 2),
                _ => continue,
            };
            for command in out {
                match command {
                    Command::Dispatch { call, .. } => {
                        prop_assert!(!uncertain.contains(&call), "request {call} is sent again after it may have run");
                    }
                    Command::Refuse { call, refusal } => {
                        let claims_not_run = matches!(refusal.verdict, Verdict::NotRun { .. });
                        prop_assert!(!(claims_not_run && uncertain.contains(&call)));
                        running.retain(|_, other| *other != call);
                    }
                    _ => {}
                }
            }
            running.retain(|_, call| !uncertain.contains(call));
        }
    }
}
