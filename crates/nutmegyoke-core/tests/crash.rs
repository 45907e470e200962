//! Tests of the detection of crashes, with gateways that exchange gossip: which broken
//! connections count as crashes, and that all gateways refuse what crashes endpoints.

mod fleet;

use std::time::Duration;

use fleet::desk;
use fleet::gateways::{Fate, Fleet, TRUNCATED, engines};
use nutmegyoke_cases::cases;
use nutmegyoke_core::process::endpoint::Phase;
use nutmegyoke_core::process::gateway::{Command, Event, Halt};
use nutmegyoke_core::process::registry::{Announcement, Stamp};
use nutmegyoke_core::request::{Fingerprint, Reason, Verdict};
use nutmegyoke_core::version::Routing;
use nutmegyoke_core::version::routing::Semantics;

const SECOND: Duration = Duration::from_secs(1);

/// The part that crashes engines in these tests.
const DEADLY: u64 = 0xDEAD;

const LINK_LOST: Verdict = Verdict::MayHaveRun {
    reason: Reason::LinkLost,
};

const WITHHELD: Fate = Fate::Refused {
    reason: Some(Reason::Quarantined),
    halt: Halt::Quarantined,
};

/// Each gateway saw one of the crashes; alone it would learn nothing from it.
#[test]
fn gateways_that_saw_one_crash_each_refuse_what_caused_them() {
    let mut fleet = Fleet::open(4, &engines(9));
    for gateway in 0..3 {
        fleet.serve(gateway, &[1, 5]);
        assert!(fleet.crash_by(gateway, &[1, DEADLY]));
        fleet.serve(gateway, &[1, 5]);
    }
    for gateway in 0..4 {
        assert_eq!(fleet.ask(gateway, &[2, DEADLY]), WITHHELD);
        fleet.serve(gateway, &[1, 5]);
    }
}

/// All gateways get deadly requests at the same moment, ten times a second. Crashes close in
/// time count as one, and must still suffice within the seconds that the gateways have.
#[test]
fn deadly_requests_at_all_gateways_at_once_are_refused_within_a_second() {
    let mut fleet = Fleet::open(6, &engines(90));
    for _ in 0..10 {
        for gateway in 0..6 {
            let Fate::Sent { endpoint, call } = fleet.ask(gateway, &[1, DEADLY]) else {
                continue;
            };
            let verdict = TRUNCATED;
            fleet.feed(gateway, Event::AttemptEnded { call, verdict });
            fleet.probe(gateway, &endpoint, true);
        }
        fleet.now += SECOND / 10;
    }
    for gateway in 0..6 {
        assert_eq!(fleet.ask(gateway, &[1, DEADLY]), WITHHELD);
    }
}

/// The evidence was collected before it started.
#[test]
fn gateway_that_starts_after_the_crashes_refuses_what_caused_them() {
    let engines = engines(9);
    let mut fleet = Fleet::open(2, &engines);
    for _ in 0..3 {
        fleet.crash_by(0, &[1, DEADLY]);
    }
    fleet.start_gateway(&engines);
    fleet.now += 2 * SECOND;
    fleet.feed(0, Event::Ticked);
    assert_eq!(fleet.ask(2, &[1, DEADLY]), WITHHELD);
}

/// The path of a plain service and that of model engines, and the shared parts of the prompt.
fn request_that_crashes_endpoints_is_refused(path: &str, parts: &[u64]) {
    let deadly = Fingerprint(DEADLY);
    let mut endpoints = engines(9);
    endpoints.extend((20..29).map(desk));
    let mut fleet = Fleet::open(4, &endpoints);
    for gateway in 0..3 {
        let (_, out) = fleet.arrive_again(gateway, path, parts, deadly);
        assert!(fleet.crash(gateway, Fleet::fate(&out)), "{out:?}");
    }
    for gateway in 0..4 {
        let (_, out) = fleet.arrive_again(gateway, path, parts, deadly);
        assert_eq!(Fleet::fate(&out), WITHHELD);
        // Other requests to the same path, with the same parts, are served.
        let (_, out) = fleet.arrive_again(gateway, path, parts, Fingerprint(5));
        assert!(matches!(Fleet::fate(&out), Fate::Sent { .. }), "{out:?}");
    }
    fleet.start_gateway(&[]);
    fleet.now += 2 * SECOND;
    fleet.feed(0, Event::Ticked);
    let (_, out) = fleet.arrive_again(4, path, parts, deadly);
    assert_eq!(
        Fleet::fate(&out),
        WITHHELD,
        "at a gateway that has just started"
    );
}

cases!(request_that_crashes_endpoints_is_refused {
    for_a_model_with_a_prompt: ("/chat/1", &[1, 2]),
    for_a_model_without_shared_parts: ("/chat/1", &[]),
    repeatable_for_a_plain_service: ("/look/1", &[]),
    not_repeatable_for_a_plain_service: ("/book/1", &[]),
});

/// A request that comes again at twenty gateways within a second of the third crash.
#[test]
fn repeats_at_many_gateways_right_after_the_third_crash_are_refused() {
    let deadly = Fingerprint(DEADLY);
    let mut fleet = Fleet::open(20, &engines(90));
    for gateway in 0..3 {
        let (_, out) = fleet.arrive_again(gateway, "/chat/1", &[], deadly);
        assert!(fleet.crash(gateway, Fleet::fate(&out)));
    }
    for gateway in 0..20 {
        let (_, out) = fleet.arrive_again(gateway, "/chat/1", &[], deadly);
        assert_eq!(Fleet::fate(&out), WITHHELD);
        fleet.now += SECOND / 20;
    }
}

/// The verdict with which a request is refused, if it is.
fn refusal(out: &[Command], number: u64) -> Option<Verdict> {
    out.iter().find_map(|command| match command {
        Command::Refuse { call, refusal } if *call == number => Some(refusal.verdict),
        _ => None,
    })
}

/// It would crash one engine more. Whether it began to run is not known.
#[test]
fn request_at_an_engine_is_cancelled_when_its_part_is_quarantined() {
    let mut fleet = Fleet::open(1, &engines(9));
    let Fate::Sent { call: waiting, .. } = fleet.ask(0, &[1, DEADLY]) else {
        panic!("refused");
    };
    fleet.crash_by(0, &[1, DEADLY]);
    fleet.crash_by(0, &[2, DEADLY]);
    let Fate::Sent { endpoint, call } = fleet.ask(0, &[3, DEADLY]) else {
        panic!("refused");
    };
    let verdict = TRUNCATED;
    fleet.feed(0, Event::AttemptEnded { call, verdict });
    let out = fleet.probe(0, &endpoint, true);
    let cancelled = Verdict::may_have_run(Reason::Quarantined);
    assert_eq!(refusal(&out, waiting), Some(cancelled));
    assert_eq!(fleet.gateways[0].in_flight(), 0);
}

/// A fleet of one gateway whose streams may go on at another engine.
fn fleet_with_resumable_streams() -> Fleet {
    let mut draft = fleet::draft();
    draft.number = 2;
    for route in &mut draft.routes {
        if let Semantics::Stream { resumable } = &mut route.semantics {
            *resumable = true;
            route.max_attempts = 2;
        }
    }
    let mut fleet = Fleet::open(1, &engines(9));
    let routing = &Routing::open(draft).unwrap();
    fleet.feed(0, Event::Configured { routing });
    fleet
}

fn is_dispatched(out: &[Command]) -> bool {
    let mut out = out.iter();
    out.any(|command| matches!(command, Command::Dispatch { .. }))
}

/// Sound requests used up their attempts at endpoints that were known to be down.
#[test]
fn endpoint_that_crashed_gets_no_requests_until_it_starts_again() {
    let mut fleet = Fleet::open(2, &engines(2));
    let Fate::Sent { endpoint, call } = fleet.ask(0, &[1]) else {
        panic!("refused");
    };
    let verdict = TRUNCATED;
    fleet.feed(0, Event::AttemptEnded { call, verdict });
    fleet.probe(0, &endpoint, true);
    let takes_requests = |fleet: &mut Fleet, gateway| {
        (0..20).any(|part| match fleet.ask(gateway, &[part]) {
            Fate::Sent { endpoint: sent, .. } => sent.id == endpoint.id,
            Fate::Refused { .. } => panic!("refused"),
        })
    };
    assert!(!takes_requests(&mut fleet, 0));
    assert!(!takes_requests(&mut fleet, 1), "by what gateway 0 saw");
    fleet.announce(0, &endpoint, |stamp| stamp.started_ms += 1);
    assert!(takes_requests(&mut fleet, 0));
    assert!(takes_requests(&mut fleet, 1));
}

/// It is a suspect like the request that caused the crash, but nothing is known yet.
#[test]
fn sound_request_beside_a_crash_is_retried() {
    let mut fleet = fleet_with_resumable_streams();
    let Fate::Sent { call, .. } = fleet.ask(0, &[1, 5]) else {
        panic!("refused");
    };
    let verdict = LINK_LOST;
    assert!(is_dispatched(
        &fleet.feed(0, Event::AttemptEnded { call, verdict })
    ));
}

/// Each send of a deadly request crashed as many engines as its route has attempts.
#[test]
fn request_that_broke_at_two_crashed_engines_is_not_retried() {
    let mut fleet = fleet_with_resumable_streams();
    let Fate::Sent { endpoint, call } = fleet.ask(0, &[1]) else {
        panic!("refused");
    };
    let verdict = LINK_LOST;
    let retried = fleet.feed(0, Event::AttemptEnded { call, verdict });
    assert!(is_dispatched(&retried));
    fleet.probe(0, &endpoint, true);
    let out = fleet.feed(0, Event::AttemptEnded { call, verdict });
    let halt = out.iter().find_map(|command| match command {
        Command::Refuse { refusal, .. } => Some(refusal.halt),
        _ => None,
    });
    assert_eq!(halt, Some(Halt::Suspect), "{out:?}");
}

/// The retry after the third crash is under way when the probe shows the crash.
#[test]
fn retry_is_cancelled_once_the_crash_before_it_is_known() {
    let mut fleet = fleet_with_resumable_streams();
    fleet.crash_by(0, &[1, DEADLY]);
    fleet.crash_by(0, &[2, DEADLY]);
    let Fate::Sent { endpoint, call } = fleet.ask(0, &[3, DEADLY]) else {
        panic!("refused");
    };
    let verdict = LINK_LOST;
    assert!(is_dispatched(
        &fleet.feed(0, Event::AttemptEnded { call, verdict })
    ));
    let out = fleet.probe(0, &endpoint, true);
    let cancelled = Verdict::may_have_run(Reason::Quarantined);
    assert_eq!(refusal(&out, call), Some(cancelled));
}

/// What a gateway sees after the connection of a request broke.
#[derive(Clone, Copy, Debug)]
enum Sign {
    /// The endpoint refuses connections.
    Refused,
    /// The endpoint accepts a connection.
    Accepted,
    /// The endpoint announces a later start.
    Restarted,
    /// The endpoint is shutting down, and then refuses connections.
    ShutDown,
}

/// A crash is reported only if `sign` shows one.
fn reports_crash(sign: Sign, reported: bool) {
    let mut fleet = Fleet::open(1, &engines(2));
    let Fate::Sent { endpoint, call } = fleet.ask(0, &[DEADLY]) else {
        panic!("refused");
    };
    if let Sign::ShutDown = sign {
        let announcement = &Announcement {
            phase: Phase::Draining,
            stamp: Stamp {
                started_ms: 1,
                sequence: 2,
            },
            ..Announcement::clone(&endpoint)
        };
        fleet.feed(0, Event::Announced { announcement });
    }
    let verdict = TRUNCATED;
    let mut out = fleet.feed(0, Event::AttemptEnded { call, verdict });
    out.extend(match sign {
        Sign::Refused | Sign::ShutDown => fleet.probe(0, &endpoint, true),
        Sign::Accepted => fleet.probe(0, &endpoint, false),
        Sign::Restarted => fleet.announce(0, &endpoint, |stamp| stamp.started_ms += 1),
    });
    let mut out = out.iter();
    let found = out.any(|command| matches!(command, Command::ReportCrash { .. }));
    assert_eq!(found, reported);
}

cases!(reports_crash {
    endpoint_that_refuses_connections: (Sign::Refused, true),
    endpoint_that_started_again: (Sign::Restarted, true),
    // It failed one request, or the network reset the connection.
    endpoint_that_accepts_connections: (Sign::Accepted, false),
    endpoint_that_shuts_down: (Sign::ShutDown, false),
});

/// Ends requests with part 7, `begun` after their answers began, along with their engines.
/// Whether the engines then start again is left open.
fn end_with_engines(fleet: &mut Fleet, begun: Duration) {
    for _ in 0..3 {
        let Fate::Sent { endpoint, call } = fleet.ask(0, &[7]) else {
            panic!("refused");
        };
        fleet.feed(0, Event::AnswerStarted { call });
        fleet.now += begun;
        let verdict = TRUNCATED;
        fleet.feed(0, Event::AttemptEnded { call, verdict });
        fleet.probe(0, &endpoint, true);
        fleet.now += SECOND;
    }
}

/// A stream that had run for a while when its engine crashed did not cause that.
#[test]
fn running_stream_is_no_suspect() {
    let mut fleet = Fleet::open(1, &engines(9));
    end_with_engines(&mut fleet, SECOND);
    assert!(matches!(fleet.ask(0, &[7]), Fate::Sent { .. }));
}

/// A network fault can look like crashes. The endpoints' heartbeats tell that there were none.
#[test]
fn endpoint_that_goes_on_sending_heartbeats_did_not_crash() {
    let engines = engines(9);
    let mut fleet = Fleet::open(2, &engines);
    end_with_engines(&mut fleet, Duration::ZERO);
    assert_eq!(fleet.ask(1, &[7]), WITHHELD);
    fleet.now += 3 * SECOND;
    for engine in &engines {
        fleet.announce(1, engine, |stamp| stamp.sequence += 2);
    }
    fleet.feed(1, Event::Ticked);
    assert!(matches!(fleet.ask(1, &[7]), Fate::Sent { .. }));
}
