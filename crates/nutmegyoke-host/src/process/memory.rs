//! Manages the accelerator memory of an agent's engines.
//!
//! The orders of control's leader arrive through [`super::Reporter`]. The state machine
//! decides which order or inspection to send to which engine, and [`super::engine`] sends it.
//! The state machine also holds the ledger of each engine's weights; after a restart of the
//! agent, it is filled again from the engine's inventory.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use futures_channel::mpsc;
use futures_util::StreamExt;
use nutmegyoke_core::process::agent::memory::{self, Command, Event as Input};
use nutmegyoke_core::process::endpoint::Target;
use nutmegyoke_core::process::order::{Fence, Order, Outcome};
use nutmegyoke_core::process::report::{Capacity, Report};
use nutmegyoke_core::process::{Clock, Endpoint};

use super::driver::Addressed;
use super::engine::Engine;
use super::{Driver, Event};

/// Receives notifications of changes on the engines.
pub trait Watcher {
    /// The weights that requests may use on `endpoint` have changed.
    fn changed(&self, endpoint: &Endpoint, address: SocketAddr);

    /// An order or an inspection has ended, which has to be reported to control.
    fn progressed(&self);
}

/// The accelerator memory of the engines of a VM.
pub struct Memory<C: Clock + 'static> {
    driver: Rc<Driver<memory::Memory, C>>,
    /// The incarnation of the agent.
    incarnation: u64,
    engines: RefCell<HashMap<String, Registration>>,
}

/// An engine as it announced itself, with the weights that requests may use.
#[derive(Clone, Debug)]
struct Registration {
    address: SocketAddr,
    endpoint: Endpoint,
}

impl Addressed for Command {
    fn addressee(&self) -> Option<u64> {
        None
    }
}

impl<C: Clock + 'static> Memory<C> {
    /// Spawns the state machine; `incarnation` is that of the agent.
    pub fn spawn<E, W>(engine: E, clock: C, incarnation: u64, watcher: Weak<W>) -> Rc<Self>
    where
        E: Engine + 'static,
        W: Watcher + 'static,
    {
        let (driver, commands) = Driver::spawn(memory::Memory::default(), clock);
        let this = Rc::new(Self {
            driver,
            incarnation,
            engines: RefCell::default(),
        });
        let task = Rc::clone(&this).run(Rc::new(engine), commands, watcher);
        compio::runtime::spawn(task).detach();
        this
    }

    /// Applies an announcement and returns the endpoint with the weights that requests
    /// may use.
    pub fn announce(
        &self,
        endpoint: &Endpoint,
        address: SocketAddr,
        capacity: Option<&Capacity>,
    ) -> Endpoint {
        let mut endpoint = endpoint.clone();
        let Some(capacity) = capacity else {
            return endpoint;
        };
        self.driver.feed(Input::Announced {
            endpoint: &endpoint.name,
            capacity,
            agent_incarnation: self.incarnation,
        });
        if let Some(holding) = self.driver.machine().holding(&endpoint.name) {
            endpoint.holding = holding;
        }
        let name = endpoint.name.clone();
        let registration = Registration {
            address,
            endpoint: endpoint.clone(),
        };
        self.engines.borrow_mut().insert(name, registration);
        endpoint
    }

    /// Keeps the weights that a request uses loaded until [`Memory::end`].
    pub fn begin(&self, call: u64, endpoint: &str, target: Target<'_>) {
        self.driver.feed(Input::Submitted {
            call,
            endpoint,
            target,
        });
    }

    /// Records the end of a request.
    pub fn end(&self, call: u64) {
        self.driver.feed(Input::Ended { call });
    }

    /// The reports to control, one per engine.
    #[must_use]
    pub fn reports(&self) -> Vec<Report> {
        self.driver.machine().reports()
    }

    /// Applies the leader's orders, all of which are newer than the fencing token `fence`;
    /// the leader's earlier orders are older than it.
    pub fn order<W: Watcher>(&self, fence: Fence, orders: &[Order], watcher: &W) {
        self.driver.feed(Input::Ordered { fence, orders });
        self.notify(watcher);
    }

    /// Carries out the commands of the state machine, each in a task of its own.
    async fn run<E, W>(
        self: Rc<Self>,
        engine: Rc<E>,
        mut commands: mpsc::UnboundedReceiver<Command>,
        watcher: Weak<W>,
    ) where
        E: Engine + 'static,
        W: Watcher + 'static,
    {
        while let Some(command) = commands.next().await {
            let task = Rc::clone(&self).execute(Rc::clone(&engine), command, watcher.clone());
            compio::runtime::spawn(task).detach();
        }
    }

    async fn execute<E, W>(self: Rc<Self>, engine: Rc<E>, command: Command, watcher: Weak<W>)
    where
        E: Engine,
        W: Watcher,
    {
        match command {
            Command::Send {
                order,
                stamp,
                incarnation,
            } => {
                let outcome = match self.address(&order.endpoint) {
                    Some(address) => {
                        let sent = engine.order(address, &order, stamp, incarnation).await;
                        log_order(&order, &sent);
                        sent.map_or(Outcome::Lost, |()| Outcome::Done)
                    }
                    None => Outcome::Lost,
                };
                self.driver.feed(Input::Concluded {
                    order: &order,
                    stamp,
                    outcome,
                });
            }
            Command::Inspect { endpoint, stamp } => {
                let inventory = match self.address(&endpoint) {
                    Some(address) => engine.inventory(address, stamp).await.ok(),
                    None => None,
                };
                self.driver.feed(Input::Inspected {
                    endpoint: &endpoint,
                    inventory: inventory.as_ref(),
                });
            }
        }
        if let Some(watcher) = watcher.upgrade() {
            self.notify(&*watcher);
            watcher.progressed();
        }
    }

    fn address(&self, endpoint: &str) -> Option<SocketAddr> {
        let engines = self.engines.borrow();
        engines.get(endpoint).map(|engine| engine.address)
    }

    /// Notifies the watcher of every engine on which requests may use other weights
    /// than before.
    fn notify<W: Watcher>(&self, watcher: &W) {
        let mut changed = Vec::new();
        for engine in self.engines.borrow_mut().values_mut() {
            let holding = self.driver.machine().holding(&engine.endpoint.name);
            if let Some(holding) = holding.filter(|holding| *holding != engine.endpoint.holding) {
                engine.endpoint.holding = holding;
                changed.push(engine.clone());
            }
        }
        for Registration { address, endpoint } in changed {
            watcher.changed(&endpoint, address);
        }
    }
}

/// Logs whether an engine confirmed an order.
fn log_order<F: std::fmt::Display>(order: &Order, sent: &Result<(), F>) {
    match sent {
        Ok(()) => Event::OrderDone { order }.log(),
        Err(failure) => {
            let why = failure.to_string();
            Event::OrderLost { order, why: &why }.log();
        }
    }
}
