//! Tests of the ledger: which orders it admits, and how an inventory of the engine
//! corrects the reservations.

use std::time::{Duration, Instant};

use nutmegyoke_cases::cases;
use nutmegyoke_core::process::agent::Ledger;
use nutmegyoke_core::process::agent::ledger::{Inspection, ORDER_TTL, Rejection};
use nutmegyoke_core::process::order::{Action, Fence, Order, Outcome, Stage, Stamp, Weights};
use nutmegyoke_core::process::report::{Capacity, Content, Fencing, Inventory, State};

const SECOND: Duration = Duration::from_secs(1);
const MODEL_BYTES: u64 = 60;

fn fence(sequence: u64) -> Fence {
    Fence { term: 1, sequence }
}

fn stamp(count: u64) -> Stamp {
    Stamp { run: 7, count }
}

/// Admits an order, sends it and concludes it with `outcome`, all at the same time.
fn execute(ledger: &mut Ledger, now: Instant, order: &Order, outcome: Outcome) {
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
    let bytes = MODEL_BYTES;
    order(sequence, Action::Load { weights, bytes })
}

fn unload(sequence: u64, name: &str) -> Order {
    let weights = Weights::model(name, 0);
    order(sequence, Action::Unload { weights })
}

fn inventory_of(names: &[&str]) -> Inventory {
    let content = |name: &&str| Content {
        weights: Weights::model(name, 0),
        bytes: MODEL_BYTES,
    };
    Inventory {
        incarnation: 1,
        newest: stamp(0),
        stage: Stage::Mixed,
        contents: names.iter().map(content).collect(),
    }
}

/// A ledger whose contents are settled by an empty inventory, and the time at which that
/// inventory was requested. All orders of an earlier run have expired by then.
fn settled_ledger(fencing: Fencing) -> (Ledger, Instant) {
    let now = Instant::now();
    let mut ledger = Ledger::open(now, capacity(fencing), 7);
    let requested_at = now + ORDER_TTL;
    let stamp = ledger.next_stamp();
    ledger.reconcile(
        Inspection {
            requested_at,
            stamp,
        },
        &inventory_of(&[]),
    );
    assert!(ledger.settled());
    (ledger, requested_at)
}

fn admission(before: &[Order], last: &Order, expected: Result<(), Rejection>) {
    let (mut ledger, now) = settled_ledger(Fencing::Checked);
    for order in before {
        execute(&mut ledger, now, order, Outcome::Done);
    }
    assert_eq!(ledger.admit(now, last), expected);
    assert!(ledger.reserved_bytes() <= ledger.budget_bytes());
}

cases!(admission {
    load_that_fits: (&[], &load(2, "a"), Ok(())),
    load_that_does_not_fit: (&[load(2, "a")], &load(3, "b"), Err(Rejection::Memory)),
    load_after_an_unload: (&[load(2, "a"), unload(3, "a")], &load(4, "b"), Ok(())),
    load_twice: (&[load(2, "a")], &load(3, "a"), Err(Rejection::State)),
    unload_of_nothing: (&[], &unload(2, "a"), Err(Rejection::State)),
    older_order: (&[load(3, "a")], &load(2, "b"), Err(Rejection::Stale)),
    same_order_again: (&[load(2, "a")], &load(2, "a"), Err(Rejection::Stale)),
    order_of_an_earlier_term: (
        &[load(2, "a"), unload(3, "a")],
        &Order {
            fence: Fence {
                term: 0,
                sequence: 99
            },
            ..load(2, "a")
        },
        Err(Rejection::Stale)
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
        Err(Rejection::State)
    ),
});

#[test]
fn order_before_the_first_inventory_is_rejected() {
    let now = Instant::now();
    let mut ledger = Ledger::open(now, capacity(Fencing::Checked), 7);
    assert_eq!(ledger.admit(now, &load(2, "a")), Err(Rejection::Unsettled));
}

/// Checks the reservation for `a` after its load was lost and an inventory showed
/// `held`. `newer_stamp` tells whether the inventory was requested with a stamp newer
/// than that of the load.
fn reservation_after_lost_load(
    fencing: Fencing,
    inspection_delay: Duration,
    newer_stamp: bool,
    held: &[&str],
    expected: Option<State>,
) {
    let (mut ledger, now) = settled_ledger(fencing);
    let order = load(2, "a");
    execute(&mut ledger, now, &order, Outcome::Lost);
    let inspection = Inspection {
        requested_at: now + inspection_delay,
        stamp: if newer_stamp {
            ledger.next_stamp()
        } else {
            stamp(1)
        },
    };
    ledger.reconcile(inspection, &inventory_of(held));
    let state = ledger.reservations().next().map(|row| row.state);
    assert_eq!(state, expected);
    assert_eq!(ledger.reserved_bytes(), expected.map_or(0, |_| MODEL_BYTES));
}

cases!(reservation_after_lost_load {
    fenced_off_and_absent: (Fencing::Checked, SECOND, true, &[], None),
    fenced_off_and_present: (
        Fencing::Checked,
        SECOND,
        true,
        &["a"],
        Some(State::Resident)
    ),
    not_fenced_off_and_absent: (Fencing::Checked, SECOND, false, &[], Some(State::Unknown)),
    fence_ignored_and_absent: (Fencing::Ignored, SECOND, true, &[], Some(State::Unknown)),
    expired_and_absent: (Fencing::Ignored, ORDER_TTL, true, &[], None),
    fence_ignored_and_present: (
        Fencing::Ignored,
        SECOND,
        true,
        &["a"],
        Some(State::Resident)
    ),
});

/// Checks the reservation for `a` after its unload was confirmed and an inventory did
/// not show it. A duplicate of the load order may still be in flight to an engine that
/// ignores fences, until the order expires.
fn reservation_after_unload(fencing: Fencing, inspection_delay: Duration, expected: Option<State>) {
    let (mut ledger, now) = settled_ledger(fencing);
    for order in [load(2, "a"), unload(3, "a")] {
        execute(&mut ledger, now, &order, Outcome::Done);
    }
    let (requested_at, stamp) = (now + inspection_delay, ledger.next_stamp());
    ledger.reconcile(
        Inspection {
            requested_at,
            stamp,
        },
        &inventory_of(&[]),
    );
    assert_eq!(ledger.reservations().next().map(|row| row.state), expected);
}

cases!(reservation_after_unload {
    duplicate_load_is_fenced_off: (Fencing::Checked, SECOND, None),
    duplicate_load_may_be_in_flight: (Fencing::Ignored, SECOND, Some(State::Unknown)),
    duplicate_load_has_expired: (Fencing::Ignored, ORDER_TTL, None),
});

#[test]
fn restarted_engine_is_accounted_by_its_inventory() {
    let (mut ledger, now) = settled_ledger(Fencing::Checked);
    let order = load(2, "a");
    execute(&mut ledger, now, &order, Outcome::Done);
    ledger.handle_restart(Capacity {
        incarnation: 2,
        ..capacity(Fencing::Checked)
    });
    assert_eq!(ledger.resident().count(), 0);
    assert_eq!(ledger.admit(now, &load(3, "b")), Err(Rejection::Unsettled));
    let (requested_at, stamp) = (now + SECOND, ledger.next_stamp());
    ledger.reconcile(
        Inspection {
            requested_at,
            stamp,
        },
        &inventory_of(&["b"]),
    );
    let held: Vec<String> = ledger.resident().map(|row| row.name.clone()).collect();
    assert_eq!(held, ["b"]);
}

/// Run numbers come from the clock. After the clock was set back, the engine has seen a
/// later run and would refuse every order of this one.
#[test]
fn run_number_is_raised_after_the_clock_was_set_back() {
    let now = Instant::now();
    let mut ledger = Ledger::open(now, capacity(Fencing::Checked), 7);
    let newest = Stamp { run: 9, count: 4 };
    let inventory = Inventory {
        newest,
        ..inventory_of(&["a"])
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
