//! The entry, which accepts callers' requests over HTTP.
//!
//! [`crate::request::caller`] answers a request: the state machine admits it under the plan
//! of its key and chooses an endpoint from the directory, and the request is submitted to the
//! agent of that endpoint. The configuration and the directory arrive in control's answers to
//! heartbeats. All state is in memory; control holds the claims on keyed requests.

use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use futures_channel::mpsc;
use futures_util::StreamExt;
use hyper::{Request, Response};
use nutmegyoke_core::process as decision;
use nutmegyoke_core::process::account::Side;
use nutmegyoke_core::process::endpoint::Target;
use nutmegyoke_core::process::entry::{Command, Event as Input};
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::update::{Known, Update};
use nutmegyoke_core::process::{Clock, Member};
use nutmegyoke_core::version::Configuration;
use nutmegyoke_wire::connection::link_capnp::agent;
use nutmegyoke_wire::process::Settings;
use nutmegyoke_wire::process::settings;
use prometheus::Registry;

use super::driver::Addressed;
use super::heartbeat::{Heartbeat, Subscriber};
use super::operators::{self, Operators};
use super::{Driver, Failure, Metrics};
use crate::connection::http::{self, Handler};
use crate::connection::listener::{Accepted, Serve};
use crate::connection::{Account, Latch, Listener, Pool, Upload};
use crate::request::{Body, Claimant, caller};

/// A running entry.
pub struct Entry<C: Clock + 'static> {
    driver: Rc<Driver<decision::Entry, C>>,
    pool: Rc<Pool<agent::Client>>,
    claimant: Rc<Claimant>,
    metrics: Metrics,
    max_body_bytes: usize,
    member: Member,
    heartbeat: OnceCell<Heartbeat>,
    listeners: OnceCell<[Listener; 2]>,
    /// Opened by [`Entry::drain`], to close the callers' connections.
    closing: Latch,
}

impl Addressed for Command {
    fn addressee(&self) -> Option<u64> {
        match self {
            Self::Claim { number, .. }
            | Self::FetchAnswer { number, .. }
            | Self::Dispatch { number, .. }
            | Self::Finish { number, .. } => Some(*number),
            Self::Conclude { .. }
            | Self::CountRetry { .. }
            | Self::CountWithheldRetry { .. }
            | Self::WakeHeartbeat => None,
        }
    }
}

impl<C: Clock + 'static> Entry<C> {
    /// Spawns an entry on the current event loop.
    ///
    /// # Errors
    ///
    /// An address can't be bound, or the metrics can't be registered.
    pub async fn spawn(
        settings: &Settings,
        role_settings: &settings::Entry,
        clock: C,
        registry: &Registry,
    ) -> Result<Rc<Self>, Failure>
    where
        C: Clone,
    {
        let member = super::member(settings, &clock, Role::Entry);
        let account = Account::spawn(settings, clock.clone(), registry, &member)?;
        let incarnation = member.vm.run_id();
        let machine = decision::Entry::open(incarnation, &settings.data_centre, incarnation);
        let (driver, background) = Driver::spawn(machine, clock);
        let entry = Rc::new(Self {
            driver,
            pool: Rc::default(),
            claimant: Claimant::open(&settings.control),
            metrics: Metrics::open(registry, &member)?,
            max_body_bytes: role_settings.body_bytes,
            member,
            heartbeat: OnceCell::new(),
            listeners: OnceCell::new(),
            closing: Latch::default(),
        });
        let callers = Listener::bind_in(
            &account,
            Side::Callers,
            role_settings.callers,
            "callers",
            Rc::clone(&entry),
        )
        .await?;
        let operators = Operators::open(&entry);
        let operators = Listener::bind_in(
            &account,
            Side::Peers,
            settings.operators,
            "operators",
            operators,
        )
        .await?;
        super::log_start(&entry.member, callers.address(), operators.address());
        let _ = entry.listeners.set([callers, operators]);
        let heartbeat = Heartbeat::spawn(Rc::clone(&entry), settings.control.clone());
        let _ = entry.heartbeat.set(heartbeat);
        compio::runtime::spawn(run_background(background, Rc::downgrade(&entry))).detach();
        Ok(entry)
    }

    /// The address that callers connect to; `None` until it is bound.
    #[must_use]
    pub fn callers(&self) -> Option<SocketAddr> {
        let [callers, _] = self.listeners.get()?;
        Some(callers.address())
    }

    /// Whether the entry is ready and its directory lists an endpoint for each of
    /// `targets`.
    #[must_use]
    pub fn serves(&self, targets: &[Target<'_>]) -> bool {
        let machine = self.driver.machine();
        let directory = machine.directory();
        machine.ready() && targets.iter().all(|&target| directory.serves(target))
    }

    /// The driver of the state machine.
    pub fn driver(&self) -> &Rc<Driver<decision::Entry, C>> {
        &self.driver
    }

    /// The connections to agents.
    pub fn pool(&self) -> &Rc<Pool<agent::Client>> {
        &self.pool
    }

    /// The client by which claims on keyed requests are requested from control and concluded.
    pub fn claimant(&self) -> &Rc<Claimant> {
        &self.claimant
    }

    /// The metrics of this role.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The maximum size of a request body, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.max_body_bytes
    }

    /// Sends the next heartbeat early.
    fn wake_heartbeat(&self) {
        if let Some(heartbeat) = self.heartbeat.get() {
            heartbeat.wake();
        }
    }

    /// The number of requests in flight, or of open connections of callers if there are
    /// more, plus the conclusions of claims that control has not acknowledged.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let callers = self.listeners.get().map(|[callers, _]| callers);
        let connections = callers.map_or(0, Listener::connections);
        let requests = self.driver.machine().in_flight().max(connections);
        requests + self.claimant.pending()
    }

    /// Stops accepting connections and requests, closes each connection after the
    /// answer in progress, and waits until nothing is in flight.
    pub async fn drain(&self) {
        self.driver.feed(Input::Stopping);
        if let Some([callers, _]) = self.listeners.get() {
            callers.close();
        }
        self.closing.open();
        super::wait_until_idle(|| self.in_flight()).await;
    }
}

/// Carries out the commands that are not addressed to a request.
async fn run_background<C: Clock + 'static>(
    mut background: mpsc::UnboundedReceiver<Command>,
    entry: Weak<Entry<C>>,
) {
    while let Some(command) = background.next().await {
        let Some(entry) = entry.upgrade() else {
            return;
        };
        match command {
            Command::CountRetry { reason } => entry.metrics.count_retry(reason),
            Command::CountWithheldRetry { reason } => entry.metrics.count_withheld_retry(reason),
            Command::WakeHeartbeat => entry.wake_heartbeat(),
            Command::Conclude {
                name,
                holder,
                verdict,
                vm,
            } => {
                let claimant = Rc::clone(&entry.claimant);
                let concluded = async move { claimant.conclude(&name, holder, verdict, &vm).await };
                compio::runtime::spawn(concluded).detach();
            }
            _ => {}
        }
    }
}

impl<C: Clock + 'static> Serve for Entry<C> {
    async fn serve(self: Rc<Self>, accepted: Accepted) {
        http::serve(self, accepted).await;
    }
}

impl<C: Clock + 'static> Handler for Entry<C> {
    type Body = Body;

    async fn handle(self: Rc<Self>, request: Request<Upload>) -> Response<Body> {
        caller::answer(&self, request).await
    }

    fn closing(&self) -> bool {
        !self.driver.machine().ready()
    }

    fn closed(&self) -> impl Future<Output = ()> {
        self.closing.opened()
    }
}

impl<C: Clock + 'static> Subscriber for Entry<C> {
    fn member(&self) -> Member {
        let mut member = self.member.clone();
        member.configuration = self.driver.machine().configuration().number();
        member
    }

    fn known(&self) -> Known {
        let machine = self.driver.machine();
        Known {
            configuration: machine.configuration().number(),
            directory: machine.directory().cursor(),
        }
    }

    fn configuration(&self) -> Rc<Configuration> {
        Rc::clone(self.driver.machine().configuration())
    }

    fn apply(&self, update: &Update) {
        self.driver.feed(Input::Updated { update });
        super::log_configuration(&self.metrics, update);
    }
}

impl<C: Clock + 'static> operators::Role for Entry<C> {
    fn metrics(&self) -> &Metrics {
        self.metrics.load.set(self.driver.machine().in_flight(), 0);
        &self.metrics
    }

    fn ready(&self) -> bool {
        self.driver.machine().ready()
    }

    async fn answer(self: Rc<Self>, _: Request<Upload>) -> Option<Response<Body>> {
        None
    }
}
