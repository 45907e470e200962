//! An endpoint of the agent's VM with its queue.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::estimate::Estimate;
use super::queue::{Item, Queue};
use crate::process::Endpoint;
use crate::process::endpoint::Phase;
use crate::request::Reason;

/// How long an endpoint stays listed without an announcement; it sends one a second.
pub const LEASE_DURATION: Duration = Duration::from_secs(4);

/// An endpoint, what runs on it and what waits for it.
#[derive(Debug)]
pub struct Backend {
    endpoint: Endpoint,
    address: SocketAddr,
    running: u32,
    queue: Queue,
    estimate: Estimate,
    /// Set by an operator; the endpoint's own announcement has its phase.
    withdrawn: bool,
    /// When the lease runs out; `None` once it has.
    expires: Option<Instant>,
}

/// A refusal by the agent, which knows that nothing ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When another try may succeed, as far as the endpoint's pace tells.
    pub after: Duration,
}

/// What became of the requests of a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request has a slot.
    Start { item: Item },
    /// The request is refused.
    Refuse { call: u64, refusal: Refusal },
}

impl Backend {
    /// Opens the backend of an endpoint that announced itself.
    #[must_use]
    pub fn open(now: Instant, endpoint: &Endpoint, address: SocketAddr) -> Self {
        Self {
            endpoint: endpoint.clone(),
            address,
            running: 0,
            queue: Queue::default(),
            estimate: Estimate::default(),
            withdrawn: false,
            expires: Some(now + LEASE_DURATION),
        }
    }

    /// Takes in a later announcement, which renews the lease.
    pub fn announce(&mut self, now: Instant, endpoint: &Endpoint, address: SocketAddr) {
        self.expires = Some(now + LEASE_DURATION);
        self.endpoint.clone_from(endpoint);
        self.address = address;
    }

    /// Ends the lease if its time has come: what waits is refused, what runs goes on.
    pub fn expire_lease(&mut self, now: Instant, out: &mut Vec<Decision>) {
        if self.expires.is_some_and(|expires| expires <= now) {
            self.expires = None;
            // What waited in vain is told so; only the rest waits for nothing.
            self.expire(now, out);
            let refusal = Refusal::retry_immediately(Reason::NotHeld);
            let waiting = self.queue.drain().into_iter();
            out.extend(waiting.map(|item| Decision::refuse(item.call, refusal)));
        }
    }

    /// Whether the endpoint stopped announcing itself.
    #[must_use]
    pub fn lease_expired(&self) -> bool {
        self.expires.is_none()
    }

    /// Sets whether an operator withdrew the endpoint.
    pub fn set_withdrawn(&mut self, withdrawn: bool) {
        self.withdrawn = withdrawn;
    }

    /// Where the endpoint is reached.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests that hold a slot.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that wait.
    #[must_use]
    pub fn queue(&self) -> &Queue {
        &self.queue
    }

    /// Whether the endpoint takes no new work.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.withdrawn || self.endpoint.phase == Phase::Draining
    }

    /// The endpoint as the directory shall show it.
    #[must_use]
    pub fn endpoint(&self) -> Endpoint {
        let mut endpoint = self.endpoint.clone();
        if self.draining() {
            endpoint.phase = Phase::Draining;
        }
        endpoint
    }

    /// When the next waiting request or the lease expires.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let deadlines = self.queue.deadline().into_iter().chain(self.expires);
        deadlines.min()
    }

    /// Judges a request that is not in the queue yet.
    ///
    /// # Errors
    ///
    /// The endpoint takes no new work, does not hold the target, or can't answer
    /// in time as far as its pace tells.
    pub fn check(&self, now: Instant, item: &Item) -> Result<(), Refusal> {
        if self.draining() {
            return Err(Refusal::retry_immediately(Reason::Draining));
        }
        if self.lease_expired() {
            return Err(Refusal::retry_immediately(Reason::NotHeld));
        }
        self.check_holding(item)?;
        if item.deadline <= now {
            return Err(Refusal::retry_immediately(Reason::DeadlinePassed));
        }
        // A free slot is used whatever the estimate says, which may be out of date.
        if self.can_start_immediately() {
            return Ok(());
        }
        let start = now
            + self
                .estimate
                .wait(self.queue.cost_ahead(item), self.endpoint.slots);
        self.check_expectations(start, item)
    }

    /// Takes a request in.
    pub fn push(&mut self, item: Item, out: &mut Vec<Decision>) {
        let after = self.estimate.wait(self.queue.cost(), self.endpoint.slots);
        let reason = Reason::QueueFull;
        let evicted = self.queue.push(item).into_iter();
        out.extend(evicted.map(|item| Decision::refuse(item.call, Refusal { reason, after })));
    }

    /// Gives free slots to the requests that come next.
    pub fn fill_slots(&mut self, now: Instant, out: &mut Vec<Decision>) {
        self.expire(now, out);
        while self.running < self.endpoint.slots
            && let Some(item) = self.queue.pop()
        {
            match self.check_start(now, &item) {
                Ok(()) => {
                    self.running += 1;
                    out.push(Decision::Start { item });
                }
                Err(refusal) => out.push(Decision::refuse(item.call, refusal)),
            }
        }
    }

    /// Refuses the requests that waited in vain.
    pub fn expire(&mut self, now: Instant, out: &mut Vec<Decision>) {
        for item in self.queue.expire(now) {
            let reason = if item.deadline <= now {
                Reason::DeadlinePassed
            } else {
                Reason::ExpectationMissed
            };
            let after = self.estimate.wait(self.queue.cost(), self.endpoint.slots);
            out.push(Decision::refuse(item.call, Refusal { reason, after }));
        }
    }

    /// Refuses every waiting request, so that entries place it elsewhere.
    pub fn drain(&mut self, out: &mut Vec<Decision>) {
        let refusal = Refusal::retry_immediately(Reason::Draining);
        let waiting = self.queue.drain().into_iter();
        out.extend(waiting.map(|item| Decision::refuse(item.call, refusal)));
    }

    /// Takes a request out of the queue, because its caller left.
    pub fn remove(&mut self, call: u64) {
        self.queue.remove(call);
    }

    /// Takes in how long the endpoint took to begin an answer.
    pub fn record_first_byte(&mut self, elapsed: Duration) {
        self.estimate.record_first_byte(elapsed);
    }

    /// Frees the slot of a request; `took` is given if the endpoint answered.
    pub fn release_slot(&mut self, elapsed: Option<Duration>, cost: u64) {
        self.running -= 1;
        if let Some(elapsed) = elapsed {
            self.estimate.record_completion(elapsed, cost);
        }
    }

    /// Judges a request that has a free slot.
    fn check_start(&self, now: Instant, item: &Item) -> Result<(), Refusal> {
        self.check_holding(item)?;
        // With nothing running there is nothing to wait for, and the estimate is
        // renewed by trying.
        if self.running == 0 {
            return Ok(());
        }
        self.check_expectations(now, item)
    }

    /// Whether the endpoint holds what the request needs; it may have been
    /// unloaded while the request waited.
    fn check_holding(&self, item: &Item) -> Result<(), Refusal> {
        if self.endpoint.holding.contains(item.destination.target()) {
            return Ok(());
        }
        Err(Refusal::retry_immediately(Reason::NotHeld))
    }

    fn can_start_immediately(&self) -> bool {
        self.queue.is_empty() && self.running < self.endpoint.slots
    }

    /// Whether a request that starts at `start` can meet what it expects.
    fn check_expectations(&self, start: Instant, item: &Item) -> Result<(), Refusal> {
        let first = start + self.estimate.time_to_first_byte();
        let late = item
            .first_token_due
            .map_or(Duration::ZERO, |due| first.saturating_duration_since(due));
        let end = start + self.estimate.duration_capped_at_mean(item.cost);
        let late = late.max(end.saturating_duration_since(item.deadline));
        if late.is_zero() {
            return Ok(());
        }
        Err(Refusal {
            reason: Reason::ExpectationMissed,
            after: late,
        })
    }
}

impl Refusal {
    /// A refusal that another endpoint may not share.
    #[must_use]
    pub fn retry_immediately(reason: Reason) -> Self {
        Self {
            reason,
            after: Duration::ZERO,
        }
    }
}

impl Decision {
    fn refuse(call: u64, refusal: Refusal) -> Self {
        Self::Refuse { call, refusal }
    }
}
