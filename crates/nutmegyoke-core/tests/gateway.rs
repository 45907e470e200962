//! The gateway: where a request goes, what is repeated, and when it is given up.

mod fleet;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use fleet::{desk, engine, routing};
use nutmegyoke_cases::{cases, config};
use nutmegyoke_core::process::endpoint::{Phase, Target};
use nutmegyoke_core::process::gateway::{Bound, Command, Event, Setup};
use nutmegyoke_core::process::registry::Announcement;
use nutmegyoke_core::process::{Gateway, Machine};
use nutmegyoke_core::request::passthrough::Part;
use nutmegyoke_core::request::{Passthrough, Reason, Verdict};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

const BOUND: Bound = Bound {
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

/// A gateway with its clock.
struct Bed {
    now: Instant,
    gateway: Gateway,
}

impl Bed {
    fn empty() -> Self {
        let setup = Setup {
            data_centre: "alp-a".into(),
            heartbeat: SECOND,
            bound: BOUND,
            random: 1,
        };
        Self {
            now: Instant::now(),
            gateway: Gateway::open(setup),
        }
    }

    fn open(endpoints: &[Announcement]) -> Self {
        let mut bed = Self::empty();
        let routing = &routing();
        bed.feed(Event::Configured { routing });
        for announcement in endpoints {
            bed.feed(Event::Heard { announcement });
        }
        bed
    }

    fn feed(&mut self, event: Event<'_>) -> Vec<Command> {
        let mut out = Vec::new();
        self.gateway.handle(self.now, event, &mut out);
        out
    }

    fn arrive(&mut self, call: u64, path: &str) -> Vec<Command> {
        let passage = passage(path);
        self.feed(Event::Arrived { call, passage })
    }

    fn settle(&mut self, call: u64, verdict: Verdict) -> Vec<Command> {
        self.feed(Event::Settled { call, verdict })
    }

    fn wait(&mut self, time: Duration) -> Vec<Command> {
        self.now += time;
        self.feed(Event::Ticked)
    }
}

fn passage(path: &str) -> Passthrough<'_> {
    Passthrough {
        host: "desk.example",
        path,
        timeout: None,
        target: None,
        prompt: &[],
    }
}

fn chat<'a>(model: &'a str, adapter: Option<&'a str>, prompt: &'a [Part]) -> Passthrough<'a> {
    Passthrough {
        target: Some(Target::Model { model, adapter }),
        prompt,
        ..passage("/chat/1")
    }
}

/// The endpoint that a request is sent to.
fn sent(out: &[Command]) -> Option<String> {
    out.iter().find_map(|command| match command {
        Command::Dispatch { endpoint, .. } => Some(endpoint.id.clone()),
        _ => None,
    })
}

/// The verdict with which a request is refused.
fn refused(out: &[Command]) -> Option<Verdict> {
    out.iter().find_map(|command| match command {
        Command::Refuse { refusal, .. } => Some(refusal.verdict),
        _ => None,
    })
}

#[test]
fn nothing_is_passed_before_a_document_is_in_force() {
    let mut bed = Bed::empty();
    assert!(bed.arrive(1, "/book/1").is_empty());
    let out = bed.wait(SECOND);
    assert_eq!(refused(&out), Some(not_run(Reason::NoConfiguration)));
}

/// What has no endpoint waits for one, a second at most.
fn refuses(endpoints: &[Announcement], path: &str, waits: bool, reason: Reason) {
    let mut bed = Bed::open(endpoints);
    let mut out = bed.arrive(1, path);
    if waits {
        assert!(matches!(*out, [Command::PutOff { call: 1 }]), "{out:?}");
        assert!(bed.wait(SECOND * 9 / 10).is_empty());
        out = bed.wait(SECOND / 10);
    }
    assert_eq!(refused(&out), Some(not_run(reason)));
    assert_eq!(bed.gateway.in_flight(), 0);
}

cases!(refuses {
    unknown_path: (&[desk(1)], "/pay/1", false, Reason::UnknownPath),
    no_endpoint: (&[], "/book/1", true, Reason::NoEndpoint),
    only_a_draining_one: (
        &[Announcement {
            phase: Phase::Draining,
            ..desk(1)
        }],
        "/book/1",
        true,
        Reason::NoEndpoint
    ),
    only_one_of_another_service: (
        &[engine(1, &["grade"])],
        "/book/1",
        true,
        Reason::NoEndpoint
    ),
});

#[test]
fn request_waits_for_the_first_document() {
    let mut bed = Bed::empty();
    let announcement = &desk(1);
    bed.feed(Event::Heard { announcement });
    bed.arrive(1, "/book/1");
    bed.now += SECOND / 2;
    let routing = &routing();
    let out = bed.feed(Event::Configured { routing });
    let Command::Dispatch { patience, .. } = &out[0] else {
        panic!("{out:?}");
    };
    assert_eq!(*patience, SECOND * 7 / 2, "the time that it waited counts");
}

#[test]
fn request_waits_for_an_endpoint() {
    let mut bed = Bed::open(&[]);
    bed.arrive(1, "/book/1");
    bed.now += SECOND / 2;
    let announcement = &desk(1);
    let out = bed.feed(Event::Heard { announcement });
    assert_eq!(sent(&out).as_deref(), Some("desk-1"));
}

#[test]
fn client_in_a_hurry_waits_a_quarter_of_its_time() {
    let mut bed = Bed::open(&[]);
    let passage = Passthrough {
        timeout: Some(SECOND),
        ..passage("/book/1")
    };
    bed.feed(Event::Arrived { call: 1, passage });
    assert!(refused(&bed.wait(SECOND / 4)).is_some());
}

#[test]
fn client_that_left_while_it_waited_is_not_served() {
    let mut bed = Bed::open(&[]);
    bed.arrive(1, "/book/1");
    bed.feed(Event::Left { call: 1 });
    let announcement = &desk(1);
    assert!(sent(&bed.feed(Event::Heard { announcement })).is_none());
}

/// What follows after the first attempt has ended with `verdict`.
fn follows(path: &str, verdict: Verdict, again: bool) {
    let mut bed = Bed::open(&[desk(1), desk(2)]);
    let first = sent(&bed.arrive(1, path)).unwrap();
    let out = bed.settle(1, verdict);
    if let Some(second) = sent(&out) {
        assert!(again);
        assert_ne!(first, second);
    } else {
        assert!(!again);
        let expected = (verdict != Verdict::Ran).then_some(verdict);
        assert_eq!(refused(&out), expected);
    }
}

cases!(follows {
    booking_that_did_not_run_goes_elsewhere: ("/book/1", not_run(Reason::QueueFull), true),
    booking_that_may_have_run_is_given_up: ("/book/1", may_have_run(Reason::LinkLost), false),
    look_up_that_may_have_run_goes_elsewhere: ("/look/1", may_have_run(Reason::LinkLost), true),
    look_up_that_failed_goes_elsewhere: ("/look/1", may_have_run(Reason::EndpointFailed), true),
    answer_ends_the_request: ("/look/1", Verdict::Ran, false),
});

#[test]
fn no_more_runs_than_the_route_allows() {
    let mut bed = Bed::open(&[desk(1), desk(2), desk(3)]);
    bed.arrive(1, "/look/1");
    let lost = may_have_run(Reason::LinkLost);
    assert!(sent(&bed.settle(1, lost)).is_some());
    assert_eq!(refused(&bed.settle(1, lost)), Some(lost));
}

#[test]
fn refusal_after_a_doubtful_attempt_does_not_claim_that_nothing_ran() {
    let mut bed = Bed::open(&[desk(1), desk(2)]);
    bed.arrive(1, "/look/1");
    let lost = may_have_run(Reason::LinkLost);
    bed.settle(1, lost);
    let out = bed.settle(1, not_run(Reason::QueueFull));
    assert_eq!(refused(&out), Some(lost));
}

#[test]
fn repeats_stay_within_the_bound() {
    let mut bed = Bed::open(&[desk(1), desk(2)]);
    let mut repeats = 0;
    for call in 0..100 {
        bed.arrive(call, "/look/1");
        let out = bed.settle(call, may_have_run(Reason::EndpointFailed));
        repeats += usize::from(sent(&out).is_some());
        bed.settle(call, Verdict::Ran);
    }
    assert_eq!(repeats, 22, "a fifth of 100, and 2");
}

#[test]
fn gateways_share_the_slack() {
    let mut bed = Bed::open(&[desk(1), desk(2)]);
    let gateways = [fleet::address(8), fleet::address(9), fleet::address(10)];
    bed.feed(Event::Listed {
        gateways: &gateways,
    });
    bed.arrive(1, "/look/1");
    let out = bed.settle(1, may_have_run(Reason::EndpointFailed));
    assert!(
        sent(&out).is_none(),
        "2 over 4 gateways and a fifth of one request"
    );
}

#[test]
fn request_is_given_up_at_its_timeout() {
    let mut bed = Bed::open(&[desk(1)]);
    bed.arrive(1, "/book/1");
    assert!(refused(&bed.wait(SECOND * 3)).is_none());
    let late = may_have_run(Reason::DeadlinePassed);
    assert_eq!(refused(&bed.wait(SECOND)), Some(late));
}

#[test]
fn answer_that_is_passed_on_is_broken_off_at_the_timeout() {
    let mut bed = Bed::open(&[desk(1)]);
    bed.arrive(1, "/book/1");
    bed.feed(Event::Begun { call: 1 });
    let out = bed.wait(SECOND * 4);
    assert!(matches!(out[0], Command::Cancel { call: 1 }), "{out:?}");
}

#[test]
fn client_that_is_less_patient_than_the_route_counts() {
    let mut bed = Bed::open(&[desk(1)]);
    let passage = Passthrough {
        timeout: Some(SECOND),
        ..passage("/book/1")
    };
    let out = bed.feed(Event::Arrived { call: 1, passage });
    let Command::Dispatch { patience, .. } = &out[0] else {
        panic!("{out:?}");
    };
    assert_eq!(*patience, SECOND);
    assert!(refused(&bed.wait(SECOND)).is_some());
}

#[test]
fn client_that_left_gives_its_place_up() {
    let mut bed = Bed::open(&[desk(1)]);
    bed.arrive(1, "/book/1");
    bed.feed(Event::Left { call: 1 });
    assert_eq!(bed.gateway.in_flight(), 0);
    assert!(bed.settle(1, Verdict::Ran).is_empty());
}

#[test]
fn endpoint_that_can_not_be_reached_is_passed_over() {
    let mut bed = Bed::open(&[desk(1), desk(2)]);
    let first = sent(&bed.arrive(1, "/book/1")).unwrap();
    bed.settle(1, not_run(Reason::Unreachable));
    bed.settle(1, Verdict::Ran);
    for call in 2..12 {
        let other = sent(&bed.arrive(call, "/book/1")).unwrap();
        assert_ne!(other, first);
        bed.settle(call, Verdict::Ran);
    }
}

#[test]
fn suspected_endpoint_is_better_than_none() {
    let mut bed = Bed::open(&[desk(1)]);
    bed.arrive(1, "/book/1");
    bed.settle(1, not_run(Reason::Unreachable));
    assert_eq!(sent(&bed.arrive(2, "/book/1")).as_deref(), Some("desk-1"));
}

#[test]
fn load_is_spread_over_the_endpoints() {
    let mut bed = Bed::open(&[desk(1), desk(2), desk(3)]);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for call in 0..18 {
        let id = sent(&bed.arrive(call, "/book/1")).unwrap();
        *counts.entry(id).or_default() += 1;
    }
    assert_eq!(counts.into_values().collect::<Vec<u32>>(), [6, 6, 6]);
}

#[test]
fn request_goes_to_an_engine_that_holds_its_model() {
    let mut bed = Bed::open(&[engine(1, &["grade"]), engine(2, &["price"])]);
    let passage = chat("price", None, &[]);
    let out = bed.feed(Event::Arrived { call: 1, passage });
    assert_eq!(sent(&out).as_deref(), Some("engine-2"));
}

/// A prompt with a shared beginning and a part of its own.
fn prompt(shared: u64, own: u64) -> [Part; 2] {
    let part = |id, tokens| Part { id, tokens };
    [part(shared, 6000), part(own, 3000)]
}

#[test]
fn prompts_with_the_same_beginning_go_to_the_same_engine() {
    let engines: Vec<Announcement> = (1..9).map(|host| engine(host, &["grade"])).collect();
    let mut bed = Bed::open(&engines);
    for shared in 0..20 {
        let mut used = BTreeSet::new();
        for own in 0..4 {
            let call = shared * 100 + own;
            let prompt = prompt(shared, call + 1_000_000);
            let passage = chat("grade", None, &prompt);
            used.insert(sent(&bed.feed(Event::Arrived { call, passage })).unwrap());
            bed.feed(Event::Begun { call });
            bed.settle(call, Verdict::Ran);
        }
        assert_eq!(used.len(), 1);
    }
}

#[test]
fn busy_engine_is_left_even_where_the_beginning_is_kept() {
    let mut bed = Bed::open(&[engine(1, &["grade"]), engine(2, &["grade"])]);
    let mut used = BTreeSet::new();
    for call in 0..4 {
        let prompt = prompt(1, call + 100);
        let passage = chat("grade", None, &prompt);
        used.insert(sent(&bed.feed(Event::Arrived { call, passage })).unwrap());
    }
    assert_eq!(used.len(), 2);
}

#[test]
fn adapter_is_loaded_before_the_request_is_sent() {
    let mut bed = Bed::open(&[engine(1, &["price"])]);
    let passage = chat("price", Some("a1"), &[]);
    let out = bed.feed(Event::Arrived { call: 1, passage });
    assert!(matches!(&out[0], Command::Prepare { adapter, .. } if adapter == "a1"));
    let adapters = ["price/a1".to_owned()];
    let adapters = Some(adapters.as_slice());
    let out = bed.feed(Event::Prepared { call: 1, adapters });
    assert_eq!(sent(&out).as_deref(), Some("engine-1"));
}

#[test]
fn adapter_that_a_heartbeat_tells_of_is_used_at_once() {
    let holding = Announcement {
        adapters: vec!["price/a1".to_owned()],
        ..engine(2, &["price"])
    };
    let mut bed = Bed::open(&[engine(1, &["price"]), holding]);
    let passage = chat("price", Some("a1"), &[]);
    let out = bed.feed(Event::Arrived { call: 1, passage });
    assert_eq!(sent(&out).as_deref(), Some("engine-2"));
}

#[test]
fn silent_steward_sends_the_request_elsewhere() {
    let mut bed = Bed::open(&[engine(1, &["price"]), engine(2, &["price"])]);
    let passage = chat("price", Some("a1"), &[]);
    let chosen = |out: &[Command]| match out {
        [.., Command::Prepare { endpoint, .. }] => endpoint.id.clone(),
        other => panic!("{other:?}"),
    };
    let first = chosen(&bed.feed(Event::Arrived { call: 1, passage }));
    let second = chosen(&bed.feed(Event::Prepared {
        call: 1,
        adapters: None,
    }));
    assert_ne!(first, second);
}

const DECLINED: Event<'_> = Event::Prepared {
    call: 1,
    adapters: Some(&[]),
};

/// Whether the steward of some engine is asked for an adapter.
fn prepares(out: &[Command]) -> bool {
    out.iter()
        .any(|command| matches!(command, Command::Prepare { .. }))
}

#[test]
fn stewards_that_have_no_place_use_no_repeats() {
    let engines: Vec<Announcement> = (1..=6).map(|host| engine(host, &["price"])).collect();
    let mut bed = Bed::open(&engines);
    let passage = chat("price", Some("a1"), &[]);
    bed.feed(Event::Arrived { call: 1, passage });
    for _ in 1..6 {
        let out = bed.feed(DECLINED);
        assert!(prepares(&out), "{out:?}");
    }
}

#[test]
fn stewards_are_asked_again_that_had_no_place() {
    let mut bed = Bed::open(&[engine(1, &["price"])]);
    let passage = chat("price", Some("a1"), &[]);
    bed.feed(Event::Arrived { call: 1, passage });
    let out = bed.feed(DECLINED);
    assert!(!prepares(&out) && refused(&out).is_none());
    assert!(prepares(&bed.wait(SECOND / 10)));
    bed.feed(DECLINED);
    assert!(prepares(&bed.wait(SECOND)));
    let out = bed.feed(DECLINED);
    assert_eq!(refused(&out), Some(not_run(Reason::NotHeld)));
}

#[test]
fn engine_without_a_place_is_passed_over_for_other_adapters() {
    let mut bed = Bed::open(&[engine(1, &["price"]), engine(2, &["price"])]);
    let chosen = |out: &[Command]| match out {
        [Command::Prepare { endpoint, .. }, ..] => endpoint.id.clone(),
        other => panic!("{other:?}"),
    };
    let passage = chat("price", Some("a1"), &[]);
    let full = chosen(&bed.feed(Event::Arrived { call: 1, passage }));
    bed.feed(DECLINED);
    for (call, adapter) in [(2, "a2"), (3, "a3"), (4, "a4"), (5, "a5")] {
        let passage = chat("price", Some(adapter), &[]);
        assert_ne!(chosen(&bed.feed(Event::Arrived { call, passage })), full);
    }
}

#[test]
fn silent_endpoint_is_passed_over_until_it_answers() {
    let mut bed = Bed::open(&[desk(1), desk(2)]);
    let silent = sent(&bed.arrive(1, "/book/1")).unwrap();
    bed.wait(SECOND * 8 / 10);
    for call in 2..10 {
        assert_ne!(sent(&bed.arrive(call, "/book/1")).unwrap(), silent);
        bed.settle(call, Verdict::Ran);
    }
    bed.feed(Event::Progressed { call: 1 });
    let used = (10..30).any(|call| sent(&bed.arrive(call, "/book/1")).unwrap() == silent);
    assert!(used);
}

#[test]
fn endpoint_that_was_silent_to_the_end_is_passed_over() {
    let mut bed = Bed::open(&[desk(1), desk(2)]);
    let silent = sent(&bed.arrive(1, "/book/1")).unwrap();
    bed.wait(SECOND * 8 / 10);
    bed.feed(Event::Left { call: 1 });
    assert_ne!(sent(&bed.arrive(2, "/book/1")).unwrap(), silent);
}

/// An engine that answered all it was sent isn't silent, whatever its steward is asked.
#[test]
fn engine_that_only_waits_for_its_steward_is_not_silent() {
    let mut bed = Bed::open(&[engine(1, &["price"]), engine(2, &["price"])]);
    let plain = chat("price", None, &[]);
    bed.feed(Event::Arrived {
        call: 2,
        passage: plain,
    });
    let out = bed.feed(Event::Arrived {
        call: 1,
        passage: chat("price", Some("a1"), &[]),
    });
    let Command::Prepare { endpoint, .. } = &out[0] else {
        panic!("{out:?}");
    };
    let asked = endpoint.id.clone();
    // A request to each engine, so that one of them shares it with the question.
    for call in 3..20 {
        let passage = chat("price", None, &[]);
        bed.feed(Event::Arrived { call, passage });
    }
    for call in 2..20 {
        bed.settle(call, Verdict::Ran);
    }
    bed.feed(DECLINED);
    bed.feed(Event::Left { call: 1 });
    bed.now += SECOND;
    let used = (30..60).any(|call| {
        let passage = chat("price", None, &[]);
        let out = bed.feed(Event::Arrived { call, passage });
        sent(&out).as_deref() == Some(asked.as_str())
    });
    assert!(used);
}

/// Whether a request without an answer is sent elsewhere after twice its objective.
fn hurries(path: &str, endpoints: &[Announcement], again: bool) {
    let mut bed = Bed::open(endpoints);
    let first = sent(&bed.arrive(1, path)).unwrap();
    assert!(sent(&bed.wait(SECOND * 19 / 10)).is_none());
    let out = bed.wait(SECOND / 10);
    assert!(refused(&out).is_none());
    let second = sent(&out);
    assert_eq!(second.is_some(), again);
    assert_ne!(second, Some(first));
}

cases!(hurries {
    look_up: ("/look/1", &[desk(1), desk(2)], true),
    booking_that_may_have_run: ("/book/1", &[desk(1), desk(2)], false),
    nowhere_else: ("/look/1", &[desk(1)], false),
});

#[test]
fn answer_that_began_is_not_hurried() {
    let mut bed = Bed::open(&[desk(1), desk(2)]);
    bed.arrive(1, "/look/1");
    bed.feed(Event::Begun { call: 1 });
    assert!(sent(&bed.wait(SECOND * 2)).is_none());
}

/// The demand that a leader records `after` it began to lead, with what it recalled.
fn records(recalled: f64, after: Duration, expected: Option<f64>) {
    let mut bed = Bed::open(&[engine(1, &["price"])]);
    let demand = &[("price".into(), recalled)];
    let term = Some(1);
    bed.feed(Event::Led { term, demand });
    let out = bed.wait(after);
    let told = out.iter().find_map(|command| match command {
        Command::Record { demand } => Some(demand[0].1),
        _ => None,
    });
    assert_eq!(told.map(f64::round), expected);
}

cases!(records {
    nothing_at_once: (1000.0, SECOND, None),
    what_it_recalled_as_if_it_had_been_measured: (1000.0, SECOND * 6, Some(368.0)),
    nothing_where_there_is_none: (0.0, SECOND * 6, None),
});

/// One event of a request that may run once.
#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive,
    NotRun,
    Lost,
    Ran,
    Leave,
    Wait,
}

proptest! {
    #![proptest_config(config(500))]

    /// However attempts end, a request that must not run twice is never sent on
    /// after an attempt that may have run.
    #[test]
    fn booking_runs_once_at_most(
        steps in prop::collection::vec((0..4_u64, prop::sample::select(vec![
            Step::Arrive, Step::NotRun, Step::Lost, Step::Ran, Step::Leave, Step::Wait,
        ])), 1..80)
    ) {
        let mut bed = Bed::open(&[desk(1), desk(2), desk(3)]);
        let mut running: BTreeMap<u64, u64> = BTreeMap::new();
        let mut doubtful = BTreeSet::new();
        let mut calls = 0;
        for (slot, step) in steps {
            let out = match (step, running.get(&slot).copied()) {
                (Step::Arrive, None) => {
                    calls += 1;
                    running.insert(slot, calls);
                    bed.arrive(calls, "/book/1")
                }
                (Step::NotRun, Some(call)) => bed.settle(call, not_run(Reason::QueueFull)),
                (Step::Lost, Some(call)) => {
                    doubtful.insert(call);
                    bed.settle(call, may_have_run(Reason::LinkLost))
                }
                (Step::Ran, Some(call)) => {
                    doubtful.insert(call);
                    bed.settle(call, Verdict::Ran)
                }
                (Step::Leave, Some(call)) => {
                    doubtful.insert(call);
                    bed.feed(Event::Left { call })
                }
                (Step::Wait, _) => bed.wait(SECOND * 2),
                _ => continue,
            };
            for command in out {
                match command {
                    Command::Dispatch { call, .. } => {
                        prop_assert!(!doubtful.contains(&call), "{call} is sent again");
                    }
                    Command::Refuse { call, refusal } => {
                        let promised = matches!(refusal.verdict, Verdict::NotRun { .. });
                        prop_assert!(!(promised && doubtful.contains(&call)));
                        running.retain(|_, other| *other != call);
                    }
                    _ => {}
                }
            }
            running.retain(|_, call| !doubtful.contains(call));
        }
    }
}
