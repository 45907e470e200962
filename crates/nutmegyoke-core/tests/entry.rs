//! Tests of an entry: what it submits, the limits of a plan, retries under a newer
//! configuration, and draining.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use nutmegyoke_cases::cases;
use nutmegyoke_core::process::directory::{Cursor, Delta};
use nutmegyoke_core::process::endpoint::{Holding, Phase};
use nutmegyoke_core::process::entry::{Command, Event};
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::update::Update;
use nutmegyoke_core::process::{Endpoint, Entry, Machine, Member, Vm};
use nutmegyoke_core::request::arrival::Subject;
use nutmegyoke_core::request::{Arrival, Reason, Submission, Verdict};
use nutmegyoke_core::version::configuration::Lists;
use nutmegyoke_core::version::grant::Item;
use nutmegyoke_core::version::{Configuration, Grant, Plan};

/// An entry whose directory lists one engine, under configuration 1.
struct Fixture {
    entry: Entry,
    now: Instant,
    out: Vec<Command>,
}

fn plan() -> Plan {
    Plan {
        name: "gold".to_owned(),
        customer: "kayal".into(),
        key: "gold-key".to_owned(),
        requests_per_second: 100,
        concurrency: 4,
        tokens_per_minute: 60_000,
        priority: 5,
        first_token: Duration::from_secs(1),
        between_tokens: Duration::from_millis(50),
        deadline: Duration::from_secs(30),
    }
}

fn lists(number: u64) -> Lists {
    Lists {
        number,
        plans: vec![plan()],
        grants: vec![Grant {
            item: Item::Model {
                name: "price".into(),
                bytes: 1,
            },
            plans: vec!["gold".to_owned()],
        }],
    }
}

fn without_plan(number: u64) -> Lists {
    Lists {
        number,
        ..Lists::default()
    }
}

fn without_grant(number: u64) -> Lists {
    let mut lists = lists(number);
    lists.grants[0].plans.clear();
    lists
}

fn member(name: &str, role: Role) -> Member {
    let engine = Endpoint {
        name: "engine".to_owned(),
        holding: Holding::Engine {
            models: vec!["price".into()],
            adapters: Vec::new(),
        },
        slots: 8,
        phase: Phase::Ready,
    };
    Member {
        vm: Vm {
            name: name.to_owned(),
            incarnation: 1,
        },
        role,
        data_centre: "alp-a".into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
        endpoints: if role == Role::Agent {
            vec![engine]
        } else {
            Vec::new()
        },
        configuration: 1,
    }
}

impl Fixture {
    fn open(entries: usize) -> Self {
        let mut fixture = Self {
            entry: Entry::open(1, &"alp-a".into(), 7),
            now: Instant::now(),
            out: Vec::new(),
        };
        let mut members = vec![member("engine-vm", Role::Agent)];
        let names = (0..entries).map(|index| format!("entry-{index}"));
        members.extend(names.map(|name| member(&name, Role::Entry)));
        let update = Update {
            configuration: Some(Configuration::open(lists(1)).unwrap()),
            directory: Delta {
                cursor: Cursor {
                    epoch: 1,
                    revision: 1,
                },
                snapshot: true,
                members,
                ..Delta::default()
            },
            ..Update::default()
        };
        fixture.feed(Event::Updated { update: &update });
        fixture
    }

    fn feed(&mut self, event: Event<'_>) -> Vec<Command> {
        self.entry.handle(self.now, event, &mut self.out);
        std::mem::take(&mut self.out)
    }

    fn arrive(&mut self, number: u64) -> Vec<Command> {
        let arrival = Arrival {
            key: Some("gold-key"),
            subject: Subject::Completion {
                name: "price",
                prompt_tokens: 10,
                max_tokens: 90,
            },
            idempotency_key: None,
            once: false,
            digest: 0,
        };
        let arrival = &arrival;
        self.feed(Event::Arrived { number, arrival })
    }

    fn configure(&mut self, lists: Lists) -> Vec<Command> {
        let update = Update {
            configuration: Some(Configuration::open(lists).unwrap()),
            directory: Delta {
                cursor: self.entry.directory().cursor(),
                ..Delta::default()
            },
            ..Update::default()
        };
        self.feed(Event::Updated { update: &update })
    }

    /// Advances the clock to the next wakeup.
    fn advance(&mut self) -> Vec<Command> {
        self.now = self
            .entry
            .deadline()
            .expect("the entry has no wakeup scheduled");
        self.feed(Entry::tick())
    }
}

fn submission(commands: &[Command]) -> &Submission {
    match commands {
        [Command::Dispatch { submission, .. }] => submission,
        other => panic!("expected one dispatch, got {other:?}"),
    }
}

fn refusal(commands: &[Command]) -> (Reason, Option<Duration>) {
    match commands {
        [
            Command::Finish {
                verdict: Verdict::NotRun { reason },
                retry_after,
                ..
            },
        ] => (*reason, *retry_after),
        other => panic!("expected one refusal, got {other:?}"),
    }
}

#[test]
fn submission_carries_tokens_and_deadlines() {
    let mut fixture = Fixture::open(1);
    let commands = fixture.arrive(1);
    let submission = submission(&commands);
    assert_eq!(submission.tokens, 100);
    assert_eq!(submission.first_token, Some(plan().first_token));
    assert_eq!(submission.remaining, plan().deadline);
}

/// An agent with a newer configuration refuses the request. The entry sends its
/// heartbeat immediately, counts the retry and retries under the configuration
/// that it received.
#[test]
fn stale_configuration_triggers_heartbeat_and_retry() {
    let reason = Reason::StaleConfiguration;
    let mut fixture = Fixture::open(1);
    assert_eq!(submission(&fixture.arrive(1)).configuration, 1);
    let verdict = Verdict::NotRun { reason };
    let commands = fixture.feed(Event::AttemptEnded { number: 1, verdict });
    assert!(commands.contains(&Command::WakeHeartbeat));
    assert!(commands.contains(&Command::CountRetry { reason }));
    fixture.configure(lists(2));
    let commands = fixture.advance();
    assert_eq!(submission(&commands).configuration, 2);
    assert_eq!(submission(&commands).attempt, 1);
}

/// A request that waits for its retry is refused if the newer configuration does not allow
/// it any more, and it leaves no usage behind.
fn request_awaiting_retry_is_refused(newer: fn(u64) -> Lists) {
    let mut fixture = Fixture::open(1);
    fixture.arrive(1);
    let verdict = Verdict::NotRun {
        reason: Reason::QueueFull,
    };
    fixture.feed(Event::AttemptEnded { number: 1, verdict });
    fixture.configure(newer(2));
    assert_eq!(refusal(&fixture.advance()).0, Reason::NotGranted);
    fixture.feed(Event::Disconnected { number: 1 });
    assert_eq!(fixture.entry.in_flight(), 0);
    assert_eq!(fixture.entry.quotas().in_flight("gold"), 0);
}

cases!(request_awaiting_retry_is_refused {
    plan_removed: (without_plan),
    grant_removed: (without_grant),
});

fn concurrency_limit_is_split_between_entries(entries: usize, allowed: u64) {
    let mut fixture = Fixture::open(entries);
    for number in 0..allowed {
        submission(&fixture.arrive(number));
    }
    let (reason, retry_after) = refusal(&fixture.arrive(allowed));
    assert_eq!(reason, Reason::ConcurrencyLimited);
    assert!(retry_after.is_some());
    // The refused request holds no slot.
    fixture.feed(Event::Disconnected { number: allowed });
    fixture.feed(Event::Disconnected { number: 0 });
    submission(&fixture.arrive(allowed + 1));
}

cases!(concurrency_limit_is_split_between_entries {
    one_entry: (1, 4),
    two_entries: (2, 2),
    three_entries: (3, 2),
    more_entries_than_the_limit: (9, 1),
});

#[test]
fn unused_tokens_are_refunded() {
    let mut fixture = Fixture::open(1);
    for number in 0..2_000 {
        // Ten requests a second, below the rate limit.
        fixture.now += Duration::from_millis(100);
        submission(&fixture.arrive(number));
        let verdict = Verdict::Ran;
        fixture.feed(Event::AttemptEnded { number, verdict });
        let tokens = 0;
        fixture.feed(Event::Metered { number, tokens });
        fixture.feed(Event::Disconnected { number });
    }
}

#[test]
fn usage_survives_new_configuration() {
    let mut fixture = Fixture::open(1);
    for number in 0..4 {
        submission(&fixture.arrive(number));
    }
    fixture.configure(lists(2));
    assert_eq!(refusal(&fixture.arrive(5)).0, Reason::ConcurrencyLimited);
}

#[test]
fn draining_entry_refuses_requests() {
    let mut fixture = Fixture::open(1);
    fixture.feed(Event::Stopping);
    assert!(!fixture.entry.ready());
    assert_eq!(refusal(&fixture.arrive(1)).0, Reason::Draining);
}
