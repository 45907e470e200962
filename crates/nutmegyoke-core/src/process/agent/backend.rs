//! One endpoint of the agent's VM, with its queue and its latency estimate.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::estimate::Estimate;
use super::queue::{Item, Queue};
use crate::process::Endpoint;
use crate::process::endpoint::Phase;
use crate::request::Reason;

/// How long an endpoint stays listed without an announcement. Endpoints announce
/// themselves once a second.
pub const ANNOUNCEMENT_LEASE: Duration = Duration::from_secs(4);

/// An endpoint with its running and waiting requests.
#[derive(Debug)]
pub struct Backend {
    endpoint: Endpoint,
    address: SocketAddr,
    running: u32,
    queue: Queue,
    estimate: Estimate,
    /// Set by an operator, independently of the phase that the endpoint announces.
    withdrawn: bool,
    /// When the lease expires; `None` once it has expired.
    expires: Option<Instant>,
}

/// A submission that the agent refused without starting it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason code sent to the entry.
    pub reason: Reason,
    /// The estimated time until a retry at this endpoint may succeed; zero if a
    /// retry elsewhere need not wait.
    pub retry_after: Duration,
}

/// What the backend decided on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request got a slot and starts.
    Start { item: Item },
    /// The request is refused.
    Refuse { call: u64, refusal: Refusal },
}

impl Backend {
    /// Creates the backend of an endpoint on its first announcement.
    #[must_use]
    pub fn open(now: Instant, endpoint: &Endpoint, address: SocketAddr) -> Self {
        Self {
            endpoint: endpoint.clone(),
            address,
            running: 0,
            queue: Queue::default(),
            estimate: Estimate::default(),
            withdrawn: false,
            expires: Some(now + ANNOUNCEMENT_LEASE),
        }
    }

    /// Applies a later announcement and renews the lease.
    pub fn announce(&mut self, now: Instant, endpoint: &Endpoint, address: SocketAddr) {
        self.expires = Some(now + ANNOUNCEMENT_LEASE);
        self.endpoint.clone_from(endpoint);
        self.address = address;
    }

    /// Ends the lease if it is due. Waiting requests are refused, running ones continue.
    pub fn expire_lease(&mut self, now: Instant, out: &mut Vec<Decision>) {
        if self.expires.is_some_and(|expires| expires <= now) {
            self.expires = None;
            // Requests past their own expiry are refused for that reason, only the
            // others as not held.
            self.expire(now, out);
            let refusal = Refusal::retry_immediately(Reason::NotHeld);
            let waiting = self.queue.drain().into_iter();
            out.extend(waiting.map(|item| Decision::refuse(item.call, refusal)));
        }
    }

    /// Whether the lease expired without a new announcement.
    #[must_use]
    pub fn lease_expired(&self) -> bool {
        self.expires.is_none()
    }

    /// Sets whether an operator withdrew the endpoint.
    pub fn set_withdrawn(&mut self, withdrawn: bool) {
        self.withdrawn = withdrawn;
    }

    /// The network address of the endpoint.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of requests that hold a slot.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// The waiting requests.
    #[must_use]
    pub fn queue(&self) -> &Queue {
        &self.queue
    }

    /// Whether the endpoint accepts no new requests, by its own announcement or by
    /// an operator's withdrawal.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.withdrawn || self.endpoint.phase == Phase::Draining
    }

    /// The endpoint as listed in the directory.
    #[must_use]
    pub fn endpoint(&self) -> Endpoint {
        let mut endpoint = self.endpoint.clone();
        if self.draining() {
            endpoint.phase = Phase::Draining;
        }
        endpoint
    }

    /// The earliest expiry of a waiting request or of the lease.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let deadlines = self.queue.deadline().into_iter().chain(self.expires);
        deadlines.min()
    }

    /// Checks a request before it is queued.
    ///
    /// # Errors
    ///
    /// The endpoint is draining or its lease has expired, it does not hold the
    /// target, the deadline has passed, or the estimate says that the answer would
    /// be late.
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
        // A free slot is used regardless of the estimate, which may be out of date.
        if self.can_start_immediately() {
            return Ok(());
        }
        let start = now
            + self
                .estimate
                .wait(self.queue.cost_ahead(item), self.endpoint.slots);
        self.check_expectations(start, item)
    }

    /// Queues a request and refuses those that a full queue evicts.
    pub fn push(&mut self, item: Item, out: &mut Vec<Decision>) {
        let retry_after = self.estimate.wait(self.queue.cost(), self.endpoint.slots);
        let reason = Reason::QueueFull;
        let evicted = self.queue.push(item).into_iter();
        out.extend(evicted.map(|item| {
            Decision::refuse(
                item.call,
                Refusal {
                    reason,
                    retry_after,
                },
            )
        }));
    }

    /// Starts the next waiting requests while slots are free.
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

    /// Refuses the waiting requests that have expired.
    pub fn expire(&mut self, now: Instant, out: &mut Vec<Decision>) {
        for item in self.queue.expire(now) {
            let reason = if item.deadline <= now {
                Reason::DeadlinePassed
            } else {
                Reason::ExpectationMissed
            };
            let retry_after = self.estimate.wait(self.queue.cost(), self.endpoint.slots);
            out.push(Decision::refuse(
                item.call,
                Refusal {
                    reason,
                    retry_after,
                },
            ));
        }
    }

    /// Refuses every waiting request, so that the entries retry it elsewhere.
    pub fn drain(&mut self, out: &mut Vec<Decision>) {
        let refusal = Refusal::retry_immediately(Reason::Draining);
        let waiting = self.queue.drain().into_iter();
        out.extend(waiting.map(|item| Decision::refuse(item.call, refusal)));
    }

    /// Removes a request whose caller disconnected from the queue.
    pub fn remove(&mut self, call: u64) {
        self.queue.remove(call);
    }

    /// Records the time from a request's start to the first part of its answer.
    pub fn record_first_byte(&mut self, elapsed: Duration) {
        self.estimate.record_first_byte(elapsed);
    }

    /// Frees the slot of a request. `elapsed` is the time that the request held it;
    /// `None` if the endpoint did not answer.
    pub fn release_slot(&mut self, elapsed: Option<Duration>, cost: u64) {
        self.running -= 1;
        if let Some(elapsed) = elapsed {
            self.estimate.record_completion(elapsed, cost);
        }
    }

    /// Checks a request again when a slot is free for it.
    fn check_start(&self, now: Instant, item: &Item) -> Result<(), Refusal> {
        self.check_holding(item)?;
        // An idle endpoint tries the request despite a bad estimate, because its
        // result is what updates the estimate.
        if self.running == 0 {
            return Ok(());
        }
        self.check_expectations(now, item)
    }

    /// Checks that the endpoint holds what the request needs, which may have been
    /// unloaded while the request waited.
    fn check_holding(&self, item: &Item) -> Result<(), Refusal> {
        if self.endpoint.holding.contains(item.destination.target()) {
            return Ok(());
        }
        Err(Refusal::retry_immediately(Reason::NotHeld))
    }

    /// Whether a slot is free and no request waits for it.
    fn can_start_immediately(&self) -> bool {
        self.queue.is_empty() && self.running < self.endpoint.slots
    }

    /// Checks that a request that starts at `start` is expected to meet its first
    /// token time and its deadline.
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
            retry_after: late,
        })
    }
}

impl Refusal {
    /// A refusal without a delay before the retry, since another endpoint may accept
    /// the request.
    #[must_use]
    pub fn retry_immediately(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: Duration::ZERO,
        }
    }
}

impl Decision {
    fn refuse(call: u64, refusal: Refusal) -> Self {
        Self::Refuse { call, refusal }
    }
}
