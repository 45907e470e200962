//! Tests that copies of the directory converge to their source, however late and in whatever
//! order they receive its deltas, and that members which lose their lease repeatedly are
//! listed with a delay.
//!
//! The seed is fixed. To run other cases:
//! `NUTMEGYOKE_SEED=7 cargo test -p nutmegyoke-core --test directory`.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use nutmegyoke_cases::config;
use nutmegyoke_core::process::damping::MAX_DELAY;
use nutmegyoke_core::process::directory::{Cursor, Delta, LEASE_DURATION};
use nutmegyoke_core::process::endpoint::{Holding, Phase};
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::{Directory, Endpoint, Member, Vm};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn member(name: u8, incarnation: u64, slots: u32, configuration: u64) -> Member {
    Member {
        vm: Vm {
            name: format!("vm-{name}"),
            incarnation,
        },
        role: Role::Agent,
        data_centre: "alp-a".into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        endpoints: endpoints(slots),
        configuration,
    }
}

/// The endpoint `a` and, if `slots` is 2 or more, the endpoint `b`. Another value of `slots`
/// changes `a`, `b` or both.
fn endpoints(slots: u32) -> Vec<Endpoint> {
    let endpoint = |name: &str, slots| Endpoint {
        name: name.to_owned(),
        holding: Holding::Engine {
            models: vec!["price-ml".into()],
            adapters: Vec::new(),
        },
        slots,
        phase: Phase::Ready,
    };
    let mut list = vec![endpoint("a", slots / 2)];
    // Changing `slots` from 1 to 2 adds an endpoint.
    if slots > 1 {
        list.push(endpoint("b", slots % 2 + 1));
    }
    list
}

/// An event at the source or a copy.
#[derive(Clone, Debug)]
enum Step {
    /// The source receives a member's heartbeat.
    Renew {
        name: u8,
        incarnation: u64,
        slots: u32,
    },
    /// Time passes at the source, so that leases may expire.
    Advance { seconds: u64 },
    /// The source restarts with an empty directory.
    Restart,
    /// A copy requests a delta; the answer is in flight.
    Request { copy: usize },
    /// A copy receives one of its answers, in any order and possibly more than once.
    Deliver { copy: usize, answer: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..6_u8, 1..4_u64, 1..6_u32).prop_map(|(name, incarnation, slots)| Step::Renew {
            name,
            incarnation,
            slots,
        }),
        2 => (1..4_u64).prop_map(|seconds| Step::Advance { seconds }),
        1 => Just(Step::Restart),
        4 => (0..3_usize).prop_map(|copy| Step::Request { copy }),
        4 => (0..3_usize, 0..64_usize).prop_map(|(copy, answer)| Step::Deliver { copy, answer }),
    ]
}

fn members(directory: &Directory) -> Vec<Member> {
    directory.members().cloned().collect()
}

proptest! {
    #![proptest_config(config(512))]

    #[test]
    fn copies_equal_the_source(steps in prop::collection::vec(step(), 1..80)) {
        let mut now = Instant::now();
        let mut epoch = 1;
        let mut source = Directory::open(epoch);
        let mut copies = [(); 3].map(|()| Directory::default());
        let mut answers: [Vec<Delta>; 3] = Default::default();
        for step in steps {
            match step {
                Step::Renew { name, incarnation, slots } => {
                    source.renew(now, &member(name, incarnation, slots, 0));
                }
                Step::Advance { seconds } => {
                    now += SECOND * u32::try_from(seconds).unwrap();
                    source.expire(now);
                }
                Step::Restart => {
                    epoch += 1;
                    source = Directory::open(epoch);
                    // Connections to the earlier run are closed, so its answers are lost.
                    answers = Default::default();
                }
                Step::Request { copy } => {
                    let answer = source.since(copies[copy].cursor());
                    answers[copy].push(answer);
                }
                Step::Deliver { copy, answer } => {
                    let Some(last) = answers[copy].len().checked_sub(1) else { continue };
                    let before = copies[copy].cursor();
                    let answer = &answers[copy][answer.min(last)];
                    // Deltas with an even revision are expanded before they are applied.
                    if answer.cursor.revision.is_multiple_of(2) {
                        let expanded = copies[copy].expand(answer).into_owned();
                        copies[copy].apply(&expanded);
                    } else {
                        copies[copy].apply(answer);
                    }
                    let after = copies[copy].cursor();
                    prop_assert!(after.epoch != before.epoch || after.revision >= before.revision);
                }
            }
            // A copy with the source's cursor has the source's members.
            for copy in &copies {
                if copy.cursor() == source.cursor() && copy.cursor().revision > 0 {
                    prop_assert_eq!(members(copy), members(&source));
                }
            }
        }
        for copy in &mut copies {
            copy.apply(&source.since(copy.cursor()));
            prop_assert_eq!(members(copy), members(&source));
            prop_assert_eq!(copy.cursor(), source.cursor());
        }
    }
}

#[test]
fn configuration_number_alone_is_not_a_change() {
    let now = Instant::now();
    let mut source = Directory::open(1);
    source.renew(now, &member(1, 1, 1, 1));
    let cursor = source.cursor();
    source.renew(now, &member(1, 1, 1, 2));
    assert_eq!(source.cursor(), cursor);
    assert_eq!(members(&source)[0].configuration, 2);
}

#[test]
fn only_the_changed_endpoint_is_sent() {
    let mut source = Directory::open(1);
    let now = Instant::now();
    source.renew(now, &member(1, 1, 2, 0));
    let mut copy = Directory::default();
    copy.apply(&source.since(copy.cursor()));
    source.renew(now, &member(1, 1, 3, 0));
    let delta = source.since(copy.cursor());
    assert_eq!(delta.members, []);
    let names: Vec<&str> = delta.changes[0]
        .endpoints
        .iter()
        .map(|endpoint| endpoint.name.as_str())
        .collect();
    assert_eq!(names, ["b"]);
    let delta = copy.expand(&delta);
    assert_eq!(delta.members, members(&source));
    assert!(delta.changes.is_empty());
}

#[test]
fn unsubscribed_process_is_sent_nothing() {
    let mut source = Directory::open(1);
    source.renew(Instant::now(), &member(1, 1, 1, 0));
    assert_eq!(source.since(Cursor::UNSUBSCRIBED), Delta::default());
}

#[test]
fn copy_far_behind_gets_a_snapshot() {
    let mut now = Instant::now();
    let mut source = Directory::open(1);
    source.renew(now, &member(1, 1, 1, 0));
    let mut copy = Directory::default();
    assert!(copy.apply(&source.since(copy.cursor())));
    for number in 0..1_100_u64 {
        let mut expiring = member(2, 1, 1, 0);
        expiring.vm.name = format!("lost-{number}");
        source.renew(now, &expiring);
    }
    now += LEASE_DURATION;
    source.expire(now);
    let delta = source.since(copy.cursor());
    assert!(delta.snapshot);
    assert!(copy.apply(&delta));
    assert_eq!(members(&copy), members(&source));
}

/// Sends a member's heartbeat every second for `seconds`, then lets its lease expire.
/// Returns the number of seconds for which it was listed.
fn renew_for(source: &mut Directory, now: &mut Instant, seconds: u32) -> u32 {
    let mut seconds_listed = 0;
    for _ in 0..seconds {
        *now += SECOND;
        source.expire(*now);
        source.renew(*now, &member(1, 1, 1, 0));
        seconds_listed += u32::from(source.member("vm-1").is_some());
    }
    *now += LEASE_DURATION;
    source.expire(*now);
    seconds_listed
}

#[test]
fn flapping_member_is_delayed_longer_after_each_loss() {
    let mut now = Instant::now();
    let mut source = Directory::open(1);
    let seconds_listed: Vec<u32> = (0..8)
        .map(|_| renew_for(&mut source, &mut now, 10))
        .collect();
    assert_eq!(seconds_listed, [10, 10, 10, 9, 7, 3, 0, 0]);
    assert!(
        source.cursor().revision <= 12,
        "a flapping member caused too many changes: {:?}",
        source.cursor()
    );
}

#[test]
fn stable_member_is_listed_after_the_longest_delay() {
    let mut now = Instant::now();
    let mut source = Directory::open(1);
    for _ in 0..20 {
        renew_for(&mut source, &mut now, 2);
    }
    let seconds = u32::try_from(MAX_DELAY.as_secs()).unwrap() + 1;
    assert!(renew_for(&mut source, &mut now, seconds) >= 1);
}

#[test]
fn restart_is_listed_immediately() {
    let mut source = Directory::open(1);
    let now = Instant::now();
    source.renew(now, &member(1, 1, 1, 0));
    source.renew(now, &member(1, 2, 1, 0));
    assert_eq!(
        source.member("vm-1").map(|member| member.vm.incarnation),
        Some(2)
    );
}

#[test]
fn heartbeat_of_an_earlier_run_is_ignored() {
    let mut source = Directory::open(1);
    let now = Instant::now();
    source.renew(now, &member(1, 2, 1, 0));
    source.renew(now, &member(1, 1, 3, 0));
    assert_eq!(
        source.member("vm-1").map(|member| member.vm.incarnation),
        Some(2)
    );
}
