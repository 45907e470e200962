//! Copies of the directory equal their source, whatever they learn and when.
//!
//! The seed is fixed. For other cases: `NUTMEGYOKE_SEED=7 cargo test -p nutmegyoke-core`.

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

/// Two endpoints, of which one, the other or both differ between values of `slots`.
fn endpoints(slots: u32) -> Vec<Endpoint> {
    let number = |name: &str, slots| Endpoint {
        name: name.to_owned(),
        holding: Holding::Engine {
            models: vec!["price-ml".into()],
            adapters: Vec::new(),
        },
        slots,
        phase: Phase::Ready,
    };
    let mut list = vec![number("a", slots / 2)];
    // Now and then one comes or goes.
    if slots > 1 {
        list.push(number("b", slots % 2 + 1));
    }
    list
}

/// What happens to a source and its copies.
#[derive(Clone, Debug)]
enum Step {
    /// A member's heartbeat reaches the source.
    Renew {
        name: u8,
        incarnation: u64,
        slots: u32,
    },
    /// Seconds pass at the source; leases may run out.
    Pass { seconds: u64 },
    /// The source is replaced by another run, which knows nobody yet.
    Restart,
    /// A copy asks; the answer travels.
    Ask { copy: usize },
    /// Some answer that travels arrives, perhaps long after others; it may arrive again.
    Arrive { copy: usize, answer: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..6_u8, 1..4_u64, 1..6_u32).prop_map(|(name, incarnation, slots)| Step::Renew {
            name,
            incarnation,
            slots,
        }),
        2 => (1..4_u64).prop_map(|seconds| Step::Pass { seconds }),
        1 => Just(Step::Restart),
        4 => (0..3_usize).prop_map(|copy| Step::Ask { copy }),
        4 => (0..3_usize, 0..64_usize).prop_map(|(copy, answer)| Step::Arrive { copy, answer }),
    ]
}

fn listed(directory: &Directory) -> Vec<Member> {
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
                Step::Pass { seconds } => {
                    now += SECOND * u32::try_from(seconds).unwrap();
                    source.expire(now);
                }
                Step::Restart => {
                    epoch += 1;
                    source = Directory::open(epoch);
                    // Links to the earlier run are lost, and its answers with them.
                    answers = Default::default();
                }
                Step::Ask { copy } => {
                    let answer = source.since(copies[copy].cursor());
                    answers[copy].push(answer);
                }
                Step::Arrive { copy, answer } => {
                    let Some(last) = answers[copy].len().checked_sub(1) else { continue };
                    let before = copies[copy].cursor();
                    let answer = &answers[copy][answer.min(last)];
                    // As it travels, or made whole on the way.
                    if answer.cursor.revision.is_multiple_of(2) {
                        let whole = copies[copy].expand(answer).into_owned();
                        copies[copy].apply(&whole);
                    } else {
                        copies[copy].apply(answer);
                    }
                    let after = copies[copy].cursor();
                    prop_assert!(after.epoch != before.epoch || after.revision >= before.revision);
                }
            }
            // A copy that says it is at the source's mark holds what the source holds.
            for copy in &copies {
                if copy.cursor() == source.cursor() && copy.cursor().revision > 0 {
                    prop_assert_eq!(listed(copy), listed(&source));
                }
            }
        }
        for copy in &mut copies {
            copy.apply(&source.since(copy.cursor()));
            prop_assert_eq!(listed(copy), listed(&source));
            prop_assert_eq!(copy.cursor(), source.cursor());
        }
    }
}

#[test]
fn another_configuration_number_alone_is_not_passed_on() {
    let now = Instant::now();
    let mut source = Directory::open(1);
    source.renew(now, &member(1, 1, 1, 1));
    let mark = source.cursor();
    source.renew(now, &member(1, 1, 1, 2));
    assert_eq!(source.cursor(), mark);
    assert_eq!(listed(&source)[0].configuration, 2);
}

#[test]
fn only_the_changed_endpoint_travels() {
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
    assert_eq!(delta.members, listed(&source));
    assert!(delta.changes.is_empty());
}

#[test]
fn process_without_a_copy_is_told_nothing() {
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
        let mut lost = member(2, 1, 1, 0);
        lost.vm.name = format!("lost-{number}");
        source.renew(now, &lost);
    }
    now += LEASE_DURATION;
    source.expire(now);
    let delta = source.since(copy.cursor());
    assert!(delta.snapshot);
    assert!(copy.apply(&delta));
    assert_eq!(listed(&copy), listed(&source));
}

/// Lets a member send heartbeats for `seconds`, one a second, then none until it is lost.
fn live(source: &mut Directory, now: &mut Instant, seconds: u32) -> u32 {
    let mut listed = 0;
    for _ in 0..seconds {
        *now += SECOND;
        source.expire(*now);
        source.renew(*now, &member(1, 1, 1, 0));
        listed += u32::from(source.member("vm-1").is_some());
    }
    *now += LEASE_DURATION;
    source.expire(*now);
    listed
}

#[test]
fn one_that_comes_and_goes_is_held_back_a_little_longer_each_time() {
    let mut now = Instant::now();
    let mut source = Directory::open(1);
    let listed: Vec<u32> = (0..8).map(|_| live(&mut source, &mut now, 10)).collect();
    assert_eq!(listed, [10, 10, 10, 9, 7, 3, 0, 0]);
    assert!(source.cursor().revision <= 12, "{:?}", source.cursor());
}

#[test]
fn one_that_stays_is_listed_after_the_longest_pause() {
    let mut now = Instant::now();
    let mut source = Directory::open(1);
    for _ in 0..20 {
        live(&mut source, &mut now, 2);
    }
    let seconds = u32::try_from(MAX_DELAY.as_secs()).unwrap() + 1;
    assert!(live(&mut source, &mut now, seconds) >= 1);
}

#[test]
fn restart_is_listed_at_once() {
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
