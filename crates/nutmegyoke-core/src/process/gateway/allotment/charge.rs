//! Charges the tenant of a request before its first attempt, and lends units of the tenants that
//! this gateway owns.
//!
//! A request takes its units from the local balance of its tenant. What is missing is borrowed
//! from the owner, the first gateway in the order of the tenant's name among those that gossip
//! reaches; if it does not answer, from the next one. Its units return to the balance if it ends
//! without having run, and when it begins to wait for an endpoint. A request that has no units when
//! it is sent, or units whose lease has ended, takes them again: otherwise the units that requests
//! took before a window could all run in it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use super::super::call::Stage;
use super::super::refusal::refuse_until;
use super::super::{Command, Gateway, Halt, Sink};
use super::{Borrowing, Command as Allotted, Rejection};
use crate::process::allotment::{Ask, Lease, Loan};
use crate::process::registry::Announcement;
use crate::request::Verdict;

impl Gateway {
    /// Charges the tenant of a request that was routed, and makes its first attempt.
    pub(in crate::process::gateway) fn charge<S>(&mut self, now: Instant, number: u64, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let call = self.calls.get_mut(&number);
        let Some(charge) = call.and_then(|call| call.charge.as_mut()) else {
            return self.attempt(now, number, out);
        };
        let balance = self.allotments.balance(now, &charge.tenant.name);
        balance.count(now, charge.needed);
        charge.taken = balance.take(now, charge.needed);
        if charge.missing() == 0 {
            return self.attempt(now, number, out);
        }
        self.borrow(now, number, None, out);
    }

    /// Returns the units of a request that begins to wait for an endpoint, so that others may use
    /// them until their lease ends.
    pub(in crate::process::gateway) fn return_charge(&mut self, number: u64) {
        if let Some(call) = self.calls.get_mut(&number) {
            self.allotments.release(call);
        }
    }

    /// Charges a request again that is to be sent to `endpoint`, if the units that it took may no
    /// longer be used. Returns whether it is charged; if it is not, it waits for units or has ended.
    /// One that may have run is not charged again.
    pub(in crate::process::gateway) fn renew_charge<S>(
        &mut self,
        now: Instant,
        number: u64,
        endpoint: &Rc<Announcement>,
        out: &mut S,
    ) -> bool
    where
        S: Sink<Command = Command>,
    {
        let call = self.calls.get_mut(&number);
        let call = call.filter(|call| !call.may_have_run);
        let Some(charge) = call.and_then(|call| call.charge.as_mut()) else {
            return true;
        };
        charge.expire(now);
        if charge.missing() > 0 {
            let balance = self.allotments.balance(now, &charge.tenant.name);
            charge.taken.extend(balance.take(now, charge.missing()));
        }
        if charge.missing() == 0 {
            return true;
        }
        self.borrow(now, number, Some(endpoint.id.clone()), out);
        false
    }

    /// Borrows what the request misses from the owner of its tenant. It is sent to `endpoint`
    /// then, if that is chosen already.
    fn borrow<S>(&mut self, now: Instant, number: u64, endpoint: Option<String>, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let Some(charge) = call.charge.clone() else {
            return;
        };
        call.stage = Stage::Charging { endpoint };
        let tenant = charge.tenant.as_ref();
        let Some(owner) = self.lender(now, &tenant.name) else {
            let ask = Ask {
                tenant: &tenant.name,
                allotment: tenant.allotment,
                units: charge.missing(),
                extra: 0,
                from: self.setup.address,
            };
            let loan = self.lend_units(now, &ask, out);
            return self.apply_loan(now, number, None, now, loan, out);
        };
        let balance = self.allotments.balance(now, &tenant.name);
        let extra = if balance.borrows_ahead {
            0
        } else {
            balance.expected_need(now)
        };
        balance.borrows_ahead |= extra > 0;
        let borrowing = Borrowing {
            call: number,
            owner,
            units: charge.missing(),
            extra,
            asked_at: now,
            tenant: charge.tenant,
        };
        out.push(Command::Allotment(Allotted::Borrow { borrowing }));
    }

    /// The gateway to borrow a tenant's units from; `None` if it is this one.
    fn lender(&mut self, now: Instant, tenant: &str) -> Option<SocketAddr> {
        if !self.gossip.is_empty() {
            return self.owner(now, tenant);
        }
        let mut heard = self.allotments.heard.iter().copied();
        heard.find(|&address| !self.is_suspended(now, address))
    }

    /// Lends units to another gateway.
    pub(super) fn lend<S>(&mut self, now: Instant, number: u64, ask: &Ask<'_>, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let loan = self.lend_units(now, ask, out);
        out.push(Command::Allotment(Allotted::Lend { call: number, loan }));
    }

    /// Applies the answer of the owner; `None` if it did not answer.
    pub(super) fn lent<S>(
        &mut self,
        now: Instant,
        borrowing: &Borrowing,
        loan: Option<Loan>,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let number = borrowing.call;
        let balance = self.allotments.balance(now, &borrowing.tenant.name);
        if borrowing.extra > 0 {
            balance.borrows_ahead = false;
        }
        let stage = self.calls.get(&number).map(|call| &call.stage);
        let endpoint = match stage {
            Some(Stage::Charging { endpoint }) => Some(endpoint.clone()),
            // The client has left, or the request has timed out.
            _ => None,
        };
        match (loan, endpoint) {
            (Some(loan), Some(_)) => {
                let owner = Some(borrowing.owner);
                self.apply_loan(now, number, owner, borrowing.asked_at, loan, out);
            }
            (Some(Loan::Granted { units }), None) => {
                balance.add(Lease::open(borrowing.asked_at, units));
            }
            (Some(Loan::Denied { .. }), None) => {}
            (None, endpoint) => {
                self.suspend_owner(now, borrowing.owner);
                if let Some(endpoint) = endpoint {
                    self.borrow(now, number, endpoint, out);
                }
            }
        }
    }

    /// Goes on with a request for which the `owner`, or this gateway if it is `None`, lent units
    /// or did not.
    fn apply_loan<S>(
        &mut self,
        now: Instant,
        number: u64,
        owner: Option<SocketAddr>,
        asked_at: Instant,
        loan: Loan,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let Some(charge) = call.charge.as_mut() else {
            return;
        };
        match loan {
            Loan::Granted { units } => {
                let missing = charge.missing();
                charge.taken.push(Lease::open(asked_at, missing));
                let surplus = Lease::open(asked_at, units.saturating_sub(missing));
                let balance = self.allotments.balance(now, &charge.tenant.name);
                balance.add(surplus);
                self.send_charged(now, number, out);
            }
            Loan::Denied { retry_after } => {
                let verdict = Verdict::not_run(charge.reason());
                let charge = charge.clone();
                self.leave_unsent(number);
                self.remove_call(number);
                self.allotments.refund(now);
                let balance = self.allotments.balance(now, &charge.tenant.name);
                let rejection = Rejection {
                    needed: charge.needed,
                    balance: balance.units(now),
                    tenant: charge.tenant,
                    owner,
                    age: now.saturating_duration_since(asked_at),
                    retry_after,
                };
                let call = number;
                out.push(Command::Allotment(Allotted::Rejected { call, rejection }));
                refuse_until(number, verdict, Halt::Untried, retry_after, out);
            }
        }
    }

    /// Goes on with a request that has its units: sends it to the endpoint that was chosen for it,
    /// if that still takes requests.
    fn send_charged<S>(&mut self, now: Instant, number: u64, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let call = self.calls.get(&number);
        let id = call.and_then(|call| call.endpoint());
        let row = id.and_then(|id| self.registry.row(id));
        let row = row.filter(|row| self.takes_requests(now, row));
        if let Some(endpoint) = row.map(|row| Rc::clone(&row.announcement)) {
            return self.dispatch(now, number, endpoint, out);
        }
        self.leave_unsent(number);
        self.attempt(now, number, out);
    }

    /// Ends the wait for units of a request, and frees its place at the endpoint that was chosen.
    fn leave_unsent(&mut self, number: u64) {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        if let Some(tracker) = call.endpoint().and_then(|id| self.trackers.get_mut(id)) {
            tracker.release(call.tokens);
        }
        call.stage = Stage::Idle;
    }

    /// Lends units of an allotment. What this gateway's document says of it goes before what the
    /// borrower knows.
    fn lend_units<S>(&mut self, now: Instant, ask: &Ask<'_>, out: &mut S) -> Loan
    where
        S: Sink<Command = Command>,
    {
        let routing = self.routing.as_ref();
        let known = routing.and_then(|routing| routing.tenant(ask.tenant));
        let known = known.filter(|tenant| tenant.allotment.is_limited());
        let ask = Ask {
            allotment: known.map_or(ask.allotment, |tenant| tenant.allotment),
            ..*ask
        };
        let standing = self.standing(now, ask.tenant, out);
        let listed = self.gossip.len().max(self.allotments.heard.len()) + 1;
        let random = self.rng.f64();
        let ledger = &mut self.allotments.ledger;
        ledger.lend(now, &ask, standing, listed, random)
    }
}
