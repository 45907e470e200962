//! An endpoint that stops announcing itself is dropped by its agent.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use nutmegyoke_core::process::agent::backend::LEASE_DURATION;
use nutmegyoke_core::process::agent::{Command, Event};
use nutmegyoke_core::process::endpoint::{Holding, Phase};
use nutmegyoke_core::process::{Agent, Endpoint, Machine};
use nutmegyoke_core::request::arrival::Destination;
use nutmegyoke_core::request::{Id, Reason, Submission};
use nutmegyoke_core::version::grant::Repeat;

const MOMENT: Duration = Duration::from_millis(1);

struct Bench {
    agent: Agent,
    now: Instant,
    out: Vec<Command>,
}

impl Bench {
    fn open() -> Self {
        let mut bench = Self {
            agent: Agent::open(0),
            now: Instant::now(),
            out: Vec::new(),
        };
        bench.announce();
        bench
    }

    fn feed(&mut self, event: Event<'_>) {
        self.agent.handle(self.now, event, &mut self.out);
    }

    fn announce(&mut self) {
        let endpoint = Endpoint {
            name: "desk".to_owned(),
            holding: Holding::Service {
                service: "desk".into(),
            },
            slots: 1,
            phase: Phase::Ready,
        };
        self.feed(Event::Announced {
            endpoint: &endpoint,
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        });
    }

    fn submit(&mut self, number: u64) {
        let submission = Submission {
            id: Id { entry: 1, number },
            attempt: 0,
            customer: "kayal".into(),
            priority: 5,
            endpoint: "desk".to_owned(),
            destination: Destination::Service {
                service: "desk".into(),
            },
            repeat: Repeat::Once,
            remaining: Duration::from_secs(30),
            first_token: None,
            tokens: 1,
            configuration: 0,
            incarnation: 0,
            keyed: false,
        };
        self.feed(Event::Submitted {
            call: number,
            submission: &submission,
            bytes: 0,
        });
    }

    /// Lets the time pass, with the ticks that the machine asks for.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(deadline) = self.agent.deadline().filter(|&deadline| deadline <= end) {
            self.now = deadline;
            self.feed(Event::Ticked);
        }
        self.now = end;
    }

    fn refused(&self, number: u64) -> Option<Reason> {
        self.out.iter().find_map(|command| match command {
            Command::Refuse { call, reason, .. } if *call == number => Some(*reason),
            _ => None,
        })
    }
}

#[test]
fn silent_endpoint_is_dropped_after_its_lease() {
    let mut bench = Bench::open();
    bench.pass(LEASE_DURATION.saturating_sub(MOMENT));
    assert_eq!(bench.agent.endpoints().len(), 1);
    bench.pass(MOMENT);
    assert_eq!(bench.agent.endpoints().len(), 0);
    bench.submit(1);
    assert_eq!(bench.refused(1), Some(Reason::NotHeld));
}

#[test]
fn announcement_renews_the_lease() {
    let mut bench = Bench::open();
    for _ in 0..10 {
        bench.pass(LEASE_DURATION.saturating_sub(MOMENT));
        bench.announce();
    }
    assert_eq!(bench.agent.endpoints().len(), 1);
}

#[test]
fn what_waits_is_refused_and_what_runs_goes_on() {
    let mut bench = Bench::open();
    bench.submit(1);
    bench.submit(2);
    bench.pass(LEASE_DURATION);
    assert_eq!(bench.refused(1), None);
    assert_eq!(bench.refused(2), Some(Reason::NotHeld));
    assert_eq!(bench.agent.in_flight(), 1);
}

#[test]
fn slot_of_a_running_request_is_not_given_twice() {
    let mut bench = Bench::open();
    bench.submit(1);
    bench.pass(LEASE_DURATION);
    bench.announce();
    bench.submit(2);
    let starts = |bench: &Bench| {
        let starts = bench.out.iter();
        starts
            .filter(|command| matches!(command, Command::Start { .. }))
            .count()
    };
    assert_eq!(starts(&bench), 1);
    bench.feed(Event::Finished { call: 1 });
    assert_eq!(starts(&bench), 2);
}

#[test]
fn no_tick_is_asked_for_once_nothing_is_left() {
    let mut bench = Bench::open();
    bench.pass(LEASE_DURATION);
    assert_eq!(bench.agent.deadline(), None);
}
