//! The ledger: which order is admitted, and what settles an unknown one.

use std::time::{Duration, Instant};

use nutmegyoke_cases::cases;
use nutmegyoke_core::process::agent::Ledger;
use nutmegyoke_core::process::agent::ledger::{Inspection, ORDER_TTL, Refusal};
use nutmegyoke_core::process::order::{Action, Fence, Order, Outcome, Stage, Stamp, Weights};
use nutmegyoke_core::process::report::{Capacity, Content, Fencing, Inventory, State};

const SECOND: Duration = Duration::from_secs(1);
const BYTES: u64 = 60;

fn fence(sequence: u64) -> Fence {
    Fence { term: 1, sequence }
}

fn stamp(count: u64) -> Stamp {
    Stamp { run: 7, count }
}

/// Admits an order and concludes it at once.
fn carry(ledger: &mut Ledger, now: Instant, order: &Order, outcome: Outcome) {
    ledger.admit(now, order).unwrap();
    let stamp = ledger.mark_sent(now, order);
    ledger.conclude(now, order, stamp, outcome);
}

fn capacity(fencing: Fencing) -> Capacity {
    Capacity {
        bytes: 120,
        floor: 20,
        fencing,
        incarnation: 1,
    }
}

fn order(sequence: u64, action: Action) -> Order {
    Order {
        endpoint: "engine".to_owned(),
        fence: fence(sequence),
        action,
    }
}

fn load(sequence: u64, name: &str) -> Order {
    let weights = Weights::model(name, 0);
    let bytes = BYTES;
    order(sequence, Action::Load { weights, bytes })
}

fn unload(sequence: u64, name: &str) -> Order {
    let weights = Weights::model(name, 0);
    order(sequence, Action::Unload { weights })
}

fn holds(names: &[&str]) -> Inventory {
    let content = |name: &&str| Content {
        weights: Weights::model(name, 0),
        bytes: BYTES,
    };
    Inventory {
        incarnation: 1,
        newest: stamp(0),
        stage: Stage::Mixed,
        contents: names.iter().map(content).collect(),
    }
}

/// A ledger that an empty inventory has settled; the time is past every earlier order.
fn settled(fencing: Fencing) -> (Ledger, Instant) {
    let now = Instant::now();
    let mut ledger = Ledger::open(now, capacity(fencing), 7);
    let requested_at = now + ORDER_TTL;
    let stamp = ledger.next_stamp();
    ledger.reconcile(
        Inspection {
            requested_at,
            stamp,
        },
        &holds(&[]),
    );
    assert!(ledger.settled());
    (ledger, requested_at)
}

fn admits(before: &[Order], last: &Order, expected: Result<(), Refusal>) {
    let (mut ledger, now) = settled(Fencing::Checked);
    for order in before {
        carry(&mut ledger, now, order, Outcome::Done);
    }
    assert_eq!(ledger.admit(now, last), expected);
    assert!(ledger.reserved_bytes() <= ledger.budget_bytes());
}

cases!(admits {
    load_that_fits: (&[], &load(2, "a"), Ok(())),
    load_that_does_not_fit: (&[load(2, "a")], &load(3, "b"), Err(Refusal::Memory)),
    load_after_an_unload: (&[load(2, "a"), unload(3, "a")], &load(4, "b"), Ok(())),
    load_twice: (&[load(2, "a")], &load(3, "a"), Err(Refusal::State)),
    unload_of_nothing: (&[], &unload(2, "a"), Err(Refusal::State)),
    older_order: (&[load(3, "a")], &load(2, "b"), Err(Refusal::Stale)),
    same_order_again: (&[load(2, "a")], &load(2, "a"), Err(Refusal::Stale)),
    order_of_an_old_leader: (
        &[load(2, "a"), unload(3, "a")],
        &Order {
            fence: Fence {
                term: 0,
                sequence: 99
            },
            ..load(2, "a")
        },
        Err(Refusal::Stale)
    ),
    change_of_stage: (
        &[],
        &order(
            2,
            Action::Turn {
                stage: Stage::Decode
            }
        ),
        Ok(())
    ),
    change_to_the_same_stage: (
        &[],
        &order(
            2,
            Action::Turn {
                stage: Stage::Mixed
            }
        ),
        Err(Refusal::State)
    ),
});

#[test]
fn order_before_the_first_inventory_is_refused() {
    let now = Instant::now();
    let mut ledger = Ledger::open(now, capacity(Fencing::Checked), 7);
    assert_eq!(ledger.admit(now, &load(2, "a")), Err(Refusal::Unsettled));
}

/// What a lost load of `a` is after an inventory.
fn settles(
    fencing: Fencing,
    asked_after: Duration,
    later: bool,
    held: &[&str],
    expected: Option<State>,
) {
    let (mut ledger, now) = settled(fencing);
    let order = load(2, "a");
    carry(&mut ledger, now, &order, Outcome::Lost);
    let inspection = Inspection {
        requested_at: now + asked_after,
        stamp: if later { ledger.next_stamp() } else { stamp(1) },
    };
    ledger.reconcile(inspection, &holds(held));
    let state = ledger.reservations().next().map(|row| row.state);
    assert_eq!(state, expected);
    assert_eq!(ledger.reserved_bytes(), expected.map_or(0, |_| BYTES));
}

cases!(settles {
    sealed_and_absent: (Fencing::Checked, SECOND, true, &[], None),
    sealed_and_present: (
        Fencing::Checked,
        SECOND,
        true,
        &["a"],
        Some(State::Resident)
    ),
    not_sealed_and_absent: (Fencing::Checked, SECOND, false, &[], Some(State::Unknown)),
    seal_is_worthless_where_ignored: (Fencing::Ignored, SECOND, true, &[], Some(State::Unknown)),
    expired_and_absent: (Fencing::Ignored, ORDER_TTL, true, &[], None),
    present_already: (
        Fencing::Ignored,
        SECOND,
        true,
        &["a"],
        Some(State::Resident)
    ),
});

/// What is left of `a` after a confirmed unload and an inventory that does not show it.
fn releases(fencing: Fencing, asked_after: Duration, expected: Option<State>) {
    let (mut ledger, now) = settled(fencing);
    for order in [load(2, "a"), unload(3, "a")] {
        carry(&mut ledger, now, &order, Outcome::Done);
    }
    let (requested_at, stamp) = (now + asked_after, ledger.next_stamp());
    ledger.reconcile(
        Inspection {
            requested_at,
            stamp,
        },
        &holds(&[]),
    );
    assert_eq!(ledger.reservations().next().map(|row| row.state), expected);
}

cases!(releases {
    fenced_load_can_not_come_again: (Fencing::Checked, SECOND, None),
    unfenced_load_may_come_again: (Fencing::Ignored, SECOND, Some(State::Unknown)),
    unfenced_load_has_expired: (Fencing::Ignored, ORDER_TTL, None),
});

#[test]
fn restarted_engine_is_counted_as_it_is_found() {
    let (mut ledger, now) = settled(Fencing::Checked);
    let order = load(2, "a");
    carry(&mut ledger, now, &order, Outcome::Done);
    ledger.handle_restart(Capacity {
        incarnation: 2,
        ..capacity(Fencing::Checked)
    });
    assert_eq!(ledger.resident().count(), 0);
    assert_eq!(ledger.admit(now, &load(3, "b")), Err(Refusal::Unsettled));
    let (requested_at, stamp) = (now + SECOND, ledger.next_stamp());
    ledger.reconcile(
        Inspection {
            requested_at,
            stamp,
        },
        &holds(&["b"]),
    );
    let held: Vec<String> = ledger.resident().map(|row| row.name.clone()).collect();
    assert_eq!(held, ["b"]);
}

#[test]
fn agent_whose_clock_stepped_back_numbers_its_run_anew() {
    let now = Instant::now();
    let mut ledger = Ledger::open(now, capacity(Fencing::Checked), 7);
    let newest = Stamp { run: 9, count: 4 };
    let inventory = Inventory {
        newest,
        ..holds(&["a"])
    };
    let stamp = ledger.next_stamp();
    ledger.reconcile(
        Inspection {
            requested_at: now,
            stamp,
        },
        &inventory,
    );
    assert!(!ledger.settled());
    let stamp = ledger.next_stamp();
    assert!(stamp > newest);
    ledger.reconcile(
        Inspection {
            requested_at: now,
            stamp,
        },
        &inventory,
    );
    assert!(ledger.settled());
}
