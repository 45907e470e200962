//! Tests of the detection of crashes, with gateways that exchange gossip: which broken
//! connections count as crashes, and that all gateways refuse what crashes endpoints.

mod fleet;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fleet::{address, engine, routing};
use nutmegyoke_cases::cases;
use nutmegyoke_core::process::endpoint::{Phase, Target};
use nutmegyoke_core::process::gateway::{Bound, Command, Event, Halt, Setup};
use nutmegyoke_core::process::registry::{Announcement, Stamp};
use nutmegyoke_core::process::{Gateway, Machine};
use nutmegyoke_core::request::passthrough::Part;
use nutmegyoke_core::request::{Passthrough, Reason, Verdict};

const SECOND: Duration = Duration::from_secs(1);

/// The part that crashes engines in these tests.
const DEADLY: u64 = 0xDEAD;

const TRUNCATED: Verdict = Verdict::MayHaveRun {
    reason: Reason::Truncated,
};

/// Gateways with a common clock, whose gossip is delivered at once.
struct Fleet {
    now: Instant,
    gateways: Vec<Gateway>,
    calls: u64,
}

/// The fate of a request.
#[derive(Clone, Debug, PartialEq)]
enum Fate {
    Sent {
        endpoint: Rc<Announcement>,
        call: u64,
    },
    Refused {
        reason: Option<Reason>,
        halt: Halt,
    },
}

impl Fleet {
    fn open(gateways: usize, engines: &[Announcement]) -> Self {
        let mut fleet = Self {
            now: Instant::now(),
            gateways: Vec::new(),
            calls: 0,
        };
        for _ in 0..gateways {
            fleet.start_gateway(engines);
        }
        fleet
    }

    /// Starts one more gateway, and lists it at the others.
    fn start_gateway(&mut self, engines: &[Announcement]) {
        self.gateways.push(Gateway::open(Setup {
            data_centre: "alp-a".into(),
            heartbeat_period: SECOND,
            retry_bound: Bound::default(),
            seed: 1,
        }));
        let count = self.gateways.len();
        let newest = count - 1;
        let routing = &routing();
        self.feed(newest, Event::Configured { routing });
        for announcement in engines {
            self.feed(newest, Event::Announced { announcement });
        }
        for index in 0..count {
            let others = (0..count).filter(|&other| other != index);
            let others: Vec<SocketAddr> = others.map(host).collect();
            self.feed(index, Event::PeersListed { gateways: &others });
        }
    }

    /// Feeds an event and delivers the gossip that results; returns the other commands.
    fn feed(&mut self, gateway: usize, event: Event<'_>) -> Vec<Command> {
        let mut out = Vec::new();
        self.gateways[gateway].handle(self.now, event, &mut out);
        let (gossip, rest): (Vec<_>, Vec<_>) = out
            .into_iter()
            .partition(|command| matches!(command, Command::Gossip { .. }));
        for command in gossip {
            self.deliver(gateway, &command);
        }
        rest
    }

    fn deliver(&mut self, from: usize, command: &Command) {
        let Command::Gossip {
            to,
            rumors,
            work,
            evidence,
        } = command
        else {
            return;
        };
        let index = (0..self.gateways.len()).find(|&index| host(index) == *to);
        let run = index.map(|index| {
            let from = u64::try_from(from).unwrap();
            self.feed(
                index,
                Event::Gossiped {
                    from,
                    rumors,
                    work,
                    evidence,
                },
            );
            u64::try_from(index).unwrap()
        });
        let to = *to;
        self.feed(from, Event::Delivered { to, run });
    }

    /// Sends a request with a prompt of these shared parts to a gateway.
    fn ask(&mut self, gateway: usize, parts: &[u64]) -> Fate {
        self.calls += 1;
        let call = self.calls;
        let own = [10_000 + call];
        let prompt = parts.iter().chain(&own);
        let prompt: Vec<Part> = prompt.map(|&id| Part { id, tokens: 100 }).collect();
        let (model, adapter) = ("grade", None);
        let request = Passthrough {
            host: "desk.example",
            path: "/chat/1",
            timeout: None,
            target: Some(Target::Model { model, adapter }),
            prompt: &prompt,
        };
        let out = self.feed(gateway, Event::Arrived { call, request });
        let fate = out.iter().find_map(|command| match command {
            Command::Dispatch { endpoint, .. } => Some(Fate::Sent {
                endpoint: Rc::clone(endpoint),
                call,
            }),
            Command::Refuse { refusal, .. } => Some(Fate::Refused {
                reason: refusal.verdict.reason(),
                halt: refusal.halt,
            }),
            _ => None,
        });
        fate.unwrap_or_else(|| panic!("{out:?}"))
    }

    /// Sends a request whose engine crashes as it begins to answer, and starts again. Returns
    /// whether the request was sent.
    fn crash_by(&mut self, gateway: usize, parts: &[u64]) -> bool {
        let Fate::Sent { endpoint, call } = self.ask(gateway, parts) else {
            return false;
        };
        self.feed(gateway, Event::AnswerStarted { call });
        let verdict = TRUNCATED;
        self.feed(gateway, Event::AttemptEnded { call, verdict });
        self.probe(gateway, &endpoint, true);
        self.now += SECOND;
        self.announce(gateway, &endpoint, |stamp| stamp.started_ms += 1);
        true
    }

    /// Sends the heartbeat of an engine after `change`.
    fn announce(
        &mut self,
        gateway: usize,
        endpoint: &Announcement,
        change: impl Fn(&mut Stamp),
    ) -> Vec<Command> {
        let mut announcement = endpoint.clone();
        announcement.stamp.sequence += 1;
        change(&mut announcement.stamp);
        let announcement = &announcement;
        self.feed(gateway, Event::Announced { announcement })
    }

    fn probe(&mut self, gateway: usize, endpoint: &Announcement, refused: bool) -> Vec<Command> {
        self.feed(
            gateway,
            Event::Probed {
                endpoint: &endpoint.id,
                started_ms: endpoint.stamp.started_ms,
                refused,
            },
        )
    }

    /// Sends a request that succeeds.
    fn serve(&mut self, gateway: usize, parts: &[u64]) {
        let Fate::Sent { call, .. } = self.ask(gateway, parts) else {
            panic!("refused {parts:?}");
        };
        self.feed(gateway, Event::AnswerStarted { call });
        let verdict = Verdict::Ran;
        self.feed(gateway, Event::AttemptEnded { call, verdict });
    }
}

/// The address where a gateway receives gossip.
fn host(index: usize) -> SocketAddr {
    address(100 + u8::try_from(index).unwrap())
}

fn engines(count: u8) -> Vec<Announcement> {
    (1..=count).map(|host| engine(host, &["grade"])).collect()
}

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
        let announcement = &Announcement {
            phase: Phase::Draining,
            stamp: Stamp {
                started_ms: 1,
                sequence: 2,
            },
            ..Announcement::clone(&endpoint)
        };
        // Keeps the next request off this engine.
        fleet.feed(0, Event::Announced { announcement });
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
