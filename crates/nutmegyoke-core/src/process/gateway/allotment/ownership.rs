//! Which gateways this one speaks for when it lends units of a tenant.
//!
//! A gateway that does not reach the first in the order of a tenant is the owner in its own view.
//! Either that one is gone, and the others regard this one as the owner too, or just the
//! connections between the two are broken, and then both would lend the whole allotment. So
//! another gateway is asked, once a second, whether it takes this one for the owner. As long as
//! none does, this one speaks only for the gateways that ask it. Whoever is asked and regards
//! another gateway as the owner sends that one a gossip message early, to find out whether it is
//! gone.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::super::{Command, Gateway, Sink};
use super::Command as Allotted;
use crate::process::allotment::Standing;

/// How often another gateway is asked. Gossip notices within a few times this whether a gateway
/// can be reached.
const CONFIRMATION_PERIOD: Duration = Duration::from_secs(1);

/// How long what it answered counts: until the next answer, which may take as long as the owner
/// has for one, and one answer may be lost.
const CONFIRMATION_TTL: Duration = Duration::from_millis(2500);

/// What other gateways answered.
#[derive(Clone, Copy, Debug)]
pub struct Ownership {
    /// Since when this gateway regards itself as the owner.
    since: Instant,
    /// The gateway that is asked. It stays the same one while it can be reached, because it may need
    /// time to find out that the first one is gone.
    witness: SocketAddr,
    asked_at: Instant,
    /// When another gateway last took this one for the owner.
    confirmed_at: Option<Instant>,
}

impl Ownership {
    /// When it is too old to count.
    pub fn end(&self) -> Instant {
        self.asked_at + CONFIRMATION_TTL
    }

    fn is_confirmed(&self, now: Instant) -> bool {
        let confirmed_at = self.confirmed_at;
        confirmed_at.is_some_and(|at| now < at + CONFIRMATION_TTL)
    }
}

impl Gateway {
    /// Which gateways this one speaks for as the lender of a tenant's units.
    pub(super) fn standing<S>(&mut self, now: Instant, tenant: &str, out: &mut S) -> Standing
    where
        S: Sink<Command = Command>,
    {
        let own = self.setup.address;
        let order = self.order(tenant);
        let mut first = order.reached().iter().copied();
        if let Some(owner) = first.next().filter(|&first| first != own) {
            // Whoever asks does not reach the owner, so it may be gone. The other gateway finds out
            // at the same time.
            self.gossip.probe(now, owner);
            self.is_confirmed(now, tenant, out);
            return Standing::Substitute;
        }
        let gateways = self.gossip.reachable().count() + 1;
        if order.listed == own || gateways == 1 {
            return Standing::Owner { gateways };
        }
        if !self.is_confirmed(now, tenant, out) {
            return Standing::Substitute;
        }
        // Whoever cut off the first may have cut off others, which gossip has not noticed yet.
        let ownership = self.allotments.ownerships.get(tenant);
        let since = ownership.map_or(now, |ownership| ownership.since);
        let gateways = self.gossip.reached_since(since) + 1;
        Standing::Owner { gateways }
    }

    /// Answers whether this gateway takes `gateway` for the owner of a tenant.
    pub(super) fn confirm_ownership<S>(
        &mut self,
        now: Instant,
        number: u64,
        tenant: &str,
        gateway: SocketAddr,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let call = number;
        let owner = self.owner(now, tenant);
        if let Some(owner) = owner.filter(|&owner| owner != gateway) {
            self.gossip.probe(now, owner);
        }
        let confirmed = owner == Some(gateway);
        let answer = Allotted::ConfirmOwnership { call, confirmed };
        out.push(Command::Allotment(answer));
    }

    /// Records whether another gateway takes this one for the owner of a tenant; `None` if it did
    /// not answer.
    pub(super) fn ownership_confirmed(
        &mut self,
        now: Instant,
        tenant: &str,
        confirmed: Option<bool>,
    ) {
        let Some(ownership) = self.allotments.ownerships.get_mut(tenant) else {
            return;
        };
        match confirmed {
            Some(true) => ownership.confirmed_at = Some(now),
            Some(false) => ownership.confirmed_at = None,
            None => {}
        }
    }

    /// Whether another gateway took this one for the owner lately. Asks one if that is due.
    fn is_confirmed<S>(&mut self, now: Instant, tenant: &str, out: &mut S) -> bool
    where
        S: Sink<Command = Command>,
    {
        let known = self.allotments.ownerships.get(tenant).copied();
        let is_confirmed = known.is_some_and(|known| known.is_confirmed(now));
        if known.is_some_and(|known| now < known.asked_at + CONFIRMATION_PERIOD) {
            return is_confirmed;
        }
        let reachable: Vec<SocketAddr> = self.gossip.reachable().collect();
        let witness = known.map(|known| known.witness);
        let witness = witness.filter(|witness| reachable.contains(witness));
        if let Some(witness) = witness.or_else(|| self.rng.choice(reachable)) {
            let ownership = Ownership {
                witness,
                since: known.map_or(now, |known| known.since),
                asked_at: now,
                confirmed_at: known.and_then(|known| known.confirmed_at),
            };
            let allotments = &mut self.allotments;
            if known.is_none() {
                allotments.ownership_expiry.enter(ownership.end(), tenant);
            }
            allotments.ownerships.insert(tenant.to_owned(), ownership);
            let tenant = tenant.to_owned();
            let question = Allotted::AskOwnership { tenant, witness };
            out.push(Command::Allotment(question));
        }
        is_confirmed
    }
}
