//! The role that passes clients' requests through to services.
//!
//! * [`registrar`]: where endpoints announce themselves and operators publish;
//! * [`exchange`]: what gateways tell each other of endpoints;
//! * [`orders`]: what stewards are asked for;
//! * [`report`]: what is logged and counted of requests;
//! * [`health`]: whether the gateway takes clients' connections;
//! * [`crate::request::passthrough`]: one request of a client.

mod exchange;
mod health;
mod orders;
mod registrar;
mod report;

use std::cell::{Cell, OnceCell, RefCell};
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpStream;
use hyper::body::Incoming;
use hyper::{Request, Response};
use nutmegyoke_core::process as decision;
use nutmegyoke_core::process::control::replica::Roster;
use nutmegyoke_core::process::gateway::{Command, Event as Input, Setup};
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::registry::Row;
use nutmegyoke_core::process::{Clock, Member};
use nutmegyoke_core::version::routing::Limits;
use nutmegyoke_core::version::{Document, Routing};
use nutmegyoke_wire::connection::mesh_capnp::{gateway, steward};
use nutmegyoke_wire::process::{Settings, settings};
use prometheus::Registry;

use super::control::Seat;
use super::driver::Addressed;
use super::sampler::Sampler;
use super::{Control, Dialect, Driver, Event, Failure, Metrics};
use crate::connection::http::{self, Handler};
use crate::connection::listener::Serve;
use crate::connection::upstream::Upstreams;
use crate::connection::{Latch, Listener, Pool};
use crate::request::passthrough::{self, Outgoing};
use exchange::Exchange;
use health::Health;
use registrar::Registrar;

/// How long a stopping gateway still takes connections, so that the balancer,
/// which asks once a second and believes the second answer, has turned away.
const TURN_AWAY: Duration = Duration::from_millis(2500);

/// A running gateway.
pub struct Gateway<C: Clock + 'static, D: Dialect> {
    driver: Rc<Driver<decision::Gateway, C>>,
    control: Rc<Control<C>>,
    upstreams: Upstreams,
    gateways: Rc<Pool<gateway::Client>>,
    stewards: Rc<Pool<steward::Client>>,
    metrics: Metrics,
    sampler: RefCell<Sampler>,
    member: Member,
    exchange_port: u16,
    steward_port: u16,
    listeners: OnceCell<[Listener; 4]>,
    stopping: Cell<bool>,
    closing: Latch,
    dialect: PhantomData<D>,
}

impl Addressed for Command {
    fn addressee(&self) -> Option<u64> {
        match self {
            Self::Prepare { call, .. }
            | Self::Queued { call }
            | Self::Dispatch { call, .. }
            | Self::Refuse { call, .. }
            | Self::Cancel { call } => Some(*call),
            Self::Touch { .. }
            | Self::Gossip { .. }
            | Self::Place { .. }
            | Self::Record { .. }
            | Self::Retried { .. } => None,
        }
    }
}

impl<C: Clock + Clone + 'static, D: Dialect> Gateway<C, D> {
    /// Spawns a gateway on the current loop.
    ///
    /// # Errors
    ///
    /// An address can't be bound, or the journal can't be opened.
    pub async fn spawn(
        settings: &Settings,
        own: &settings::Gateway,
        clock: C,
        registry: &Registry,
    ) -> Result<Rc<Self>, Failure> {
        let member = super::member(settings, &clock, Role::Gateway);
        let seat = seat(settings, own);
        let control = Control::open(settings, &seat, clock.clone(), registry).await?;
        let machine = decision::Gateway::open(Setup {
            data_centre: settings.data_centre.clone(),
            heartbeat: own.heartbeat,
            retry_bound: own.retry_bound,
            seed: member.vm.run(),
        });
        let (driver, background) = Driver::spawn(machine, clock);
        let this = Rc::new(Self {
            driver,
            control,
            upstreams: Upstreams::default(),
            gateways: Rc::default(),
            stewards: Rc::default(),
            metrics: Metrics::open(registry, &member)?,
            sampler: RefCell::default(),
            member,
            exchange_port: own.exchange.port(),
            steward_port: own.steward_port,
            listeners: OnceCell::new(),
            stopping: Cell::new(false),
            closing: Latch::default(),
            dialect: PhantomData,
        });
        let exchange = Rc::new(Exchange(Rc::clone(&this)));
        let exchange = Listener::bind(own.exchange, "exchange", exchange).await?;
        let health = Rc::new(Health(Rc::clone(&this)));
        let health = Listener::bind(own.health, "health", health).await?;
        let registrar = Rc::new(Registrar(Rc::clone(&this)));
        let registrar = Listener::bind(own.registrar, "registrar", registrar).await?;
        let clients = Listener::bind(own.clients, "clients", Rc::clone(&this)).await?;
        super::log_start(&this.member, clients.address(), registrar.address());
        let _ = this.listeners.set([clients, health, registrar, exchange]);
        compio::runtime::spawn(exchange::run(Rc::clone(&this), background)).detach();
        compio::runtime::spawn(Rc::clone(&this).follow()).detach();
        Ok(this)
    }

    /// Takes in what the log brings: the routing and the other gateways.
    async fn follow(self: Rc<Self>) {
        let mut held: Option<Rc<Document>> = None;
        let mut leads = None;
        loop {
            let document = self.control.document();
            if let Some(document) = document.filter(|document| held.as_ref() != Some(document)) {
                self.adopt(&document);
                held = Some(document);
            }
            let own = self.member.address;
            let peers = self.control.peers();
            let others = peers.into_iter().filter(|&address| address != own);
            let others: Vec<SocketAddr> = others
                .map(|address| SocketAddr::new(address.ip(), self.exchange_port))
                .collect();
            self.driver.feed(Input::PeersListed { gateways: &others });
            let term = self.control.leading();
            if leads != term {
                leads = term;
                Event::Leads { term }.log();
            }
            let demand = &*self.control.demand();
            self.driver.feed(Input::LeadershipChanged { term, demand });
            self.control.changed().await;
        }
    }

    /// Puts a committed document in force.
    fn adopt(&self, document: &Document) {
        let number = document.number;
        match decode::<D>(&document.source) {
            Ok(routing) => {
                self.driver.feed(Input::Configured { routing: &routing });
                let gauge = i64::try_from(number).unwrap_or(i64::MAX);
                self.metrics.configuration.set(gauge);
                Event::Configured { number }.log();
            }
            // It was checked before it was published, by a process of another version.
            Err(why) => Event::Rejected { number, why: &why }.log(),
        }
    }

    /// Takes over what may change while the process runs: the contacts.
    pub fn reload(&self, settings: &Settings) {
        if let settings::RoleSettings::Gateway(own) = &settings.role_settings {
            let contacts = contacts(own, settings.listen.port());
            self.control.contact(&contacts);
        }
    }

    /// Stops taking connections, then waits until what is in flight has ended.
    pub async fn drain(&self) {
        self.stopping.set(true);
        self.control.resign().await;
        compio::time::sleep(TURN_AWAY).await;
        for listener in self.listeners.get().into_iter().flatten() {
            listener.close();
        }
        self.closing.open();
        super::drained(|| self.in_flight()).await;
    }
}

impl<C: Clock + 'static, D: Dialect> Gateway<C, D> {
    /// The state machine.
    pub fn driver(&self) -> &Rc<Driver<decision::Gateway, C>> {
        &self.driver
    }

    /// The replica of the log.
    pub fn control(&self) -> &Rc<Control<C>> {
        &self.control
    }

    /// The connections to endpoints.
    pub fn upstreams(&self) -> &Upstreams {
        &self.upstreams
    }

    /// Requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.driver.machine().in_flight()
    }

    /// The longest request body, in bytes.
    #[must_use]
    pub fn body_bytes(&self) -> usize {
        let machine = self.driver.machine();
        let limits = machine.routing().map(|routing| routing.limits().body_bytes);
        limits.unwrap_or_else(|| Limits::default().body_bytes)
    }

    /// Whether new connections of clients are welcome.
    #[must_use]
    pub fn ready(&self) -> bool {
        let machine = self.driver.machine();
        let served = machine.registry().rows().any(Row::takes_work);
        !self.stopping.get() && machine.routing().is_some() && served
    }
}

/// Decodes and checks a routing document; the error says what is wrong with it.
fn decode<D: Dialect>(source: &[u8]) -> Result<Rc<Routing>, String> {
    let draft = D::routing(source).map_err(|fault| fault.to_string())?;
    Routing::open(draft).map_err(|fault| fault.to_string())
}

/// The replica's part of the settings.
fn seat(settings: &Settings, own: &settings::Gateway) -> Seat {
    Seat {
        data: own.data.clone(),
        roster: Roster::Open {
            contacts: contacts(own, settings.listen.port()),
            bootstrap: own.bootstrap,
        },
        observer: !own.voter,
        election: own.election_timeout,
    }
}

/// Where the replicas of the gateways that the settings name are reached.
fn contacts(own: &settings::Gateway, port: u16) -> Vec<SocketAddr> {
    let contacts = own.contacts.iter();
    contacts.map(|&ip| SocketAddr::new(ip, port)).collect()
}

impl<C: Clock + 'static, D: Dialect> Serve for Gateway<C, D> {
    async fn serve(self: Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        http::serve(self, stream, peer).await;
    }
}

impl<C: Clock + 'static, D: Dialect> Handler for Gateway<C, D> {
    type Body = Outgoing<C, D>;

    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Outgoing<C, D>> {
        passthrough::forward(self, request).await
    }

    fn closing(&self) -> bool {
        self.stopping.get()
    }

    fn closed(&self) -> impl Future<Output = ()> {
        self.closing.opened()
    }
}
