//! Tests of the inference from crashes to the prompt parts and requests that cause them.

use std::time::{Duration, Instant};

use nutmegyoke_cases::cases;
use nutmegyoke_core::process::Quarantine;
use nutmegyoke_core::process::quarantine::{Crash, Evidence, Feature, Origin};
use nutmegyoke_core::request::Fingerprint;

const SECOND: Duration = Duration::from_secs(1);

/// The part that crashes engines in these tests.
const DEADLY: u64 = 0xDEAD;

/// Numbers from here on stand for requests, the lower ones for prompt parts.
const REQUEST: u64 = 1 << 32;

/// A request that crashes engines, whatever its prompt.
const DEADLY_REQUEST: u64 = REQUEST + 1;

fn features(numbers: &[u64]) -> Vec<Feature> {
    let features = numbers.iter().map(|&number| {
        if number < REQUEST {
            Feature::Part(number)
        } else {
            Feature::Request(Fingerprint(number))
        }
    });
    features.collect()
}

/// A step in the life of a fleet of two gateways, one second after the step before.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An engine crashed with these requests, seen by gateway 0 or 1.
    Crash(usize, &'static [&'static [u64]]),
    /// Two engines crashed at once, each with these requests.
    TwoCrashes(usize, &'static [&'static [u64]]),
    /// A request with these parts succeeded at gateway 0 or 1.
    Success(usize, &'static [u64]),
    /// Time passes.
    Wait(Duration),
}

use Step::{Crash as Crashed, Success, TwoCrashes, Wait};

/// Gateways that exchange their evidence after each step.
struct Fleet {
    now: Instant,
    gateways: [Quarantine; 2],
    acknowledged: [u64; 2],
    crashes: u64,
}

impl Fleet {
    fn open() -> Self {
        Self {
            now: Instant::now(),
            gateways: [Quarantine::default(), Quarantine::default()],
            acknowledged: [0; 2],
            crashes: 0,
        }
    }

    fn crash(&mut self, gateway: usize, suspects: &[&[u64]]) {
        self.crashes += 1;
        let crash = Crash {
            origin: Origin {
                endpoint: format!("engine-{}", self.crashes),
                started_ms: 1,
            },
            at: self.now,
            suspects: suspects.iter().map(|&suspect| features(suspect)).collect(),
        };
        self.gateways[gateway].record(self.now, &crash);
    }

    fn play(&mut self, step: Step) {
        match step {
            Crashed(gateway, suspects) => self.crash(gateway, suspects),
            TwoCrashes(gateway, suspects) => {
                self.crash(gateway, suspects);
                self.crash(gateway, suspects);
            }
            Success(gateway, parts) => {
                self.gateways[gateway].record_success(self.now, &features(parts));
            }
            Wait(time) => {
                self.now += time;
                for gateway in &mut self.gateways {
                    gateway.expire(self.now);
                }
            }
        }
        self.exchange();
        self.now += SECOND;
    }

    fn exchange(&mut self) {
        for from in [0, 1] {
            let evidence = self.gateways[from].since(self.now, self.acknowledged[from]);
            self.acknowledged[from] = self.gateways[from].revision();
            self.gateways[1 - from].apply(self.now, &evidence);
        }
    }

    fn refuses(&self, gateway: usize, parts: &[u64]) -> bool {
        self.gateways[gateway]
            .culprit(self.now, &features(parts))
            .is_some()
    }
}

/// Plays the steps, and checks at both gateways which prompts are refused and which are not.
fn quarantines(steps: &[Step], refused: &[&[u64]], admitted: &[&[u64]]) {
    let mut fleet = Fleet::open();
    for &step in steps {
        fleet.play(step);
    }
    for gateway in [0, 1] {
        for parts in refused {
            assert!(fleet.refuses(gateway, parts), "{gateway} admits {parts:?}");
        }
        for parts in admitted {
            assert!(
                !fleet.refuses(gateway, parts),
                "{gateway} refuses {parts:?}"
            );
        }
    }
}

cases!(quarantines {
    part_in_three_crashes_that_two_gateways_saw: (
        &[
            Crashed(0, &[&[1, DEADLY]]),
            Success(0, &[1, 5]),
            Crashed(1, &[&[1, DEADLY], &[1, 6]]),
            Success(1, &[1, 6]),
            Crashed(0, &[&[2, DEADLY]]),
        ],
        &[&[1, DEADLY], &[7, DEADLY, 8]],
        &[&[1, 5], &[1, 6], &[2, 5]]
    ),
    nothing_after_two_crashes: (
        &[Crashed(0, &[&[1, DEADLY]]), Crashed(1, &[&[1, DEADLY]])],
        &[],
        &[&[1, DEADLY]]
    ),
    part_that_comes_once_in_ten_seconds: (
        &[
            Crashed(0, &[&[1, DEADLY]]),
            Wait(Duration::from_secs(10)),
            Crashed(0, &[&[2, DEADLY]]),
            Wait(Duration::from_secs(10)),
            Crashed(1, &[&[3, DEADLY]]),
        ],
        &[&[4, DEADLY]],
        &[&[1, 5], &[2, 5], &[3, 5]]
    ),
    // Requests with one of the parts still get through, which tells the sound one.
    only_both_of_two_parts_that_always_came_together: (
        &[
            Crashed(0, &[&[1, DEADLY]]),
            Crashed(1, &[&[1, DEADLY]]),
            Crashed(0, &[&[1, DEADLY]]),
        ],
        &[&[1, DEADLY]],
        &[&[1, 5], &[2, DEADLY]]
    ),
    // A sound request with one of them ran on an engine that crashed.
    both_of_two_parts_and_not_the_one_that_also_came_alone: (
        &[
            Crashed(0, &[&[1, 5], &[1, 5, DEADLY]]),
            Crashed(1, &[&[1, 5, DEADLY]]),
            Success(1, &[1, 6]),
            Crashed(0, &[&[1, 5, DEADLY]]),
            Success(0, &[1, 6]),
        ],
        &[&[1, 5, DEADLY]],
        &[&[1, 5], &[1, 6], &[1, DEADLY]]
    ),
    deadly_part_alone_once_it_came_with_others: (
        &[
            Crashed(0, &[&[1, DEADLY]]),
            Crashed(1, &[&[1, DEADLY]]),
            Crashed(0, &[&[1, DEADLY]]),
            Crashed(0, &[&[2, DEADLY]]),
        ],
        &[&[1, DEADLY], &[2, DEADLY], &[3, DEADLY]],
        &[&[1, 5], &[2, 5]]
    ),
    each_of_two_deadly_parts: (
        &[
            Crashed(0, &[&[1, DEADLY]]),
            Crashed(1, &[&[1, 0xBAD]]),
            Success(0, &[1, 5]),
            Crashed(0, &[&[1, DEADLY]]),
            Crashed(0, &[&[1, 0xBAD]]),
            Success(1, &[1, 5]),
            Crashed(1, &[&[1, DEADLY]]),
            Crashed(1, &[&[1, 0xBAD]]),
            Success(1, &[1, 5]),
        ],
        &[&[1, DEADLY], &[1, 0xBAD]],
        &[&[1, 5]]
    ),
    // Engines that crash for another reason while a popular part runs on them.
    no_part_that_succeeds_between_the_crashes: (
        &[
            Crashed(0, &[&[1, 2]]),
            Success(1, &[1, 2]),
            Crashed(0, &[&[1, 2]]),
            Success(1, &[1, 2]),
            Crashed(0, &[&[1, 2]]),
            Crashed(0, &[&[1, 2]]),
        ],
        &[],
        &[&[1, 2]]
    ),
    // The loss of a rack ends engines at once, whatever runs on them.
    no_part_in_crashes_at_one_moment: (
        &[TwoCrashes(0, &[&[1, 2]]), TwoCrashes(0, &[&[1, 2]]),],
        &[],
        &[&[1, 2]]
    ),
    no_part_that_succeeds_after_the_quarantine: (
        &[
            Crashed(0, &[&[DEADLY]]),
            Crashed(0, &[&[DEADLY]]),
            Crashed(0, &[&[DEADLY]]),
            Success(1, &[DEADLY]),
        ],
        &[],
        &[&[DEADLY]]
    ),
    nothing_ten_minutes_after_the_latest_crash: (
        &[
            Crashed(0, &[&[DEADLY]]),
            Crashed(0, &[&[DEADLY]]),
            Crashed(0, &[&[DEADLY]]),
            Wait(Duration::from_mins(10)),
        ],
        &[],
        &[&[DEADLY]]
    ),
    request_without_parts_in_three_crashes: (
        &[
            Crashed(0, &[&[DEADLY_REQUEST], &[REQUEST + 2]]),
            Crashed(1, &[&[DEADLY_REQUEST]]),
            Crashed(0, &[&[REQUEST + 3], &[DEADLY_REQUEST]]),
        ],
        &[&[DEADLY_REQUEST]],
        &[&[REQUEST + 2], &[REQUEST + 3]]
    ),
    // The parts are those of a session, whose other requests succeed.
    request_and_not_the_parts_that_it_shares: (
        &[
            Crashed(0, &[&[1, 2, DEADLY_REQUEST]]),
            Success(1, &[1, 2, REQUEST + 2]),
            Crashed(1, &[&[1, 2, DEADLY_REQUEST]]),
            Crashed(1, &[&[1, 2, DEADLY_REQUEST]]),
        ],
        &[&[1, 2, DEADLY_REQUEST]],
        &[&[1, 2], &[1, 2, REQUEST + 2]]
    ),
    request_that_never_came_without_its_parts: (
        &[
            Crashed(0, &[&[1, 2, DEADLY_REQUEST]]),
            Crashed(1, &[&[1, 2, DEADLY_REQUEST]]),
            Crashed(1, &[&[1, 2, DEADLY_REQUEST]]),
        ],
        &[&[1, 2, DEADLY_REQUEST]],
        &[&[1, 2, REQUEST + 2]]
    ),
    // Engines crash for other reasons, too, so more is asked of a part.
    request_among_many_crashes: (
        &[
            Crashed(0, &[&[DEADLY_REQUEST]]),
            Crashed(0, &[&[11]]),
            Crashed(0, &[&[12]]),
            Crashed(0, &[&[13]]),
            Crashed(0, &[&[14]]),
            Crashed(1, &[&[DEADLY_REQUEST]]),
            Crashed(0, &[&[15]]),
            Crashed(0, &[&[16]]),
            Crashed(0, &[&[17]]),
            Crashed(0, &[&[18]]),
            Crashed(0, &[&[DEADLY_REQUEST]]),
        ],
        &[&[DEADLY_REQUEST]],
        &[]
    ),
    // A client repeats a sound request that ran beside the cause of two crashes.
    no_request_that_succeeds_between_the_crashes: (
        &[
            Crashed(0, &[&[REQUEST + 2]]),
            Crashed(1, &[&[REQUEST + 2]]),
            Success(1, &[REQUEST + 2]),
            Crashed(0, &[&[REQUEST + 2]]),
        ],
        &[],
        &[&[REQUEST + 2]]
    ),
    no_request_in_crashes_at_one_moment: (
        &[
            TwoCrashes(0, &[&[REQUEST + 2]]),
            TwoCrashes(0, &[&[REQUEST + 2]])
        ],
        &[],
        &[&[REQUEST + 2]]
    ),
    part_that_crashes_once_more_after_its_quarantine: (
        &[
            Crashed(0, &[&[DEADLY]]),
            Crashed(0, &[&[DEADLY]]),
            Crashed(0, &[&[DEADLY]]),
            Wait(Duration::from_mins(11)),
            Crashed(1, &[&[DEADLY]]),
        ],
        &[&[DEADLY]],
        &[]
    ),
});

/// A gateway that was cut off sees all of its requests break at engines that it can't reach. Its
/// late evidence must not quarantine what the others serve.
#[test]
fn late_evidence_does_not_quarantine_parts_that_succeeded_since() {
    let mut fleet = Fleet::open();
    for _ in 0..3 {
        fleet.crash(0, &[&[1, 2]]);
        fleet.now += SECOND;
    }
    fleet.gateways[1].record_success(fleet.now, &features(&[1, 2]));
    fleet.exchange();
    assert!(!fleet.refuses(1, &[1, 2]));
}

/// A gateway that starts has none of the evidence, and whoever collected it may be gone.
#[test]
fn restarted_gateway_learns_the_conclusions_from_any_other() {
    let mut fleet = Fleet::open();
    for _ in 0..3 {
        fleet.play(Crashed(0, &[&[DEADLY]]));
    }
    let mut restarted = Quarantine::default();
    restarted.apply(fleet.now, &fleet.gateways[1].since(fleet.now, 0));
    assert!(restarted.culprit(fleet.now, &features(&[DEADLY])).is_some());
}

/// Evidence that is sent back and forth would grow with the square of the gateways.
#[test]
fn evidence_of_other_gateways_is_not_passed_on() {
    let mut fleet = Fleet::open();
    fleet.play(Crashed(0, &[&[DEADLY]]));
    let known = fleet.gateways[1].revision();
    fleet.play(Crashed(0, &[&[DEADLY]]));
    assert_eq!(
        fleet.gateways[1].since(fleet.now, known),
        Evidence::default()
    );
}

/// A success for each request would leave no room for those of the parts.
#[test]
fn successes_of_sound_requests_are_not_remembered() {
    let mut quarantine = Quarantine::default();
    let now = Instant::now();
    quarantine.record_success(now, &features(&[5]));
    for number in 0..10_000 {
        quarantine.record_success(now, &features(&[REQUEST + number]));
    }
    let late = Crash {
        origin: Origin {
            endpoint: "engine-1".to_owned(),
            started_ms: 1,
        },
        at: now,
        suspects: vec![features(&[5, REQUEST + 1])],
    };
    quarantine.record(now + SECOND, &late);
    let evidence = quarantine.since(now + SECOND, 0);
    assert_eq!(evidence.crashes[0].suspects, [features(&[REQUEST + 1])]);
}

/// Memory stays bounded when engines crash all day.
#[test]
fn oldest_crashes_are_dropped() {
    let mut fleet = Fleet::open();
    for number in 0..200 {
        fleet.crash(0, &[&[number, number + 1000]]);
        fleet.now += SECOND;
    }
    assert_eq!(fleet.gateways[0].since(fleet.now, 0).crashes.len(), 64);
}
