//! Tests of a gateway's planned stop: which requests it takes, and how the others end.

mod fleet;

use std::time::Duration;

use fleet::gateways::{Fate, Fleet, engines};
use nutmegyoke_cases::cases;
use nutmegyoke_core::process::gateway::{Command, Event};
use nutmegyoke_core::request::{Reason, Verdict};

/// When the gateway stops to accept connections, after the start of its stop.
const LISTENING: Duration = Duration::from_secs(2);

/// When the requests without an answer end. Requests have 4 s.
const END: Duration = Duration::from_secs(7);

/// A gateway with one engine whose stop begins. The requests without an answer end at `end`.
fn stopping(end: Duration) -> Fleet {
    let mut fleet = Fleet::open(1, &engines(1));
    let now = fleet.now;
    let out = fleet.feed(
        0,
        Event::Stopping {
            listening_until: now + LISTENING,
            ends_at: now + end,
        },
    );
    assert!(out.is_empty(), "{out:?}");
    fleet
}

/// Whether a request that arrives `after` the start of the stop is taken.
fn arrival_is_taken(after: Duration, expected: bool) {
    let mut fleet = stopping(END);
    fleet.now += after;
    match fleet.ask(0, &[1]) {
        Fate::Sent { .. } => assert!(expected),
        Fate::Refused { reason, .. } => {
            assert!(!expected);
            assert_eq!(reason, Some(Reason::Draining));
        }
    }
}

cases!(arrival_is_taken {
    at_the_start: (Duration::ZERO, true),
    while_connections_are_accepted: (LISTENING, true),
    with_time_left_for_its_deadline: (Duration::from_secs(3), true),
    when_its_deadline_is_after_the_end: (Duration::from_millis(3001), false),
    after_the_end: (END, false),
});

/// A request that an engine has is refused as one that may have run, unless its answer began.
fn running_request_ends_with_the_stop(answering: bool, expected: &[Verdict]) {
    let rest = Duration::from_secs(3);
    let mut fleet = stopping(LISTENING + rest);
    fleet.now += LISTENING;
    let Fate::Sent { call, .. } = fleet.ask(0, &[1]) else {
        panic!("refused");
    };
    if answering {
        fleet.feed(0, Event::AnswerStarted { call });
    }
    fleet.now += rest;
    let out = fleet.feed(0, Event::Ticked);
    let verdicts = out.iter().filter_map(|command| match command {
        Command::Refuse { refusal, .. } => Some(refusal.verdict),
        _ => None,
    });
    let verdicts: Vec<Verdict> = verdicts.collect();
    assert_eq!(verdicts, expected);
}

cases!(running_request_ends_with_the_stop {
    without_an_answer: (false, &[Verdict::may_have_run(Reason::Draining)]),
    with_an_answer_under_way: (true, &[]),
});

/// A request that waits for an endpoint when the stop ends did not run.
#[test]
fn queued_request_is_refused_as_not_run_when_the_stop_ends() {
    let mut fleet = Fleet::open(1, &[]);
    let (now, rest) = (fleet.now, Duration::from_millis(500));
    let stopping = Event::Stopping {
        listening_until: now + rest,
        ends_at: now + rest,
    };
    fleet.feed(0, stopping);
    let (call, out) = fleet.arrive(0, &[1]);
    assert!(matches!(out[..], [Command::Queued { .. }]), "{out:?}");
    fleet.now += rest;
    let out = fleet.feed(0, Event::Ticked);
    let [
        Command::Refuse {
            call: refused,
            refusal,
        },
    ] = &out[..]
    else {
        panic!("{out:?}");
    };
    assert_eq!(
        (*refused, refusal.verdict),
        (call, Verdict::not_run(Reason::Draining))
    );
}
