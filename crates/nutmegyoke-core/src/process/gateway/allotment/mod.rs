//! The allotments of tenants at a gateway, with the events and commands about them.
//!
//! * [`charge`]: charges the tenant of a request before its first attempt, and lends units;
//! * [`ownership`]: which gateways this one speaks for when it lends.

mod charge;
mod ownership;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::call::Call;
use super::{Gateway, Sink};
use crate::process::allotment::{Ask, Balance, Expiry, Lease, Ledger, Loan, Tolerance};
use crate::request::Reason;
use crate::version::routing::tenant::Unit;
use crate::version::routing::{Caller, Tenant};
use ownership::Ownership;

/// An event about allotments at a gateway. `call` numbers the caller's mailbox.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// Another gateway asks for units of a tenant's allotment.
    LoanAsked { call: u64, ask: Ask<'a> },
    /// The owner of a tenant answered [`Command::Borrow`]; `None` if it did not answer in time.
    Lent {
        borrowing: &'a Borrowing,
        loan: Option<Loan>,
    },
    /// `gateway` asks whether this one takes it for the owner of a tenant.
    OwnershipAsked {
        call: u64,
        tenant: &'a str,
        gateway: SocketAddr,
    },
    /// Another gateway answered [`Command::AskOwnership`]; `None` if it did not answer in time.
    OwnershipConfirmed {
        tenant: &'a str,
        confirmed: Option<bool>,
    },
}

/// What a gateway's host has to do for allotments.
#[derive(Clone, Debug)]
pub enum Command {
    /// Ask the owner of a tenant for units of its allotment, and feed [`Event::Lent`], also if the
    /// client has left meanwhile.
    Borrow { borrowing: Borrowing },
    /// Answer [`Event::LoanAsked`].
    Lend { call: u64, loan: Loan },
    /// Ask another gateway whether it takes this one for the owner of a tenant, and feed
    /// [`Event::OwnershipConfirmed`].
    AskOwnership { tenant: String, witness: SocketAddr },
    /// Answer [`Event::OwnershipAsked`].
    ConfirmOwnership { call: u64, confirmed: bool },
    /// Log that the request is refused, because the allotment of its tenant is used up.
    Rejected { call: u64, rejection: Rejection },
}

/// What a request takes from the allotment of its tenant.
#[derive(Clone, Debug)]
pub struct Charge {
    /// The tenant.
    pub tenant: Rc<Tenant>,
    /// The units that the request needs.
    pub needed: u64,
    /// The units that it has been charged. They count only until their leases end, and the request
    /// takes units again if it is sent later.
    pub taken: Vec<Lease>,
}

/// A request of this gateway to another one for units of a tenant's allotment.
#[derive(Clone, Debug)]
pub struct Borrowing {
    /// The request that needs the units.
    pub call: u64,
    /// The tenant.
    pub tenant: Rc<Tenant>,
    /// The gateway that is asked, by the address where it receives gossip.
    pub owner: SocketAddr,
    /// The units that the request needs.
    pub units: u64,
    /// The units that later requests are expected to need.
    pub extra: u64,
    /// When it is asked.
    pub asked_at: Instant,
}

/// Why a request was refused for the allotment of its tenant.
#[derive(Clone, Debug)]
pub struct Rejection {
    /// The tenant.
    pub tenant: Rc<Tenant>,
    /// The units that the request needs.
    pub needed: u64,
    /// The units in the local balance.
    pub balance: u64,
    /// The gateway that denied the rest; `None` if it is this one.
    pub owner: Option<SocketAddr>,
    /// The time since it was asked.
    pub age: Duration,
    /// How long the client should wait.
    pub retry_after: Duration,
}

/// The allotments of tenants at a gateway. A fleet without limited tenants has none.
#[derive(Debug)]
pub struct Allotments {
    /// The buckets of the tenants that other gateways and this one borrow from here.
    ledger: Ledger,
    /// The units that may be used here, by the name of the tenant.
    balances: HashMap<String, Balance>,
    /// When each may be dropped.
    balance_expiry: Expiry,
    /// The units that requests returned, with their tenants.
    returned: Vec<(Rc<Tenant>, Lease)>,
    /// What others answered about the tenants that this gateway owns while it does not reach an
    /// earlier gateway of their order, by the name of the tenant.
    ownerships: HashMap<String, Ownership>,
    /// When each may be dropped.
    ownership_expiry: Expiry,
    /// The gateways that this one heard from while it had no list of the others. A gateway without
    /// a disk may be sent the routing document before it has joined. They count only until there is
    /// a list, which says which of them still belong to the fleet.
    pub(super) heard: BTreeSet<SocketAddr>,
}

impl Command {
    /// The number of the mailbox that waits for the command; `None` if none does.
    #[must_use]
    pub fn addressee(&self) -> Option<u64> {
        match self {
            Self::Lend { call, .. }
            | Self::ConfirmOwnership { call, .. }
            | Self::Rejected { call, .. } => Some(*call),
            Self::Borrow { .. } | Self::AskOwnership { .. } => None,
        }
    }
}

impl Charge {
    /// The charge of a request before it is made; `None` if the tenant has no limit.
    #[must_use]
    pub fn open(caller: &Caller, usage: Option<u64>) -> Option<Self> {
        let tenant = caller.tenant();
        let tenant = tenant.filter(|tenant| tenant.allotment.is_limited())?;
        Some(Self {
            tenant: Rc::clone(tenant),
            needed: tenant.allotment.cost(usage),
            taken: Vec::new(),
        })
    }

    /// The units that have not been taken yet.
    fn missing(&self) -> u64 {
        let taken = self.taken.iter().map(|lease| lease.units);
        self.needed.saturating_sub(taken.sum())
    }

    /// Drops units whose lease has ended.
    fn expire(&mut self, now: Instant) {
        self.taken.retain(|lease| now < lease.until);
    }

    /// Why a request is refused if the allotment is used up.
    fn reason(&self) -> Reason {
        match self.tenant.allotment.unit {
            Unit::Requests => Reason::RateLimited,
            Unit::Tokens { .. } => Reason::TokensLimited,
        }
    }
}

impl Allotments {
    /// Opens the allotments of a gateway that has served no tenants yet.
    #[must_use]
    pub fn open(tolerance: Tolerance) -> Self {
        Self {
            ledger: Ledger::open(tolerance),
            balances: HashMap::new(),
            balance_expiry: Expiry::default(),
            returned: Vec::new(),
            ownerships: HashMap::new(),
            ownership_expiry: Expiry::default(),
            heard: BTreeSet::new(),
        }
    }

    /// Notes the time of an event.
    pub fn observe(&mut self, now: Instant) {
        self.ledger.observe(now);
    }

    /// Records that another gateway received a gossip message.
    pub fn reach(&mut self, now: Instant, gateway: SocketAddr) {
        self.ledger.reach(now, gateway);
    }

    /// When [`Allotments::observe`] is due.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        self.ledger.deadline()
    }

    /// Takes back the units of a request that has ended or waits, unless it may have run.
    pub fn release(&mut self, call: &mut Call) {
        let charge = call.charge.as_mut().filter(|_| !call.may_have_run);
        let Some(charge) = charge else {
            return;
        };
        for lease in charge.taken.drain(..) {
            self.returned.push((Rc::clone(&charge.tenant), lease));
        }
    }

    /// Returns to the balances what [`Allotments::release`] took back.
    pub fn refund(&mut self, now: Instant) {
        for (tenant, lease) in std::mem::take(&mut self.returned) {
            self.balance(now, &tenant.name).add(lease);
        }
    }

    /// Drops what is too old to count.
    pub fn expire(&mut self, now: Instant) {
        self.ledger.expire(now);
        while let Some(tenant) = self.balance_expiry.next(now) {
            let end = self.balances.get(&tenant).map(Balance::end);
            match end {
                Some(end) if now < end => self.balance_expiry.enter(end, &tenant),
                _ => drop(self.balances.remove(&tenant)),
            }
        }
        while let Some(tenant) = self.ownership_expiry.next(now) {
            let end = self.ownerships.get(&tenant).map(Ownership::end);
            match end {
                Some(end) if now < end => self.ownership_expiry.enter(end, &tenant),
                _ => drop(self.ownerships.remove(&tenant)),
            }
        }
    }

    fn balance(&mut self, now: Instant, tenant: &str) -> &mut Balance {
        let balance = self.balances.entry(tenant.to_owned());
        balance.or_insert_with(|| {
            let balance = Balance::open(now);
            self.balance_expiry.enter(balance.end(), tenant);
            balance
        })
    }
}

impl Gateway {
    /// Handles an event about allotments.
    pub(super) fn handle_allotment<S>(&mut self, now: Instant, event: Event<'_>, out: &mut S)
    where
        S: Sink<Command = super::Command>,
    {
        match event {
            Event::LoanAsked { call, ask } => self.lend(now, call, &ask, out),
            Event::Lent { borrowing, loan } => self.lent(now, borrowing, loan, out),
            Event::OwnershipAsked {
                call,
                tenant,
                gateway,
            } => self.confirm_ownership(now, call, tenant, gateway, out),
            Event::OwnershipConfirmed { tenant, confirmed } => {
                self.ownership_confirmed(now, tenant, confirmed);
            }
        }
    }
}
