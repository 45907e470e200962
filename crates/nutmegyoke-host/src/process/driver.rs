//! Drives one state machine.
//!
//! [`Driver::feed`] runs the machine to completion on one event and sorts the
//! commands: those for a waiting task go to that task's mailbox, the others to
//! the background queue. Feeding never waits, so a machine is never entered
//! twice at a time.

use std::cell::{Ref, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures_channel::mpsc;
use futures_util::future::{Either, select};
use futures_util::{StreamExt, pin_mut};
use nutmegyoke_core::process::{Clock, Machine, Sink};

/// Names the task that a command is for.
pub trait Addressed {
    /// The number of the waiting task, or `None` for the background queue.
    fn addressee(&self) -> Option<u64>;
}

/// A state machine with its clock and its waiting tasks.
#[derive(Debug)]
pub struct Driver<M: Machine, C> {
    machine: RefCell<M>,
    clock: C,
    outlet: RefCell<Outlet<M::Command>>,
    wake: RefCell<mpsc::Sender<()>>,
}

/// Where the commands go.
#[derive(Debug)]
struct Outlet<T> {
    mailboxes: HashMap<u64, mpsc::UnboundedSender<T>>,
    background: mpsc::UnboundedSender<T>,
    next: u64,
}

/// The commands for one task; closing it is implied by dropping it.
pub struct Mailbox<M: Machine, C> {
    driver: Rc<Driver<M, C>>,
    number: u64,
    commands: mpsc::UnboundedReceiver<M::Command>,
}

impl<T: Addressed> Sink for Outlet<T> {
    type Command = T;

    fn push(&mut self, command: T) {
        let Some(number) = command.addressee() else {
            // The receiver lives as long as the process.
            let _ = self.background.unbounded_send(command);
            return;
        };
        // A task that left no longer cares for its commands.
        if let Some(mailbox) = self.mailboxes.get(&number) {
            let _ = mailbox.unbounded_send(command);
        }
    }
}

impl<M, C> Driver<M, C>
where
    M: Machine + 'static,
    M::Command: Addressed,
    C: Clock + 'static,
{
    /// Spawns the machine with its timer on the current loop.
    ///
    /// Returns the driver and the background queue.
    pub fn spawn(machine: M, clock: C) -> (Rc<Self>, mpsc::UnboundedReceiver<M::Command>) {
        let (background, queue) = mpsc::unbounded();
        let (wake, woken) = mpsc::channel(0);
        let driver = Rc::new(Self {
            machine: RefCell::new(machine),
            clock,
            outlet: RefCell::new(Outlet {
                mailboxes: HashMap::new(),
                background,
                next: 0,
            }),
            wake: RefCell::new(wake),
        });
        compio::runtime::spawn(Rc::clone(&driver).keep_time(woken)).detach();
        (driver, queue)
    }

    /// Feeds one event and delivers the commands that follow.
    pub fn feed(&self, event: M::Event<'_>) {
        let mut machine = self.machine.borrow_mut();
        let before = machine.deadline();
        let mut outlet = self.outlet.borrow_mut();
        machine.handle(self.clock.now(), event, &mut *outlet);
        if machine.deadline() != before {
            // A full channel means that the timer is about to look anyway.
            let _ = self.wake.borrow_mut().try_send(());
        }
    }

    /// Opens a mailbox for one task, under a number that is unique in this run.
    pub fn open(self: &Rc<Self>) -> Mailbox<M, C> {
        let (sender, commands) = mpsc::unbounded();
        let mut outlet = self.outlet.borrow_mut();
        outlet.next += 1;
        let number = outlet.next;
        outlet.mailboxes.insert(number, sender);
        Mailbox {
            driver: Rc::clone(self),
            number,
            commands,
        }
    }

    /// Looks at the machine's state.
    pub fn machine(&self) -> Ref<'_, M> {
        self.machine.borrow()
    }

    /// The clock that the machine is told the time of.
    pub fn clock(&self) -> &C {
        &self.clock
    }

    async fn keep_time(self: Rc<Self>, mut woken: mpsc::Receiver<()>) {
        loop {
            let deadline = self.machine.borrow().deadline();
            let Some(deadline) = deadline else {
                if woken.next().await.is_none() {
                    return;
                }
                continue;
            };
            let timer = compio::time::sleep_until(deadline);
            pin_mut!(timer);
            match select(woken.next(), timer).await {
                Either::Left((None, _)) => return,
                Either::Left((Some(()), _)) => {}
                Either::Right(_) => self.feed(M::tick()),
            }
        }
    }
}

impl<M: Machine, C> Mailbox<M, C> {
    /// The number of the task.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Looks for a command without waiting.
    pub fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<M::Command>> {
        self.commands.poll_next_unpin(context)
    }

    /// Waits for the next command.
    pub async fn next(&mut self) -> Option<M::Command> {
        self.commands.next().await
    }
}

impl<M: Machine, C> Drop for Mailbox<M, C> {
    fn drop(&mut self) {
        let mut outlet = self.driver.outlet.borrow_mut();
        outlet.mailboxes.remove(&self.number);
    }
}
