//! The accelerator memory of one engine: what is reserved, and by whom.
//!
//! Bytes are reserved before an order leaves and released only when nothing in
//! flight can take them any more: by a confirmed unload, or by an inventory
//! that was asked for after every order for those weights was fenced off or
//! had expired.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::{Display, Error};

use crate::process::order::{Action, Fence, Order, Outcome, Stage, Stamp, Weights};
use crate::process::report::{Capacity, Fencing, Inventory, Reservation, State};

/// The longest time that an order can be on its way to an engine.
pub const ORDER_TTL: Duration = Duration::from_secs(30);

/// The ledger of one engine.
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
    /// Unloads that may arrive a second time, on engines that ignore fences.
    unloads: BTreeMap<Weights, Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Row {
    bytes: u64,
    state: State,
    /// Of the newest order for these weights.
    stamp: Stamp,
    sent: Option<Instant>,
    unload_sent: bool,
}

#[derive(Clone, Copy, Debug)]
struct Transition {
    stage: Stage,
    stamp: Stamp,
    sent: Instant,
}

/// Why the agent did not accept an order; the engine never saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Refusal {
    /// A newer order was seen, or this one twice.
    #[display("the order is older than one seen before")]
    Stale,
    /// No inventory has settled what the engine holds.
    #[display("what the engine holds is not settled yet")]
    Unsettled,
    /// The weights do not fit.
    #[display("the weights do not fit into the memory left")]
    Memory,
    /// The weights are in no state for this order.
    #[display("the weights are in no state for this order")]
    State,
}

/// When and under which stamp an inventory was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Inspection {
    /// When it was asked for.
    pub requested_at: Instant,
    /// The stamp that it carried: an engine that checks fences refuses every
    /// order with an older one from then on.
    pub stamp: Stamp,
}

impl Ledger {
    /// Opens the ledger of an engine whose contents are not known yet.
    ///
    /// `run` is the incarnation of the agent.
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

    /// Memory for weights, free or reserved, in bytes.
    #[must_use]
    pub fn budget_bytes(&self) -> u64 {
        self.capacity.bytes.saturating_sub(self.capacity.floor)
    }

    /// Memory reserved for weights, in bytes.
    #[must_use]
    pub fn reserved_bytes(&self) -> u64 {
        self.rows.values().map(|row| row.bytes).sum()
    }

    /// The newest fence seen.
    #[must_use]
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// The stage that the engine runs, or is changing from.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether an inventory has settled the contents since the ledger was opened.
    #[must_use]
    pub fn settled(&self) -> bool {
        self.settled
    }

    /// The properties of the engine.
    #[must_use]
    pub fn capacity(&self) -> &Capacity {
        &self.capacity
    }

    /// The reservations.
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

    /// Refuses every order before `fence` from now on.
    pub fn raise_fence(&mut self, fence: Fence) {
        self.fence = self.fence.max(fence);
    }

    /// The stamp for what is sent next.
    pub fn next_stamp(&mut self) -> Stamp {
        self.stamp.count += 1;
        self.stamp
    }

    /// Whether nothing waits to be settled by an inventory.
    #[must_use]
    pub fn fully_settled(&self) -> bool {
        let unknown = |row: &Row| row.state == State::Unknown;
        self.settled && self.transition.is_none() && !self.rows.values().any(unknown)
    }

    /// Reserves what an order needs and takes its fence.
    ///
    /// # Errors
    ///
    /// The order is not to be sent; its fence is taken nevertheless.
    pub fn admit(&mut self, now: Instant, order: &Order) -> Result<(), Refusal> {
        if order.fence <= self.fence {
            return Err(Refusal::Stale);
        }
        self.fence = order.fence;
        if !self.settled {
            return Err(Refusal::Unsettled);
        }
        match &order.action {
            Action::Load { weights, bytes } => self.admit_load(now, weights, *bytes),
            Action::Unload { weights } => self.admit_unload(weights),
            Action::Turn { stage } => self.admit_transition(now, *stage),
        }
    }

    fn admit_load(&mut self, now: Instant, weights: &Weights, bytes: u64) -> Result<(), Refusal> {
        if self.rows.contains_key(weights) {
            return Err(Refusal::State);
        }
        let unloaded = self.unloads.get(weights);
        if unloaded.is_some_and(|&sent| now < sent + ORDER_TTL) {
            return Err(Refusal::Unsettled);
        }
        if self.reserved_bytes().saturating_add(bytes) > self.budget_bytes() {
            return Err(Refusal::Memory);
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

    fn admit_unload(&mut self, weights: &Weights) -> Result<(), Refusal> {
        let row = self.rows.get_mut(weights).ok_or(Refusal::State)?;
        if row.state != State::Resident {
            return Err(Refusal::State);
        }
        row.state = State::Unloading;
        Ok(())
    }

    fn admit_transition(&mut self, now: Instant, stage: Stage) -> Result<(), Refusal> {
        if self.transition.is_some() || self.stage == stage {
            return Err(Refusal::State);
        }
        let (stamp, sent) = (Stamp::default(), now);
        self.transition = Some(Transition { stage, stamp, sent });
        Ok(())
    }

    /// Notes that an admitted order leaves now and returns its stamp.
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

    /// Takes in how the order sent with `stamp` ended.
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
        let checked = self.checks_fences();
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
            // The earlier load can't come again: the engine refuses it.
            (Outcome::Done, _) if checked => {
                self.rows.remove(weights);
            }
            // It may come again while it can be in flight.
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

    /// Distrusts what was known, because the engine restarted.
    pub fn handle_restart(&mut self, capacity: Capacity) {
        self.capacity = capacity;
        self.settled = false;
        for row in self.rows.values_mut() {
            row.state = State::Unknown;
        }
    }

    /// Settles the rows that no order in flight can change any more.
    pub fn reconcile(&mut self, inspection: Inspection, inventory: &Inventory) {
        let Inspection {
            requested_at,
            stamp: barrier,
        } = inspection;
        if self.checks_fences() && inventory.newest > barrier {
            // The clock that numbers the agent's runs stepped back.
            self.stamp.run = inventory.newest.run + 1;
            return;
        }
        let checked = self.checks_fences();
        let expired = |sent: Instant| sent + ORDER_TTL <= requested_at;
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
            row.settle(held.get(weights).copied(), quiescent)
        });
        for (&weights, &bytes) in &held {
            self.rows
                .entry(weights.clone())
                .or_insert(Row::discovered(bytes));
        }
        self.unloads.retain(|_, &mut sent| !expired(sent));
        if self
            .transition
            .is_none_or(|transition| expired(transition.sent) || fenced_off(transition.stamp))
        {
            self.stage = inventory.stage;
            self.transition = None;
        }
        self.settled = true;
    }

    fn checks_fences(&self) -> bool {
        self.capacity.fencing == Fencing::Checked
    }
}

impl Row {
    /// Weights that an inventory shows and no order explains.
    fn discovered(bytes: u64) -> Self {
        Self {
            bytes,
            state: State::Resident,
            stamp: Stamp::default(),
            sent: None,
            unload_sent: false,
        }
    }

    /// Takes in what the engine holds; returns whether the row stays.
    ///
    /// `quiescent` says that no order for these weights can take effect any more.
    fn settle(&mut self, held: Option<u64>, quiescent: bool) -> bool {
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

    /// Whether weights that the engine holds will stay there.
    fn stays_resident(&self, quiescent: bool) -> bool {
        match self.state {
            // An unload that has not left yet is still to come.
            State::Unloading => quiescent && self.unload_sent,
            State::Unknown => quiescent || !self.unload_sent,
            State::Loading | State::Resident => quiescent,
        }
    }
}
