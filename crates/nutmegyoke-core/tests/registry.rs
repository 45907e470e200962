//! The registry: which heartbeat counts, and how gateways agree.

mod fleet;

use std::time::{Duration, Instant};

use fleet::desk;
use nutmegyoke_cases::{cases, config};
use nutmegyoke_core::process::Registry;
use nutmegyoke_core::process::endpoint::Phase;
use nutmegyoke_core::process::registry::gossip::GOSSIP_INTERVAL;
use nutmegyoke_core::process::registry::{Announcement, Gossip, Stamp};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn stamped(started_ms: u64, sequence: u64, phase: Phase) -> Announcement {
    Announcement {
        stamp: Stamp {
            started_ms,
            sequence,
        },
        phase,
        ..desk(1)
    }
}

/// What one endpoint looks like after `heard`, in this order.
fn ends(heard: &[Announcement], leave_before: Option<usize>, takes_work: bool) {
    let now = Instant::now();
    let mut registry = Registry::default();
    for (index, announcement) in heard.iter().enumerate() {
        if leave_before == Some(index) {
            registry.leave(now, "desk-1");
        }
        registry.record_heartbeat(now, announcement);
    }
    assert_eq!(
        registry.row("desk-1").unwrap().accepts_requests(),
        takes_work
    );
}

cases!(ends {
    latest_counts: (
        &[stamped(1, 1, Phase::Ready), stamped(1, 2, Phase::Draining)],
        None,
        false
    ),
    late_one_is_ignored: (
        &[stamped(1, 2, Phase::Draining), stamped(1, 1, Phase::Ready)],
        None,
        false
    ),
    new_start_counts_anew: (
        &[stamped(1, 9, Phase::Draining), stamped(2, 1, Phase::Ready)],
        None,
        true
    ),
    earlier_start_is_ignored: (
        &[stamped(2, 1, Phase::Draining), stamped(1, 9, Phase::Ready)],
        None,
        false
    ),
    heartbeat_after_signing_off_is_ignored: (
        &[stamped(1, 1, Phase::Ready), stamped(1, 2, Phase::Ready)],
        Some(1),
        false
    ),
    new_start_after_signing_off_counts: (
        &[stamped(1, 1, Phase::Ready), stamped(2, 1, Phase::Ready)],
        Some(1),
        true
    ),
});

fn other_at_the_address(started_ms: u64) -> Announcement {
    Announcement {
        id: "desk-2".to_owned(),
        stamp: Stamp {
            started_ms,
            sequence: 1,
        },
        ..desk(1)
    }
}

#[test]
fn later_endpoint_at_an_address_replaces_the_earlier() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.record_heartbeat(now, &desk(1));
    registry.record_heartbeat(now, &other_at_the_address(2));
    assert!(!registry.row("desk-1").unwrap().accepts_requests());
    assert!(registry.row("desk-2").unwrap().accepts_requests());
}

#[test]
fn heartbeat_that_was_held_up_does_not_bring_an_earlier_endpoint_back() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.record_heartbeat(now, &other_at_the_address(2));
    registry.record_heartbeat(now, &desk(1));
    assert!(registry.row("desk-1").is_none());
    assert!(registry.row("desk-2").unwrap().accepts_requests());
}

#[test]
fn unknown_endpoint_can_not_sign_off() {
    assert!(!Registry::default().leave(Instant::now(), "desk-1"));
}

#[test]
fn forgotten_after_a_minute() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.record_heartbeat(now, &desk(1));
    registry.expire(now + SECOND * 59);
    assert!(registry.row("desk-1").is_some());
    registry.expire(now + SECOND * 61);
    assert!(registry.row("desk-1").is_none());
}

/// A step of two gateways that hear of two endpoints.
#[derive(Clone, Debug)]
enum Step {
    Hear {
        at: usize,
        announcement: Box<Announcement>,
    },
    Leave {
        at: usize,
        host: u8,
    },
    Spread {
        from: usize,
        arrives: bool,
        acknowledged: bool,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let heard = (0..2_usize, 1..3_u8, 1..3_u64, 1..5_u64);
    prop_oneof![
        heard.prop_map(|(at, host, started_ms, sequence)| Step::Hear {
            at,
            announcement: Box::new(Announcement {
                stamp: Stamp {
                    started_ms,
                    sequence
                },
                // A heartbeat says one thing, wherever it is heard.
                phase: if (started_ms + sequence) % 2 == 0 {
                    Phase::Ready
                } else {
                    Phase::Draining
                },
                ..desk(host)
            }),
        }),
        (0..2_usize, 1..3_u8).prop_map(|(at, host)| Step::Leave { at, host }),
        (0..2_usize, any::<bool>(), any::<bool>()).prop_map(|(from, arrives, acknowledged)| {
            Step::Spread {
                from,
                arrives,
                acknowledged,
            }
        }),
    ]
}

proptest! {
    #![proptest_config(config(400))]

    #[test]
    fn gateways_agree_once_messages_arrive(steps in prop::collection::vec(step(), 0..60)) {
        let now = Instant::now();
        let mut registries = [Registry::default(), Registry::default()];
        let mut known = [0, 0];
        let mut spread = |registries: &mut [Registry; 2], from: usize, arrives, acknowledged| {
            let revision = registries[from].revision();
            for rumor in registries[from].since(now, known[from]) {
                if arrives {
                    registries[1 - from].apply(now, &rumor);
                }
            }
            if arrives && acknowledged {
                known[from] = revision;
            }
        };
        for step in steps {
            match step {
                Step::Hear { at, announcement } => {
                    registries[at].record_heartbeat(now, &announcement);
                }
                Step::Leave { at, host } => {
                    registries[at].leave(now, &format!("desk-{host}"));
                }
                Step::Spread { from, arrives, acknowledged } => {
                    spread(&mut registries, from, arrives, acknowledged);
                }
            }
        }
        for _ in 0..2 {
            spread(&mut registries, 0, true, true);
            spread(&mut registries, 1, true, true);
        }
        let view = |registry: &Registry| -> Vec<(String, u64, bool)> {
            registry
                .rows()
                .map(|row| (row.announcement.id.clone(), row.stamp.started_ms, row.accepts_requests()))
                .collect()
        };
        prop_assert_eq!(view(&registries[0]), view(&registries[1]));
    }
}

#[test]
fn restarted_gateway_is_told_everything() {
    let now = Instant::now();
    let peer = fleet::address(9);
    let mut spread = Gossip::default();
    spread.set_peers(now, &[peer]);
    assert_eq!(spread.due(now, 4, false), [(peer, 0)]);
    spread.record_delivery(now, peer, Some(1));
    let later = now + GOSSIP_INTERVAL;
    assert_eq!(spread.due(later, 6, false), [(peer, 4)]);
    spread.record_delivery(later, peer, Some(2));
    assert_eq!(spread.due(later, 6, false), [(peer, 0)]);
}

#[test]
fn one_message_to_a_gateway_is_on_its_way() {
    let now = Instant::now();
    let peer = fleet::address(9);
    let mut spread = Gossip::default();
    spread.set_peers(now, &[peer]);
    spread.due(now, 4, false);
    assert!(spread.due(now + SECOND, 6, false).is_empty());
    spread.record_delivery(now + SECOND, peer, None);
    assert_eq!(spread.due(now + SECOND * 2, 6, false), [(peer, 0)]);
}
