//! Accounts for the accelerator memory of one engine, reserved by weights.
//!
//! Bytes are reserved before an order is sent and released only when no order in
//! flight can use them any more: by a confirmed unload, or by an inventory that was
//! requested after every order for those weights had been fenced off or had expired.
//! The contents are settled when an inventory has confirmed them; until then every
//! order is rejected.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::{Display, Error};

use crate::process::order::{Action, Fence, Order, Outcome, Stage, Stamp, Weights};
use crate::process::report::{Capacity, Fencing, Inventory, Reservation, State};

/// The maximum time that an order can be in flight to an engine.
pub const ORDER_TTL: Duration = Duration::from_secs(30);

/// The memory ledger of one engine.
#[derive(Clone, Debug)]
pub struct Ledger {
    capacity: Capacity,
    opened: Instant,
    settled: bool,
    fence: Fence,
    stamp: Stamp,
    stage: Stage,
    transition: Option<Transition>,
    rows: BTreeMap<Weights, Row>,
    /// When each unload was confirmed, on engines that ignore stamps. A duplicate of
    /// the order may still arrive until [`ORDER_TTL`] has passed.
    unloads: BTreeMap<Weights, Instant>,
}

/// The reservation for one set of weights.
#[derive(Clone, Copy, Debug)]
struct Row {
    bytes: u64,
    state: State,
    /// The stamp of the newest order for these weights.
    stamp: Stamp,
    /// When that order was sent; `None` if only an inventory showed the weights.
    sent: Option<Instant>,
    /// Whether that order was an unload.
    unload_sent: bool,
}

/// A change of the engine's stage that is not confirmed yet.
#[derive(Clone, Copy, Debug)]
struct Transition {
    stage: Stage,
    stamp: Stamp,
    sent: Instant,
}

/// Why the agent rejected an order. The order was not sent to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Rejection {
    /// The order was seen before, or a newer one was.
    #[display("the order's fence is not newer than the newest fence seen")]
    Stale,
    /// No inventory has settled what the engine holds since the agent or the engine
    /// started, or a duplicate of an earlier unload may still arrive.
    #[display("the contents of the engine are not settled yet")]
    Unsettled,
    /// The weights do not fit into the free memory.
    #[display("the weights do not fit into the engine's free memory")]
    Memory,
    /// The state of the weights, or the engine's stage, does not allow the order.
    #[display("the state of the weights or the stage of the engine does not allow the order")]
    State,
}

/// A request for an inventory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Inspection {
    /// When the inventory was requested.
    pub requested_at: Instant,
    /// The stamp of the request. An engine that checks stamps refuses every order with
    /// an older one from then on.
    pub stamp: Stamp,
}

impl Ledger {
    /// Creates the ledger of an engine whose contents are not known yet.
    ///
    /// `run` is the incarnation of the agent, used in stamps.
    #[must_use]
    pub fn open(now: Instant, capacity: Capacity, run: u64) -> Self {
        Self {
            capacity,
            opened: now,
            settled: false,
            fence: Fence::default(),
            stamp: Stamp { run, count: 0 },
            stage: Stage::default(),
            transition: None,
            rows: BTreeMap::new(),
            unloads: BTreeMap::new(),
        }
    }

    /// The memory for weights, free or reserved, in bytes. Excludes the floor that is
    /// reserved for KV cache.
    #[must_use]
    pub fn budget_bytes(&self) -> u64 {
        self.capacity.bytes.saturating_sub(self.capacity.floor)
    }

    /// The memory reserved for weights, in bytes.
    #[must_use]
    pub fn reserved_bytes(&self) -> u64 {
        self.rows.values().map(|row| row.bytes).sum()
    }

    /// The newest fence seen in an order or from the leader.
    #[must_use]
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// The stage that the engine runs, or is changing from.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether an inventory has settled the contents since the agent or the engine
    /// started.
    #[must_use]
    pub fn settled(&self) -> bool {
        self.settled
    }

    /// The capacity that the engine announced.
    #[must_use]
    pub fn capacity(&self) -> &Capacity {
        &self.capacity
    }

    /// The reservations, by weights.
    pub fn reservations(&self) -> impl Iterator<Item = Reservation> + '_ {
        self.rows.iter().map(|(weights, row)| Reservation {
            weights: weights.clone(),
            bytes: row.bytes,
            state: row.state,
        })
    }

    /// The weights that requests may use.
    pub fn resident(&self) -> impl Iterator<Item = &Weights> {
        let rows = self.rows.iter();
        rows.filter(|(_, row)| row.state == State::Resident)
            .map(|(weights, _)| weights)
    }

    /// Rejects every order up to `fence` from now on.
    pub fn raise_fence(&mut self, fence: Fence) {
        self.fence = self.fence.max(fence);
    }

    /// Issues the stamp for the next message to the engine.
    pub fn next_stamp(&mut self) -> Stamp {
        self.stamp.count += 1;
        self.stamp
    }

    /// Whether the contents and the stage are known, so that no inventory is needed.
    #[must_use]
    pub fn fully_settled(&self) -> bool {
        let unknown = |row: &Row| row.state == State::Unknown;
        self.settled && self.transition.is_none() && !self.rows.values().any(unknown)
    }

    /// Reserves the memory that an order needs and raises the fence to the order's.
    ///
    /// # Errors
    ///
    /// The order must not be sent. The fence is raised even so, unless the order is
    /// stale.
    pub fn admit(&mut self, now: Instant, order: &Order) -> Result<(), Rejection> {
        if order.fence <= self.fence {
            return Err(Rejection::Stale);
        }
        self.fence = order.fence;
        if !self.settled {
            return Err(Rejection::Unsettled);
        }
        match &order.action {
            Action::Load { weights, bytes } => self.admit_load(now, weights, *bytes),
            Action::Unload { weights } => self.admit_unload(weights),
            Action::Turn { stage } => self.admit_transition(now, *stage),
        }
    }

    fn admit_load(&mut self, now: Instant, weights: &Weights, bytes: u64) -> Result<(), Rejection> {
        if self.rows.contains_key(weights) {
            return Err(Rejection::State);
        }
        let unloaded = self.unloads.get(weights);
        if unloaded.is_some_and(|&confirmed_at| now < confirmed_at + ORDER_TTL) {
            return Err(Rejection::Unsettled);
        }
        if self.reserved_bytes().saturating_add(bytes) > self.budget_bytes() {
            return Err(Rejection::Memory);
        }
        let row = Row {
            bytes,
            state: State::Loading,
            stamp: Stamp::default(),
            sent: Some(now),
            unload_sent: false,
        };
        self.rows.insert(weights.clone(), row);
        Ok(())
    }

    fn admit_unload(&mut self, weights: &Weights) -> Result<(), Rejection> {
        let row = self.rows.get_mut(weights).ok_or(Rejection::State)?;
        if row.state != State::Resident {
            return Err(Rejection::State);
        }
        row.state = State::Unloading;
        Ok(())
    }

    fn admit_transition(&mut self, now: Instant, stage: Stage) -> Result<(), Rejection> {
        if self.transition.is_some() || self.stage == stage {
            return Err(Rejection::State);
        }
        let (stamp, sent) = (Stamp::default(), now);
        self.transition = Some(Transition { stage, stamp, sent });
        Ok(())
    }

    /// Records that an admitted order is sent now and returns its stamp.
    pub fn mark_sent(&mut self, now: Instant, order: &Order) -> Stamp {
        let stamp = self.next_stamp();
        if let Some(weights) = order.action.weights() {
            if let Some(row) = self.rows.get_mut(weights) {
                row.stamp = stamp;
                row.sent = Some(now);
                row.unload_sent = matches!(order.action, Action::Unload { .. });
            }
        } else if let Some(transition) = &mut self.transition {
            transition.stamp = stamp;
            transition.sent = now;
        }
        stamp
    }

    /// Records how the order sent with `stamp` ended.
    pub fn conclude(&mut self, now: Instant, order: &Order, stamp: Stamp, outcome: Outcome) {
        match order.action.weights() {
            Some(weights) => self.conclude_weights(now, weights, stamp, outcome),
            None => self.conclude_transition(stamp, outcome),
        }
    }

    fn conclude_weights(
        &mut self,
        now: Instant,
        weights: &Weights,
        stamp: Stamp,
        outcome: Outcome,
    ) {
        let checked = self.checks_stamps();
        let Some(row) = self.rows.get_mut(weights) else {
            return;
        };
        let pending = matches!(row.state, State::Loading | State::Unloading);
        if row.stamp != stamp || !pending {
            return;
        }
        match (outcome, row.state) {
            (Outcome::Lost, _) => row.state = State::Unknown,
            (Outcome::Done, State::Loading) => row.state = State::Resident,
            // A duplicate of the earlier load has no effect: the engine refuses it.
            (Outcome::Done, _) if checked => {
                self.rows.remove(weights);
            }
            // A duplicate of the earlier load may still be in flight, so the bytes
            // stay reserved until an inventory settles them.
            (Outcome::Done, _) => {
                row.state = State::Unknown;
                self.unloads.insert(weights.clone(), now);
            }
        }
    }

    fn conclude_transition(&mut self, stamp: Stamp, outcome: Outcome) {
        let Some(transition) = self
            .transition
            .filter(|transition| transition.stamp == stamp)
        else {
            return;
        };
        if outcome == Outcome::Done {
            self.stage = transition.stage;
            self.transition = None;
        }
    }

    /// Marks the contents as unknown, because the engine restarted.
    pub fn handle_restart(&mut self, capacity: Capacity) {
        self.capacity = capacity;
        self.settled = false;
        for row in self.rows.values_mut() {
            row.state = State::Unknown;
        }
    }

    /// Applies an inventory to the rows that no order in flight can change any more.
    ///
    /// An engine that ignores stamps is not settled by an inventory that was requested
    /// within [`ORDER_TTL`] of the opening of the ledger, because orders of the agent's
    /// previous run may still have been in flight.
    pub fn reconcile(&mut self, inspection: Inspection, inventory: &Inventory) {
        let Inspection {
            requested_at,
            stamp: barrier,
        } = inspection;
        if self.checks_stamps() && inventory.newest > barrier {
            // The engine has seen a stamp of a later run, because the clock that
            // numbers the agent's runs was set back. Continue with a run after that one.
            self.stamp.run = inventory.newest.run + 1;
            return;
        }
        let checked = self.checks_stamps();
        let expired = |since: Instant| since + ORDER_TTL <= requested_at;
        let fenced_off = |stamp: Stamp| checked && stamp < barrier;
        if !self.settled && !expired(self.opened) && !checked {
            return;
        }
        let held: BTreeMap<&Weights, u64> = inventory
            .contents
            .iter()
            .map(|content| (&content.weights, content.bytes))
            .collect();
        self.rows.retain(|weights, row| {
            let quiescent = row.sent.is_none_or(expired) || fenced_off(row.stamp);
            row.reconcile(held.get(weights).copied(), quiescent)
        });
        for (&weights, &bytes) in &held {
            self.rows
                .entry(weights.clone())
                .or_insert(Row::discovered(bytes));
        }
        self.unloads
            .retain(|_, &mut confirmed_at| !expired(confirmed_at));
        if self
            .transition
            .is_none_or(|transition| expired(transition.sent) || fenced_off(transition.stamp))
        {
            self.stage = inventory.stage;
            self.transition = None;
        }
        self.settled = true;
    }

    fn checks_stamps(&self) -> bool {
        self.capacity.fencing == Fencing::Checked
    }
}

impl Row {
    /// A row for weights that an inventory shows without a reservation.
    fn discovered(bytes: u64) -> Self {
        Self {
            bytes,
            state: State::Resident,
            stamp: Stamp::default(),
            sent: None,
            unload_sent: false,
        }
    }

    /// Applies the bytes that the engine holds for these weights, if any. Returns
    /// whether the row is kept.
    ///
    /// `quiescent` means that no order for these weights can take effect any more.
    fn reconcile(&mut self, held: Option<u64>, quiescent: bool) -> bool {
        match (held, self.state) {
            (None, _) if quiescent => return false,
            (None, State::Resident) => self.state = State::Unknown,
            (Some(bytes), State::Resident) => self.bytes = self.bytes.max(bytes),
            (Some(bytes), _) if self.stays_resident(quiescent) => {
                self.bytes = self.bytes.max(bytes);
                self.state = State::Resident;
                self.unload_sent = false;
            }
            _ => {}
        }
        true
    }

    /// Whether weights that the engine holds are certain to stay there.
    fn stays_resident(&self, quiescent: bool) -> bool {
        match self.state {
            // If the unload has not been sent yet, the weights are still to be unloaded.
            State::Unloading => quiescent && self.unload_sent,
            State::Unknown => quiescent || !self.unload_sent,
            State::Loading | State::Resident => quiescent,
        }
    }
}
