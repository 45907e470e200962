//! Carries out what the memory's machine of an agent decides.

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

/// Is told when requests may use something else on an engine than before.
pub trait Watcher {
    /// What `endpoint` holds has changed.
    fn changed(&self, endpoint: &Endpoint, address: SocketAddr);

    /// An order or an inspection ended: control wants to know.
    fn progressed(&self);
}

/// The memory of the engines of a VM.
pub struct Memory<C: Clock + 'static> {
    driver: Rc<Driver<memory::Memory, C>>,
    run: u64,
    engines: RefCell<HashMap<String, Known>>,
}

/// An engine as it announced itself, with what requests may use.
#[derive(Clone, Debug)]
struct Known {
    address: SocketAddr,
    endpoint: Endpoint,
}

impl Addressed for Command {
    fn addressee(&self) -> Option<u64> {
        None
    }
}

impl<C: Clock + 'static> Memory<C> {
    /// Spawns the machine; `run` is the incarnation of the agent.
    pub fn spawn<E, W>(engine: E, clock: C, run: u64, watcher: Weak<W>) -> Rc<Self>
    where
        E: Engine + 'static,
        W: Watcher + 'static,
    {
        let (driver, commands) = Driver::spawn(memory::Memory::default(), clock);
        let this = Rc::new(Self {
            driver,
            run,
            engines: RefCell::default(),
        });
        let task = Rc::clone(&this).work(Rc::new(engine), commands, watcher);
        compio::runtime::spawn(task).detach();
        this
    }

    /// Takes an announcement in and returns the endpoint with what requests may use.
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
        self.driver.feed(Input::Attached {
            endpoint: &endpoint.name,
            capacity,
            agent_incarnation: self.run,
        });
        if let Some(holding) = self.driver.machine().holding(&endpoint.name) {
            endpoint.holding = holding;
        }
        let name = endpoint.name.clone();
        let known = Known {
            address,
            endpoint: endpoint.clone(),
        };
        self.engines.borrow_mut().insert(name, known);
        endpoint
    }

    /// Keeps what a request uses until [`Memory::end`].
    pub fn begin(&self, call: u64, endpoint: &str, target: Target<'_>) {
        self.driver.feed(Input::Submitted {
            call,
            endpoint,
            target,
        });
    }

    /// Notes the end of a request.
    pub fn end(&self, call: u64) {
        self.driver.feed(Input::Ended { call });
    }

    /// What control learns of every engine.
    #[must_use]
    pub fn reports(&self) -> Vec<Report> {
        self.driver.machine().reports()
    }

    /// Takes the leader's orders in.
    pub fn order<W: Watcher>(&self, fence: Fence, orders: &[Order], watcher: &W) {
        self.driver.feed(Input::Ordered { fence, orders });
        self.refresh(watcher);
    }

    async fn work<E, W>(
        self: Rc<Self>,
        engine: Rc<E>,
        mut commands: mpsc::UnboundedReceiver<Command>,
        watcher: Weak<W>,
    ) where
        E: Engine + 'static,
        W: Watcher + 'static,
    {
        while let Some(command) = commands.next().await {
            let task = Rc::clone(&self).carry(Rc::clone(&engine), command, watcher.clone());
            compio::runtime::spawn(task).detach();
        }
    }

    async fn carry<E, W>(self: Rc<Self>, engine: Rc<E>, command: Command, watcher: Weak<W>)
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
                        log(&order, &sent);
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
            self.refresh(&*watcher);
            watcher.progressed();
        }
    }

    fn address(&self, endpoint: &str) -> Option<SocketAddr> {
        let engines = self.engines.borrow();
        engines.get(endpoint).map(|known| known.address)
    }

    /// Tells the watcher of the engines on which requests may use something else now.
    fn refresh<W: Watcher>(&self, watcher: &W) {
        let mut changed = Vec::new();
        for known in self.engines.borrow_mut().values_mut() {
            let holding = self.driver.machine().holding(&known.endpoint.name);
            if let Some(holding) = holding.filter(|holding| *holding != known.endpoint.holding) {
                known.endpoint.holding = holding;
                changed.push(known.clone());
            }
        }
        for Known { address, endpoint } in changed {
            watcher.changed(&endpoint, address);
        }
    }
}

fn log<F: std::fmt::Display>(order: &Order, sent: &Result<(), F>) {
    match sent {
        Ok(()) => Event::OrderDone { order }.log(),
        Err(failure) => {
            let why = failure.to_string();
            Event::OrderLost { order, why: &why }.log();
        }
    }
}
