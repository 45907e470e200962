//! Tests of what endpoints say of themselves in their answers: that they leave, and that they
//! want no requests for a time.

mod fleet;

use std::time::Duration;

use fleet::gateways::{Fate, Fleet, engines};
use nutmegyoke_cases::cases;
use nutmegyoke_core::process::gateway::{Command, Event};
use nutmegyoke_core::process::registry::Announcement;
use nutmegyoke_core::process::signal::{Departure, Pause, Signal};
use nutmegyoke_core::request::{Reason, Verdict};

const SECOND: Duration = Duration::from_secs(1);

const LEAVING: Signal = Signal {
    limit: nutmegyoke_core::process::throttle::Notice::Unlimited,
    departure: Departure::Leaving,
    pause: Pause::None,
};

const fn paused(pause: Duration) -> Signal {
    Signal {
        limit: nutmegyoke_core::process::throttle::Notice::Unlimited,
        departure: Departure::None,
        pause: Pause::For(pause),
    }
}

/// How an endpoint refuses a request.
const DECLINED: Verdict = Verdict::NotRun {
    reason: Reason::QueueFull,
};

/// The start of all engines at the beginning of a test.
const STARTED_MS: u64 = 1;

fn replied(call: u64, signal: Signal) -> Event<'static> {
    Event::Replied {
        call,
        started_ms: STARTED_MS,
        signal,
    }
}

/// Sends a request through gateway 0 to an engine, which answers with `signal` and `verdict`.
/// Returns the engine and the commands that result.
fn answer(fleet: &mut Fleet, signal: Signal, verdict: Verdict) -> (Announcement, Vec<Command>) {
    let Fate::Sent { endpoint, call } = fleet.ask(0, &[1]) else {
        panic!("refused");
    };
    let mut out = fleet.feed(0, replied(call, signal));
    out.extend(fleet.feed(0, Event::AttemptEnded { call, verdict }));
    ((*endpoint).clone(), out)
}

/// Whether some of twenty requests through a gateway are sent to `endpoint`.
fn gets_requests(fleet: &mut Fleet, gateway: usize, endpoint: &Announcement) -> bool {
    let mut sent = (0..20).map(|part| fleet.ask(gateway, &[part]));
    sent.any(|fate| matches!(fate, Fate::Sent { endpoint: to, .. } if to.id == endpoint.id))
}

/// An engine that says in its answers that it leaves was sent requests until a heartbeat said so.
fn endpoint_that_leaves_gets_no_requests(verdict: Verdict) {
    let mut fleet = Fleet::open(2, &engines(2));
    let (endpoint, _) = answer(&mut fleet, LEAVING, verdict);
    assert!(!gets_requests(&mut fleet, 0, &endpoint));
    assert!(!gets_requests(&mut fleet, 1, &endpoint), "told by gossip");
    // A heartbeat that was sent before, or by an engine that contradicts itself.
    fleet.announce(1, &endpoint, |_| {});
    assert!(!gets_requests(&mut fleet, 0, &endpoint));
    assert!(!gets_requests(&mut fleet, 1, &endpoint));
    fleet.announce(1, &endpoint, |stamp| stamp.started_ms += 1);
    assert!(gets_requests(&mut fleet, 0, &endpoint), "another start");
}

cases!(endpoint_that_leaves_gets_no_requests {
    after_a_success: (Verdict::Ran),
    after_a_refusal: (DECLINED),
    after_a_failure: (Verdict::may_have_run(Reason::EndpointFailed)),
    // The client left while the request ran.
    after_a_cancelled_request: (Verdict::may_have_run(Reason::CallerLeft)),
});

#[test]
fn retry_goes_to_no_endpoint_that_leaves() {
    let mut fleet = Fleet::open(1, &engines(3));
    let (first, _) = answer(&mut fleet, LEAVING, Verdict::Ran);
    let (second, out) = answer(&mut fleet, LEAVING, DECLINED);
    let Fate::Sent { endpoint, .. } = Fleet::fate(&out) else {
        panic!("refused: {out:?}");
    };
    assert!(![first.id, second.id].contains(&endpoint.id));
}

#[test]
fn request_waits_for_an_endpoint_when_the_last_one_leaves() {
    let mut fleet = Fleet::open(1, &engines(1));
    answer(&mut fleet, LEAVING, Verdict::Ran);
    let (number, out) = fleet.arrive(0, &[1]);
    let queued = |command: &Command| matches!(command, Command::Queued { call } if *call == number);
    assert!(out.iter().any(queued), "{out:?}");
}

/// The refused requests came back to an engine at once that had asked for a pause.
#[test]
fn endpoint_that_asked_for_a_pause_gets_no_requests_before_its_end() {
    let mut fleet = Fleet::open(2, &engines(2));
    let (endpoint, _) = answer(&mut fleet, paused(3 * SECOND), DECLINED);
    assert!(!gets_requests(&mut fleet, 0, &endpoint));
    assert!(gets_requests(&mut fleet, 1, &endpoint), "it was not asked");
    fleet.now += Duration::from_millis(2990);
    assert!(!gets_requests(&mut fleet, 0, &endpoint));
    fleet.now += Duration::from_millis(10);
    assert!(gets_requests(&mut fleet, 0, &endpoint));
}

#[test]
fn pause_ends_with_another_start_of_the_endpoint() {
    let mut fleet = Fleet::open(1, &engines(2));
    let (endpoint, _) = answer(&mut fleet, paused(30 * SECOND), DECLINED);
    fleet.announce(0, &endpoint, |stamp| stamp.started_ms += 1);
    assert!(gets_requests(&mut fleet, 0, &endpoint));
}

/// An answer was on its way when the endpoint started again.
fn answer_of_an_earlier_start_says_nothing_of_the_next(signal: Signal) {
    let mut fleet = Fleet::open(1, &engines(2));
    let Fate::Sent { endpoint, call } = fleet.ask(0, &[1]) else {
        panic!("refused");
    };
    fleet.announce(0, &endpoint, |stamp| stamp.started_ms += 1);
    fleet.feed(0, replied(call, signal));
    assert!(gets_requests(&mut fleet, 0, &endpoint));
}

cases!(answer_of_an_earlier_start_says_nothing_of_the_next {
    that_leaves: (LEAVING),
    that_asks_for_a_pause: (paused(30 * SECOND)),
});

/// The refusal of a request, with the time after which it may come again.
fn refusal(out: &[Command]) -> (Verdict, Option<Duration>) {
    let refusal = out.iter().find_map(|command| match command {
        Command::Refuse { refusal, .. } => Some((refusal.verdict, refusal.retry_after)),
        _ => None,
    });
    refusal.unwrap_or_else(|| panic!("not refused: {out:?}"))
}

/// Requests waited in the queue, and then got a short `Retry-After`.
#[test]
fn request_is_refused_at_once_when_all_endpoints_asked_for_a_pause() {
    let mut fleet = Fleet::open(1, &engines(2));
    let Fate::Sent { call, .. } = fleet.ask(0, &[1]) else {
        panic!("refused");
    };
    let signal = paused(5 * SECOND);
    fleet.feed(0, replied(call, signal));
    // Its retry is refused by the other engine.
    let verdict = DECLINED;
    fleet.feed(0, Event::AttemptEnded { call, verdict });
    let signal = paused(2 * SECOND);
    fleet.feed(0, replied(call, signal));
    let out = fleet.feed(0, Event::AttemptEnded { call, verdict });
    let expected = Verdict::not_run(Reason::EndpointPaused);
    assert_eq!(refusal(&out), (expected, Some(2 * SECOND)));
    fleet.now += SECOND;
    let (_, out) = fleet.arrive(0, &[2]);
    assert_eq!(refusal(&out), (expected, Some(SECOND)));
}

/// What a signal reports, when it comes twice.
fn reports(signal: Signal, pauses: &[Duration], malformed: usize) {
    let mut fleet = Fleet::open(1, &engines(1));
    let calls = [fleet.ask(0, &[1]), fleet.ask(0, &[2])];
    let mut out = Vec::new();
    for fate in calls {
        let Fate::Sent { call, .. } = fate else {
            panic!("refused");
        };
        out.extend(fleet.feed(0, replied(call, signal)));
    }
    let reported = out.iter().filter_map(|command| match command {
        Command::ReportPause { pause, .. } => Some(*pause),
        _ => None,
    });
    assert_eq!(reported.collect::<Vec<_>>(), pauses);
    let is_malformed =
        |command: &&Command| matches!(command, Command::ReportMalformedSignal { .. });
    assert_eq!(out.iter().filter(is_malformed).count(), malformed);
}

const HOUR: Duration = Duration::from_hours(1);

cases!(reports {
    pause: (paused(SECOND), &[SECOND], 0),
    no_pause: (paused(Duration::ZERO), &[], 0),
    pause_without_end: (paused(Duration::MAX), &[HOUR], 1),
    malformed_pause: (
        Signal {
            pause: Pause::Malformed,
            ..Signal::default()
        },
        &[],
        1
    ),
    malformed_departure: (
        Signal {
            departure: Departure::Malformed,
            ..Signal::default()
        },
        &[],
        1
    ),
});
