//! Tests of endpoint leases: an agent removes an endpoint that stops announcing itself and
//! refuses the requests queued for it.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use nutmegyoke_core::process::agent::backend::ANNOUNCEMENT_LEASE;
use nutmegyoke_core::process::agent::{Command, Event};
use nutmegyoke_core::process::endpoint::{Holding, Phase};
use nutmegyoke_core::process::{Agent, Endpoint, Machine};
use nutmegyoke_core::request::arrival::Destination;
use nutmegyoke_core::request::{Id, Reason, Submission};
use nutmegyoke_core::version::grant::Repeat;

const MILLISECOND: Duration = Duration::from_millis(1);

/// An agent with one endpoint of one slot.
struct Fixture {
    agent: Agent,
    now: Instant,
    out: Vec<Command>,
}

impl Fixture {
    fn open() -> Self {
        let mut fixture = Self {
            agent: Agent::open(0),
            now: Instant::now(),
            out: Vec::new(),
        };
        fixture.announce();
        fixture
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

    /// Advances the clock by `time` and delivers the ticks that are due on the way.
    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(deadline) = self.agent.deadline().filter(|&deadline| deadline <= end) {
            self.now = deadline;
            self.feed(Event::Ticked);
        }
        self.now = end;
    }

    fn refusal(&self, number: u64) -> Option<Reason> {
        self.out.iter().find_map(|command| match command {
            Command::Refuse { call, reason, .. } if *call == number => Some(*reason),
            _ => None,
        })
    }
}

#[test]
fn silent_endpoint_is_removed_when_its_lease_expires() {
    let mut fixture = Fixture::open();
    fixture.advance(ANNOUNCEMENT_LEASE.saturating_sub(MILLISECOND));
    assert_eq!(fixture.agent.endpoints().len(), 1);
    fixture.advance(MILLISECOND);
    assert_eq!(fixture.agent.endpoints().len(), 0);
    fixture.submit(1);
    assert_eq!(fixture.refusal(1), Some(Reason::NotHeld));
}

#[test]
fn announcement_renews_the_lease() {
    let mut fixture = Fixture::open();
    for _ in 0..10 {
        fixture.advance(ANNOUNCEMENT_LEASE.saturating_sub(MILLISECOND));
        fixture.announce();
    }
    assert_eq!(fixture.agent.endpoints().len(), 1);
}

#[test]
fn lease_expiry_refuses_queued_requests_and_keeps_running_ones() {
    let mut fixture = Fixture::open();
    fixture.submit(1);
    fixture.submit(2);
    fixture.advance(ANNOUNCEMENT_LEASE);
    assert_eq!(fixture.refusal(1), None);
    assert_eq!(fixture.refusal(2), Some(Reason::NotHeld));
    assert_eq!(fixture.agent.in_flight(), 1);
}

#[test]
fn reannounced_endpoint_keeps_the_slots_of_running_requests() {
    let mut fixture = Fixture::open();
    fixture.submit(1);
    fixture.advance(ANNOUNCEMENT_LEASE);
    fixture.announce();
    fixture.submit(2);
    let starts = |fixture: &Fixture| {
        let starts = fixture.out.iter();
        starts
            .filter(|command| matches!(command, Command::Start { .. }))
            .count()
    };
    assert_eq!(starts(&fixture), 1);
    fixture.feed(Event::Ended { call: 1 });
    assert_eq!(starts(&fixture), 2);
}

#[test]
fn no_deadline_without_endpoints() {
    let mut fixture = Fixture::open();
    fixture.advance(ANNOUNCEMENT_LEASE);
    assert_eq!(fixture.agent.deadline(), None);
}
