//! Asks for a permit before a request is sent to an endpoint that limits its requests.
//!
//! All gateways compute the same owner of an endpoint, among those that they reach. If the
//! owner does not answer, the next one in the order is asked, and at last the gateway itself
//! admits its requests.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::call::{Call, Stage};
use super::order::{Order, rank};
use super::{Command, Gateway, Sink};
use crate::process::registry::{Announcement, Row};
use crate::process::throttle::{Notice, Permit};
use crate::request::Reason;

/// How long a gateway that did not answer is not asked for permits. Gossip finds out within
/// this time whether it can be reached.
const OWNER_SUSPENSION: Duration = Duration::from_secs(1);

/// A request waits for its turn at an endpoint for its objective divided by this, so that
/// enough of it is left for the answer.
const MAX_WAIT_DIVISOR: u32 = 2;

impl Gateway {
    /// Records what an endpoint says of its limit.
    pub(super) fn record_limit<S>(
        &mut self,
        now: Instant,
        id: &str,
        started_ms: u64,
        notice: Notice,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        if notice == Notice::Malformed {
            out.push(Command::ReportMalformedLimit {
                endpoint: id.to_owned(),
            });
        }
        if self.limits.record(now, id, started_ms, notice) {
            out.push(Command::ReportLimit {
                endpoint: id.to_owned(),
                rate: self.limits.rate(now, id, started_ms),
            });
            self.gossip.expedite(now);
        }
    }

    /// The limit in force of an endpoint, in requests a second.
    pub(super) fn limit(&self, now: Instant, endpoint: &Announcement) -> Option<f64> {
        let started_ms = endpoint.stamp.started_ms;
        self.limits.rate(now, &endpoint.id, started_ms)
    }

    /// Sends the request to `endpoint`, once it has a permit if the endpoint limits its
    /// requests.
    pub(super) fn send<S>(
        &mut self,
        now: Instant,
        number: u64,
        endpoint: Rc<Announcement>,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let Some(rate) = self.limit(now, &endpoint) else {
            return self.dispatch(now, number, endpoint, out);
        };
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let id = endpoint.id.clone();
        let max_wait = call.route.objective / MAX_WAIT_DIVISOR;
        call.stage = Stage::Throttled {
            endpoint: id.clone(),
            until: None,
        };
        if let Some(owner) = self.owner(now, &id) {
            out.push(Command::Admit {
                call: number,
                owner,
                endpoint: id,
                rate,
                max_wait,
            });
        } else {
            let permit = self.pacer.admit(now, &id, rate, max_wait);
            self.apply_permit(now, number, permit, out);
        }
    }

    /// Admits a request of another gateway to an endpoint that this gateway owns. What it
    /// knows of the limit itself goes before the `rate` that the other knows.
    pub(super) fn admit<S>(
        &mut self,
        now: Instant,
        number: u64,
        endpoint: &str,
        rate: f64,
        max_wait: Duration,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let row = self.registry.row(endpoint);
        let known = row.and_then(|row| self.limit(now, &row.announcement));
        let rate = known.unwrap_or(rate);
        let permit = self.pacer.admit(now, endpoint, rate, max_wait);
        out.push(Command::Permit {
            call: number,
            permit,
        });
    }

    /// Applies the answer of the `owner`; `None` if it did not answer.
    pub(super) fn admitted<S>(
        &mut self,
        now: Instant,
        number: u64,
        owner: SocketAddr,
        permit: Option<Permit>,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        if let Some(permit) = permit {
            return self.apply_permit(now, number, permit, out);
        }
        self.suspend_owner(now, owner);
        match self.throttled_endpoint(now, number) {
            Some(endpoint) => self.send(now, number, endpoint, out),
            None => self.reroute(now, number, out),
        }
    }

    /// Sends the requests whose turn has come.
    pub(super) fn send_due<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        while let Some(&(at, number)) = self.turns.first() {
            if at > now {
                return;
            }
            self.turns.pop_first();
            match self.throttled_endpoint(now, number) {
                Some(endpoint) => self.dispatch(now, number, endpoint, out),
                None => self.reroute(now, number, out),
            }
        }
    }

    /// When the first of the endpoints that could take the request takes requests again, and why
    /// it does not now; `None` if no endpoint that has not been tried denies requests, and not all
    /// of those that were tried do.
    pub(super) fn next_turn(&self, now: Instant, call: &Call) -> Option<(Instant, Reason)> {
        let rows = self.registry.rows();
        let serving: Vec<&Row> = rows.filter(|row| super::pick::serves(call, row)).collect();
        let untried = serving
            .iter()
            .filter(|row| super::pick::is_usable(call, row));
        let turns = untried.filter_map(|row| self.denial(now, row));
        let turn = turns.min_by_key(|&(until, _)| until);
        turn.or_else(|| {
            let denials = serving.iter().map(|row| self.denial(now, row));
            let denials = denials.collect::<Option<Vec<_>>>()?;
            denials.into_iter().min_by_key(|&(until, _)| until)
        })
    }

    /// Until when an endpoint takes no requests of this gateway, because it has no turn for
    /// them or asked for a pause, and which of the two.
    pub(super) fn denial(&self, now: Instant, row: &Row) -> Option<(Instant, Reason)> {
        let tracker = self.trackers.get(&row.announcement.id)?;
        let limited = self.limit(now, &row.announcement);
        let limited = limited.and(tracker.denied_until);
        let limited = limited.map(|until| (until, Reason::EndpointLimited));
        let paused = tracker.paused_until(row.stamp.started_ms);
        let paused = paused.map(|until| (until, Reason::EndpointPaused));
        let denials = [limited, paused].into_iter().flatten();
        let denials = denials.filter(|&(until, _)| now < until);
        denials.max_by_key(|&(until, _)| until)
    }

    fn apply_permit<S>(&mut self, now: Instant, number: u64, permit: Permit, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let Stage::Throttled { endpoint, until } = &mut call.stage else {
            return;
        };
        match permit {
            Permit::Granted { wait } => {
                *until = Some(now + wait);
                self.turns.insert((now + wait, number));
                self.send_due(now, out);
            }
            Permit::Denied { retry_after } => {
                if let Some(tracker) = self.trackers.get_mut(endpoint.as_str()) {
                    tracker.denied_until = Some(now + retry_after);
                }
                out.push(Command::Throttled {
                    call: number,
                    endpoint: endpoint.clone(),
                    retry_after,
                });
                self.reroute(now, number, out);
            }
        }
    }

    /// The endpoint of a request that waits for a permit or its turn, unless it has left or asked
    /// for a pause.
    fn throttled_endpoint(&self, now: Instant, number: u64) -> Option<Rc<Announcement>> {
        let Stage::Throttled { endpoint, .. } = &self.calls.get(&number)?.stage else {
            return None;
        };
        let row = self.registry.row(endpoint);
        let row = row.filter(|row| self.takes_requests(now, row))?;
        Some(Rc::clone(&row.announcement))
    }

    /// Chooses another endpoint for a request that was not sent.
    fn reroute<S>(&mut self, now: Instant, number: u64, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let Stage::Throttled { endpoint, .. } = std::mem::replace(&mut call.stage, Stage::Idle)
        else {
            return;
        };
        if let Some(tracker) = self.trackers.get_mut(&endpoint) {
            tracker.release(call.tokens);
        }
        self.attempt(now, number, out);
    }

    /// Asks another gateway meanwhile, because the `owner` did not answer.
    pub(super) fn suspend_owner(&mut self, now: Instant, owner: SocketAddr) {
        self.suspended_owners.insert(owner, now + OWNER_SUSPENSION);
    }

    /// The gateway that is asked about an endpoint or a tenant of this name: the owner, or the next
    /// one in the order if the owner did not answer lately; `None` if it is this one.
    pub(super) fn owner(&mut self, now: Instant, name: &str) -> Option<SocketAddr> {
        let own = self.setup.address;
        let order = self.order(name);
        let mut first = order.reached().iter().copied();
        let first = first.find(|&address| address == own || !self.is_suspended(now, address));
        let first = first.or_else(|| {
            // None of those that are kept answers.
            let peers = self.gossip.reachable();
            let peers = peers.filter(|&address| !self.is_suspended(now, address));
            rank(name, peers.chain([own])).first().copied()
        });
        first.filter(|&first| first != own)
    }

    /// The order of the gateways for a name.
    pub(super) fn order(&mut self, name: &str) -> Order {
        let own = self.setup.address;
        self.orders.look_up(&self.gossip, own, name)
    }

    /// Whether a gateway did not answer lately.
    pub(super) fn is_suspended(&self, now: Instant, address: SocketAddr) -> bool {
        let suspended = self.suspended_owners.get(&address);
        suspended.is_some_and(|&until| now < until)
    }
}
