//! The account of a process and what each connection holds in it.
//!
//! The decisions are those of [`decision::Account`]. A connection that has to give up its room is
//! told by its [`Reservation`], which wakes its task.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use futures_util::future::poll_fn;
use nutmegyoke_core::process::account::{
    self as decision, Capacity, Cause, Eviction, Id, Phase, SWEEP_PERIOD, Side, Timeouts,
};
use nutmegyoke_core::process::{Clock, Member};
use nutmegyoke_wire::process::Settings;
use prometheus::Registry;
use strum::IntoEnumIterator;

use crate::process::{Event, Failure, Occupancy};

/// The shortest time between two log lines on the same cause.
const LINE_PERIOD: Duration = Duration::from_secs(10);

/// The account of a process, shared by its listeners.
#[derive(Clone, Debug)]
pub struct Account(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    machine: RefCell<decision::Account>,
    /// How to reach the connections, by their ids.
    signals: RefCell<Vec<Weak<Signal>>>,
    /// The evictions since the last line, by cause.
    counts: RefCell<Vec<(Cause, u64)>>,
    occupancy: Option<Occupancy>,
}

/// What a connection holds, until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    account: Account,
    id: Id,
    signal: Rc<Signal>,
    /// The bytes that its request holds.
    request_bytes: Cell<usize>,
    /// The bytes of answers that are not written yet.
    answer_bytes: Cell<usize>,
    blocked: Cell<bool>,
}

/// Tells the task of a connection that it has to give up its room.
#[derive(Debug, Default)]
struct Signal {
    cause: Cell<Option<Cause>>,
    /// Whether a request whose body is being read can be answered.
    answers: Cell<bool>,
    /// Whether the request in progress is answered before the connection is closed.
    answers_first: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Account {
    /// Opens the account of a process and sweeps it on the current event loop.
    ///
    /// # Errors
    ///
    /// The metrics are already registered.
    pub fn spawn(
        settings: &Settings,
        clock: impl Clock + 'static,
        registry: &Registry,
        member: &Member,
    ) -> Result<Self, Failure> {
        let occupancy = Occupancy::open(registry, member)?;
        let capacity = Capacity::of_machine(settings.memory, settings.descriptors);
        let account = Self::open(clock.now(), capacity, Some(occupancy));
        compio::runtime::spawn(sweep(Rc::downgrade(&account.0), clock)).detach();
        Ok(account)
    }

    /// Opens an account with the default bounds and without sweeps, for a listener that only
    /// trusted processes connect to.
    #[must_use]
    pub fn open_default(now: Instant) -> Self {
        Self::open(now, Capacity::of_machine(None, None), None)
    }

    fn open(now: Instant, capacity: Capacity, occupancy: Option<Occupancy>) -> Self {
        Self(Rc::new(Shared {
            machine: RefCell::new(decision::Account::open(now, capacity)),
            signals: RefCell::default(),
            counts: RefCell::new(Cause::iter().map(|cause| (cause, 0)).collect()),
            occupancy,
        }))
    }

    /// Adds a listener and returns its number.
    #[must_use]
    pub fn listen(&self) -> usize {
        self.0.machine.borrow_mut().listen()
    }

    /// Adds a connection that was accepted, and tells whether others are closed for it; `None` if
    /// there is no room for it.
    #[must_use]
    pub fn admit(&self, listener: usize, side: Side) -> Option<(Rc<Reservation>, bool)> {
        // Until the handler sets its own.
        let timeouts = crate::connection::http::Limits::default().timeouts;
        let admitted = self.0.machine.borrow_mut().admit(listener, side, timeouts);
        let Ok((id, evictions)) = admitted else {
            self.0.count(Cause::ConnectionsFull);
            return None;
        };
        let signal = Rc::new(Signal::default());
        let mut signals = self.0.signals.borrow_mut();
        if signals.len() <= id.0 {
            signals.resize(id.0 + 1, Weak::new());
        }
        signals[id.0] = Rc::downgrade(&signal);
        drop(signals);
        self.0.close(&evictions);
        let reservation = Rc::new(Reservation {
            account: self.clone(),
            id,
            signal,
            request_bytes: Cell::new(0),
            answer_bytes: Cell::new(0),
            blocked: Cell::new(false),
        });
        Some((reservation, !evictions.is_empty()))
    }

    /// Closes the longest idle connection, because accepting one of `side` failed.
    pub fn evict_idle(&self, side: Side) {
        let eviction = self.0.machine.borrow_mut().evict_idle(side);
        self.0.close(eviction.as_slice());
    }
}

impl Shared {
    /// Counts evictions and tells the connections.
    fn close(&self, evictions: &[Eviction]) {
        for &Eviction { id, cause } in evictions {
            self.count(cause);
            let signal = self.signals.borrow()[id.0].upgrade();
            let phase = self.machine.borrow().phase(id);
            if let Some(signal) = signal {
                // A refusal that the client doesn't read is given up at the second time.
                let first = signal.cause.replace(Some(cause)).is_none();
                let answers = signal.answers.get() && phase == Some(Phase::Body);
                signal.answers_first.set(first && answers);
                if let Some(waker) = signal.waker.take() {
                    waker.wake();
                }
            }
        }
    }

    fn count(&self, cause: Cause) {
        if let Some(occupancy) = &self.occupancy {
            occupancy.count(cause);
        }
        let mut counts = self.counts.borrow_mut();
        if let Some((_, count)) = counts.iter_mut().find(|(of, _)| *of == cause) {
            *count += 1;
        }
    }
}

/// Sweeps the account until it is dropped, and logs what was closed.
async fn sweep(account: Weak<Shared>, clock: impl Clock) {
    let mut logged_at = None;
    loop {
        compio::time::sleep(SWEEP_PERIOD).await;
        let Some(account) = account.upgrade() else {
            return;
        };
        let now = clock.now();
        let evictions = account.machine.borrow_mut().sweep(now);
        account.close(&evictions);
        let (held, open) = {
            let machine = account.machine.borrow();
            (machine.held(), machine.open_connections())
        };
        if let Some(occupancy) = &account.occupancy {
            occupancy.set(held, open);
        }
        if logged_at.is_some_and(|at| now.saturating_duration_since(at) < LINE_PERIOD) {
            continue;
        }
        for (cause, count) in account.counts.borrow_mut().iter_mut() {
            let count = std::mem::take(count);
            // Clients close and reopen idle connections in normal operation.
            if count > 0 && *cause != Cause::Idle {
                logged_at = Some(now);
                Event::ConnectionsEvicted {
                    cause: *cause,
                    count,
                    held,
                    open,
                }
                .log();
            }
        }
    }
}

impl Reservation {
    /// Resolves when the connection has to be closed.
    pub fn closed(&self) -> impl Future<Output = Cause> + use<'_> {
        poll_fn(|context| {
            self.signal.waker.replace(Some(context.waker().clone()));
            match self.signal.cause.get() {
                Some(cause) if !self.signal.answers_first.get() => Poll::Ready(cause),
                _ => Poll::Pending,
            }
        })
    }

    /// Has a request whose body is being read answered before the connection is closed.
    pub fn answer_before_close(&self) {
        self.signal.answers.set(true);
    }

    /// Why the connection is to be closed; `None` if it isn't.
    #[must_use]
    pub fn cause(&self) -> Option<Cause> {
        self.signal.cause.get()
    }

    /// Takes `bytes` more for the request.
    ///
    /// # Errors
    ///
    /// There is no room, or the connection has to give up its own.
    pub fn hold(&self, bytes: usize) -> Result<(), Cause> {
        if let Some(cause) = self.cause() {
            return Err(cause);
        }
        let held = self.account.0.machine.borrow_mut().hold(self.id, bytes);
        let Ok(evictions) = held else {
            self.account.0.count(Cause::MemoryFull);
            return Err(Cause::MemoryFull);
        };
        self.account.0.close(&evictions);
        self.request_bytes.set(self.request_bytes.get() + bytes);
        Ok(())
    }

    /// Returns `bytes` of the request.
    pub fn release(&self, bytes: usize) {
        let bytes = bytes.min(self.request_bytes.get());
        self.request_bytes.set(self.request_bytes.get() - bytes);
        self.account.0.machine.borrow_mut().release(self.id, bytes);
    }

    /// Waits until there is room for `bytes` more of the request's answer, and takes them.
    pub async fn hold_when_free(&self, bytes: usize) {
        while self.cause().is_none() {
            let held = self
                .account
                .0
                .machine
                .borrow_mut()
                .hold_answer(self.id, bytes);
            if let Ok(evictions) = held {
                self.account.0.close(&evictions);
                self.request_bytes.set(self.request_bytes.get() + bytes);
                return;
            }
            compio::time::sleep(SWEEP_PERIOD).await;
        }
    }

    /// Begins another phase of the request.
    pub fn enter(&self, phase: Phase) {
        self.account.0.machine.borrow_mut().enter(self.id, phase);
    }

    /// Ends the request and returns what it held.
    pub fn end_request(&self, timeouts: Timeouts) {
        let mut machine = self.account.0.machine.borrow_mut();
        machine.release(self.id, self.request_bytes.take());
        machine.set_timeouts(self.id, timeouts);
        machine.enter(self.id, Phase::Idle);
    }

    /// Sets how long the client may take.
    pub fn set_timeouts(&self, timeouts: Timeouts) {
        self.account
            .0
            .machine
            .borrow_mut()
            .set_timeouts(self.id, timeouts);
    }

    /// Counts a connection that is closed because its head was too long.
    pub fn count(&self, cause: Cause) {
        self.account.0.count(cause);
    }

    /// Counts bytes received from the client.
    pub fn receive(&self, bytes: usize) {
        self.account.0.machine.borrow_mut().receive(self.id, bytes);
    }

    /// Takes the bytes of an answer that is to be written.
    pub fn queue(&self, bytes: usize) {
        self.answer_bytes.set(self.answer_bytes.get() + bytes);
        self.account.0.machine.borrow_mut().take(self.id, bytes);
    }

    /// Returns bytes of an answer that were written.
    pub fn written(&self, bytes: usize) {
        let mut machine = self.account.0.machine.borrow_mut();
        machine.advance(self.id, bytes);
        let answered = bytes.min(self.answer_bytes.get());
        self.answer_bytes.set(self.answer_bytes.get() - answered);
        machine.release(self.id, answered);
    }

    /// Sets whether bytes wait for the client to read.
    pub fn block(&self, blocked: bool) {
        if self.blocked.replace(blocked) != blocked {
            self.account.0.machine.borrow_mut().block(self.id, blocked);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.account.0.machine.borrow_mut().close(self.id);
    }
}
