//! An entry under limits and changes of configuration.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use nutmegyoke_cases::cases;
use nutmegyoke_core::process::directory::{Delta, Mark};
use nutmegyoke_core::process::endpoint::{Holding, Phase};
use nutmegyoke_core::process::entry::{Command, Event};
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::news::News;
use nutmegyoke_core::process::{Endpoint, Entry, Machine, Member, Vm};
use nutmegyoke_core::request::arrival::Subject;
use nutmegyoke_core::request::{Arrival, Reason, Submission, Verdict};
use nutmegyoke_core::version::configuration::Lists;
use nutmegyoke_core::version::grant::Item;
use nutmegyoke_core::version::{Configuration, Grant, Plan};

/// An entry that knows one engine, under configuration 1.
struct Bench {
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

impl Bench {
    fn open(entries: usize) -> Self {
        let mut bench = Self {
            entry: Entry::open(1, &"alp-a".into(), 7),
            now: Instant::now(),
            out: Vec::new(),
        };
        let mut members = vec![member("engine-vm", Role::Agent)];
        let names = (0..entries).map(|index| format!("entry-{index}"));
        members.extend(names.map(|name| member(&name, Role::Entry)));
        let news = News {
            configuration: Some(Configuration::open(lists(1)).unwrap()),
            directory: Delta {
                mark: Mark {
                    epoch: 1,
                    revision: 1,
                },
                snapshot: true,
                members,
                ..Delta::default()
            },
            ..News::default()
        };
        bench.feed(Event::Updated { update: &news });
        bench
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
                prompt: 10,
                tokens: 90,
            },
            idempotency: None,
            once: false,
            digest: 0,
        };
        let arrival = &arrival;
        self.feed(Event::Arrived { number, arrival })
    }

    fn learn(&mut self, lists: Lists) -> Vec<Command> {
        let news = News {
            configuration: Some(Configuration::open(lists).unwrap()),
            directory: Delta {
                mark: self.entry.directory().mark(),
                ..Delta::default()
            },
            ..News::default()
        };
        self.feed(Event::Updated { update: &news })
    }

    /// Lets the pause before the next attempt pass.
    fn wait(&mut self) -> Vec<Command> {
        self.now = self.entry.deadline().expect("an attempt follows");
        self.feed(Entry::tick())
    }
}

fn submission(commands: &[Command]) -> &Submission {
    match commands {
        [Command::Dispatch { submission, .. }] => submission,
        other => panic!("{other:?}"),
    }
}

fn refused(commands: &[Command]) -> (Reason, Option<Duration>) {
    match commands {
        [
            Command::Settle {
                verdict: Verdict::NotRun { reason },
                retry_after,
                ..
            },
        ] => (*reason, *retry_after),
        other => panic!("{other:?}"),
    }
}

#[test]
fn submission_carries_what_the_agent_needs() {
    let mut bench = Bench::open(1);
    let commands = bench.arrive(1);
    let submission = submission(&commands);
    assert_eq!(submission.tokens, 100);
    assert_eq!(submission.first_token, Some(plan().first_token));
    assert_eq!(submission.remaining, plan().deadline);
}

/// An agent that knows a newer configuration refuses; the entry hurries, counts the
/// retry and tries again under the configuration that it has learned.
#[test]
fn stale_configuration_is_caught_up_with() {
    let reason = Reason::StaleConfiguration;
    let mut bench = Bench::open(1);
    assert_eq!(submission(&bench.arrive(1)).configuration, 1);
    let verdict = Verdict::NotRun { reason };
    let commands = bench.feed(Event::AttemptEnded { number: 1, verdict });
    assert!(commands.contains(&Command::Refresh));
    assert!(commands.contains(&Command::CountRetry { reason }));
    bench.learn(lists(2));
    let commands = bench.wait();
    assert_eq!(submission(&commands).configuration, 2);
    assert_eq!(submission(&commands).attempt, 1);
}

/// What a waiting request becomes when the newer configuration no longer allows it.
fn waiting_request_is_refused(newer: fn(u64) -> Lists) {
    let mut bench = Bench::open(1);
    bench.arrive(1);
    let verdict = Verdict::NotRun {
        reason: Reason::QueueFull,
    };
    bench.feed(Event::AttemptEnded { number: 1, verdict });
    bench.learn(newer(2));
    assert_eq!(refused(&bench.wait()).0, Reason::NotGranted);
    bench.feed(Event::Dropped { number: 1 });
    assert_eq!(bench.entry.in_flight(), 0);
    assert_eq!(bench.entry.quotas().in_flight("gold"), 0);
}

cases!(waiting_request_is_refused {
    plan_removed: (without_plan),
    grant_removed: (without_grant),
});

fn concurrency_is_shared(entries: usize, passes: u64) {
    let mut bench = Bench::open(entries);
    for number in 0..passes {
        submission(&bench.arrive(number));
    }
    let (reason, after) = refused(&bench.arrive(passes));
    assert_eq!(reason, Reason::ConcurrencyLimited);
    assert!(after.is_some());
    // Nothing of the refused one stays.
    bench.feed(Event::Dropped { number: passes });
    bench.feed(Event::Dropped { number: 0 });
    submission(&bench.arrive(passes + 1));
}

cases!(concurrency_is_shared {
    one_entry: (1, 4),
    two_entries: (2, 2),
    three_entries: (3, 2),
    more_entries_than_the_limit: (9, 1),
});

#[test]
fn request_that_did_not_run_costs_no_tokens() {
    let mut bench = Bench::open(1);
    for number in 0..2_000 {
        // A tenth of a second each, as the rate allows.
        bench.now += Duration::from_millis(100);
        submission(&bench.arrive(number));
        let verdict = Verdict::Ran;
        bench.feed(Event::AttemptEnded { number, verdict });
        let tokens = 0;
        bench.feed(Event::Metered { number, tokens });
        bench.feed(Event::Dropped { number });
    }
}

#[test]
fn limits_survive_a_configuration() {
    let mut bench = Bench::open(1);
    for number in 0..4 {
        submission(&bench.arrive(number));
    }
    bench.learn(lists(2));
    assert_eq!(refused(&bench.arrive(5)).0, Reason::ConcurrencyLimited);
}

#[test]
fn leaving_entry_refuses() {
    let mut bench = Bench::open(1);
    bench.feed(Event::Drained);
    assert!(!bench.entry.ready());
    assert_eq!(refused(&bench.arrive(1)).0, Reason::Draining);
}
