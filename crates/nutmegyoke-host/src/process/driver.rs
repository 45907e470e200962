//! Drives one state machine.
//!
//! [`Driver::feed`] lets the machine handle one event to completion and delivers
//! its commands: those for a waiting task go to that task's mailbox, all others to
//! the background queue. Feeding never waits, so the machine is never reentered.

use std::cell::{Ref, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures_channel::mpsc;
use futures_util::future::{Either, select};
use futures_util::{StreamExt, pin_mut};
use nutmegyoke_core::process::{Clock, Machine, Sink};

/// A command that may be addressed to a waiting task.
pub trait Addressed {
    /// The number of the task's mailbox, or `None` for the background queue.
    fn addressee(&self) -> Option<u64>;
}

/// A state machine with its clock, its timer and the mailboxes of waiting tasks.
#[derive(Debug)]
pub struct Driver<M: Machine, C> {
    machine: RefCell<M>,
    clock: C,
    dispatcher: RefCell<Dispatcher<M::Command>>,
    /// Makes the timer read the machine's deadline again, after a change of it.
    wake: RefCell<mpsc::Sender<()>>,
}

/// Delivers commands to mailboxes or the background queue.
#[derive(Debug)]
struct Dispatcher<T> {
    mailboxes: HashMap<u64, mpsc::UnboundedSender<T>>,
    background: mpsc::UnboundedSender<T>,
    /// The number of the newest mailbox.
    last_number: u64,
}

/// Receives the commands for one task; dropping it closes it.
pub struct Mailbox<M: Machine, C> {
    driver: Rc<Driver<M, C>>,
    number: u64,
    commands: mpsc::UnboundedReceiver<M::Command>,
}

impl<T: Addressed> Sink for Dispatcher<T> {
    type Command = T;

    fn push(&mut self, command: T) {
        let Some(number) = command.addressee() else {
            // A role drops the receiver at once if its machine sends no such commands;
            // otherwise the receiver lives as long as the process.
            let _ = self.background.unbounded_send(command);
            return;
        };
        // Commands for a task that has ended are dropped.
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
    /// Spawns the machine with its timer on the current event loop.
    ///
    /// Returns the driver and the receiver of the background queue.
    pub fn spawn(machine: M, clock: C) -> (Rc<Self>, mpsc::UnboundedReceiver<M::Command>) {
        let (background, queue) = mpsc::unbounded();
        let (wake, woken) = mpsc::channel(0);
        let driver = Rc::new(Self {
            machine: RefCell::new(machine),
            clock,
            dispatcher: RefCell::new(Dispatcher {
                mailboxes: HashMap::new(),
                background,
                last_number: 0,
            }),
            wake: RefCell::new(wake),
        });
        compio::runtime::spawn(Rc::clone(&driver).run_timer(woken)).detach();
        (driver, queue)
    }

    /// Feeds the machine one event and delivers the commands that result.
    pub fn feed(&self, event: M::Event<'_>) {
        let mut machine = self.machine.borrow_mut();
        let before = machine.deadline();
        let mut dispatcher = self.dispatcher.borrow_mut();
        machine.handle(self.clock.now(), event, &mut *dispatcher);
        if machine.deadline() != before {
            // If the channel is full, the timer is about to read the deadline anyway.
            let _ = self.wake.borrow_mut().try_send(());
        }
    }

    /// Opens a mailbox for one task, under a number that is unique for this driver.
    pub fn open(self: &Rc<Self>) -> Mailbox<M, C> {
        let (sender, commands) = mpsc::unbounded();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.last_number += 1;
        let number = dispatcher.last_number;
        dispatcher.mailboxes.insert(number, sender);
        Mailbox {
            driver: Rc::clone(self),
            number,
            commands,
        }
    }

    /// Borrows the machine, to read its state.
    pub fn machine(&self) -> Ref<'_, M> {
        self.machine.borrow()
    }

    /// The clock that the machine's time is read from.
    pub fn clock(&self) -> &C {
        &self.clock
    }

    /// Feeds a tick at each deadline of the machine.
    async fn run_timer(self: Rc<Self>, mut woken: mpsc::Receiver<()>) {
        loop {
            let deadline = self.machine.borrow().deadline();
            let Some(deadline) = deadline else {
                if woken.next().await.is_none() {
                    return;
                }
                continue;
            };
            // The deadline is a time of this clock, not of the runtime's.
            let delay = deadline.saturating_duration_since(self.clock.now());
            let timer = compio::time::sleep(delay);
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
    /// The number by which commands are addressed to this mailbox.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Polls for the next command.
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
        let mut dispatcher = self.driver.dispatcher.borrow_mut();
        dispatcher.mailboxes.remove(&self.number);
    }
}
