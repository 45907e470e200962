//! The gateway role, which passes clients' requests through to the endpoints of services.
//!
//! A state machine, [`decision::Gateway`], chooses the endpoint of each request. It holds the
//! requests in flight and the known endpoints in memory; the endpoints come from heartbeats
//! and from the gossip of other gateways. Routing documents, the membership of the gateways
//! and the demand for models are in the replicated log, of which each gateway has a replica
//! ([`Control`]).
//!
//! * [`registrar`]: endpoints' heartbeats and operators' routing documents;
//! * [`allotment`]: lending and borrowing units of tenants' allotments;
//! * [`gossip`]: gossip between gateways about endpoints;
//! * [`probe`]: connects to endpoints that may have crashed;
//! * [`stewards`]: calls to the stewards of engines;
//! * [`telemetry`]: logs and metrics of requests;
//! * [`health`]: the health check of a load balancer;
//! * [`crate::request::passthrough`]: one request of a client.

mod allotment;
mod gossip;
mod health;
mod origins;
mod probe;
mod registrar;
mod stewards;
mod telemetry;

use std::cell::{Cell, OnceCell, RefCell};
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::pin_mut;
use hyper::{Request, Response};
use nutmegyoke_core::process as decision;
use nutmegyoke_core::process::account::{Side, Timeouts};
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

use super::control::{LEAVE_TIMEOUT, Options};
use super::driver::Addressed;
use super::sampler::Sampler;
use super::{Codec, Control, Driver, Event, Failure, Metrics};
use crate::connection::http::{self, Handler};
use crate::connection::listener::{Accepted, Serve};
use crate::connection::upstream::Upstreams;
use crate::connection::{Account, Latch, Listener, Pool, Tally, Upload};
use crate::request::passthrough::{self, Outgoing};
use gossip::Service;
use health::Health;
use registrar::Registrar;

/// How long a stopping gateway still accepts connections. The load balancer checks health
/// once a second and stops sending connections after the second failed check.
const BALANCER_DRAIN_DELAY: Duration = Duration::from_millis(2500);

/// How long before the drain limit the requests without an answer are refused. It is enough
/// for the refusals to be sent.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// How long a call waits for this replica to catch up with the leader.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(600);

/// How often it checks whether the replica has caught up.
const CATCH_UP_POLL_PERIOD: Duration = Duration::from_millis(20);

/// A running gateway.
pub struct Gateway<C: Clock + 'static, D: Codec> {
    driver: Rc<Driver<decision::Gateway, C>>,
    control: Rc<Control<C>>,
    upstreams: Upstreams,
    gateways: Rc<Pool<gateway::Client>>,
    stewards: Rc<Pool<steward::Client>>,
    metrics: Metrics,
    sampler: RefCell<Sampler>,
    /// The routing document in force.
    document: RefCell<Option<Rc<Document>>>,
    member: Member,
    gossip_port: u16,
    steward_port: u16,
    listeners: OnceCell<[Listener; 4]>,
    /// Whether a routing document is being fetched.
    fetching: Cell<bool>,
    stopping: Cell<bool>,
    closing: Latch,
    /// The connections of clients, and to the registrar, on which a request has come.
    used_connections: Tally,
    codec: PhantomData<D>,
}

impl Addressed for Command {
    fn addressee(&self) -> Option<u64> {
        match self {
            Self::Prepare { call, .. }
            | Self::Queued { call }
            | Self::Dispatch { call, .. }
            | Self::Withheld { call, .. }
            | Self::AskAdmission { call, .. }
            | Self::Declined { call, .. }
            | Self::RefusedEarly { call, .. }
            | Self::Admit { call, .. }
            | Self::Permit { call, .. }
            | Self::Throttled { call, .. }
            | Self::Refuse { call, .. }
            | Self::Cancel { call } => Some(*call),
            Self::Allotment(command) => command.addressee(),
            Self::Resumption(command) => command.addressee(),
            Self::Touch { .. }
            | Self::Gossip { .. }
            | Self::Place { .. }
            | Self::Fetch { .. }
            | Self::Confirm
            | Self::Probe { .. }
            | Self::ReportCrash { .. }
            | Self::ReportCulprit { .. }
            | Self::ReportEjection { .. }
            | Self::ReportLimit { .. }
            | Self::ReportMalformedLimit { .. }
            | Self::ReportDeparture { .. }
            | Self::ReportPause { .. }
            | Self::ReportMalformedSignal { .. }
            | Self::Record { .. }
            | Self::RenewLease { .. }
            | Self::ReportOutdated { .. }
            | Self::CountRetry { .. } => None,
        }
    }
}

impl<C: Clock + Clone + 'static, D: Codec> Gateway<C, D> {
    /// Spawns a gateway on the current event loop.
    ///
    /// # Errors
    ///
    /// An address can't be bound, the journal can't be opened, or the metrics are already
    /// registered.
    pub async fn spawn(
        settings: &Settings,
        role_settings: &settings::Gateway,
        clock: C,
        registry: &Registry,
    ) -> Result<Rc<Self>, Failure> {
        let member = super::member(settings, &clock, Role::Gateway);
        let options = replica_options(settings, role_settings);
        let account = Account::spawn(settings, clock.clone(), registry, &member)?;
        let control =
            Control::spawn_with(settings, &options, clock.clone(), registry, &account).await?;
        let machine = decision::Gateway::open(Setup {
            data_centre: settings.data_centre.clone(),
            address: SocketAddr::new(settings.advertise, role_settings.exchange.port()),
            heartbeat_period: role_settings.heartbeat_period,
            retry_bound: role_settings.retry_bound,
            seed: member.vm.run_id(),
            options: role_settings.options,
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
            document: RefCell::default(),
            member,
            gossip_port: role_settings.exchange.port(),
            steward_port: role_settings.steward_port,
            listeners: OnceCell::new(),
            fetching: Cell::new(false),
            stopping: Cell::new(false),
            closing: Latch::default(),
            used_connections: Tally::default(),
            codec: PhantomData,
        });
        let gossip = Rc::new(Service(Rc::clone(&this)));
        let gossip = Listener::bind_in(
            &account,
            Side::Peers,
            role_settings.exchange,
            "exchange",
            gossip,
        )
        .await?;
        let health = Rc::new(Health(Rc::clone(&this)));
        let health = Listener::bind_in(
            &account,
            Side::Peers,
            role_settings.health,
            "health",
            health,
        )
        .await?;
        let registrar = Rc::new(Registrar(Rc::clone(&this)));
        let registrar = Listener::bind_in(
            &account,
            Side::Peers,
            role_settings.registrar,
            "registrar",
            registrar,
        )
        .await?;
        let clients = Listener::bind_in(
            &account,
            Side::Callers,
            role_settings.clients,
            "clients",
            Rc::clone(&this),
        )
        .await?;
        super::log_start(&this.member, clients.address(), registrar.address());
        let _ = this.listeners.set([clients, health, registrar, gossip]);
        compio::runtime::spawn(gossip::run(Rc::clone(&this), background)).detach();
        compio::runtime::spawn(Rc::clone(&this).follow_log()).detach();
        Ok(this)
    }

    /// Feeds changes of the replicated log to the machine: the routing document, the other
    /// gateways and the leadership.
    async fn follow_log(self: Rc<Self>) {
        let mut leading_term = None;
        let mut voters = Vec::new();
        loop {
            if let Some(document) = self.control.document() {
                self.apply_document(&document, None);
            }
            let names = self.control.voters();
            if voters != names {
                Event::Voters { names: &names }.log();
                voters = names;
            }
            let own_address = self.member.address;
            let peers = self.control.peers();
            let others = peers.into_iter().filter(|&address| address != own_address);
            let others: Vec<SocketAddr> = others
                .map(|address| SocketAddr::new(address.ip(), self.gossip_port))
                .collect();
            self.driver.feed(Input::PeersListed { gateways: &others });
            let term = self.control.leading_term();
            if leading_term != term {
                leading_term = term;
                Event::Leads { term }.log();
            }
            let leader = self.control.leader_address();
            let leader = leader.map(|address| SocketAddr::new(address.ip(), self.gossip_port));
            let demand = &*self.control.demand();
            self.driver.feed(Input::LeadershipChanged {
                term,
                leader,
                demand,
            });
            self.control.changed().await;
        }
    }

    /// Applies the settings that may change while the process runs: the contacts.
    pub fn reload(&self, settings: &Settings) {
        if let settings::RoleSettings::Gateway(role_settings) = &settings.role_settings {
            let contacts = contacts(role_settings, settings.listen.port());
            self.control.set_contacts(&contacts);
        }
    }

    /// Reports not ready and hands leadership over, stops accepting connections once the load
    /// balancer has noticed, waits until all requests that were read have been answered, and
    /// leaves the membership of the replicas.
    ///
    /// The process ends `limit` after the start. Shortly before that, the requests without an
    /// answer are refused.
    pub async fn drain(&self, limit: Option<Duration>) {
        self.stopping.set(true);
        let delay = limit.map_or(BALANCER_DRAIN_DELAY, |limit| {
            BALANCER_DRAIN_DELAY.min(limit / 2)
        });
        if let Some(limit) = limit {
            let now = self.driver.clock().now();
            self.driver.feed(Input::Stopping {
                listening_until: now + delay,
                ends_at: now + limit.saturating_sub(STOP_MARGIN.min(limit / 4)),
            });
        }
        futures_util::join!(self.control.step_down(), compio::time::sleep(delay));
        for listener in self.listeners.get().into_iter().flatten() {
            listener.close();
        }
        self.closing.open();
        let ends_in = limit.map(|limit| limit.saturating_sub(delay));
        self.finish_requests_and_leave(ends_in).await;
    }

    /// Waits until all requests have been answered, and leaves the membership of the replicas
    /// then, or in time before the process ends.
    async fn finish_requests_and_leave(&self, ends_in: Option<Duration>) {
        let idle = super::wait_until_idle(|| self.in_flight());
        pin_mut!(idle);
        let Some(ends_in) = ends_in else {
            idle.await;
            return self.control.leave().await;
        };
        let patience = ends_in.saturating_sub(LEAVE_TIMEOUT * 2);
        if compio::time::timeout(patience, idle.as_mut()).await.is_ok() {
            self.control.leave().await;
        } else {
            futures_util::join!(self.control.leave(), idle);
        }
    }
}

impl<C: Clock + 'static, D: Codec> Gateway<C, D> {
    /// The driver of the state machine.
    pub fn driver(&self) -> &Rc<Driver<decision::Gateway, C>> {
        &self.driver
    }

    /// Applies a committed routing document, unless one with the same or a higher number is in
    /// force. `source` is the gateway that it was fetched from; `None` if it is from the log.
    fn apply_document(&self, document: &Rc<Document>, source: Option<SocketAddr>) {
        let number = document.number;
        let previous = self.document().map(|document| document.number);
        if previous.is_some_and(|previous| number <= previous) {
            return;
        }
        *self.document.borrow_mut() = Some(Rc::clone(document));
        match decode::<D>(&document.source) {
            Ok(routing) => {
                self.driver.feed(Input::Configured { routing: &routing });
                let gauge = i64::try_from(number).unwrap_or(i64::MAX);
                self.metrics.configuration.set(gauge);
                let mut unnameable = routing.unnameable_tenants();
                if let Some(first) = unnameable.next() {
                    let (tenant, count) = (first.name.as_str(), unnameable.count() + 1);
                    Event::TenantUnnameable {
                        number,
                        tenant,
                        count,
                    }
                    .log();
                }
                match source {
                    None => Event::Configured { number }.log(),
                    Some(gateway) => Event::DocumentFetched {
                        number,
                        previous,
                        gateway,
                    }
                    .log(),
                }
            }
            // The gateway that published the document found it valid, so it runs another
            // version.
            Err(why) => {
                Event::Rejected { number, why: &why }.log();
                self.driver.feed(Input::DocumentSkipped { number });
            }
        }
    }

    /// The newest routing document that this gateway has.
    fn document(&self) -> Option<Rc<Document>> {
        self.document.borrow().clone()
    }

    /// Asks the leader for the number of the newest routing document, and gets that document if
    /// this gateway lacks it; `None` if no leader answered.
    async fn confirm_document(&self) -> Option<u64> {
        let newest = self.control.newest_number().await?.unwrap_or(0);
        if let Some(document) = self.control.document() {
            self.apply_document(&document, None);
        }
        let above = self.driver.machine().document();
        if above >= newest {
            return Some(newest);
        }
        if self.control.hears_leader() {
            self.wait_for_document(newest).await;
        } else if let Some(document) = self.control.fetch_leader_document(above).await {
            self.apply_document(&document, None);
        }
        Some(newest)
    }

    /// Waits a short time for the replicated log to bring the routing document with this number,
    /// or a newer one.
    async fn wait_for_document(&self, number: u64) -> Option<Rc<Document>> {
        let caught_up = async {
            loop {
                let document = self.document();
                if let Some(document) = document.filter(|document| document.number >= number) {
                    return document;
                }
                compio::time::sleep(CATCH_UP_POLL_PERIOD).await;
            }
        };
        let caught_up = compio::time::timeout(CATCH_UP_TIMEOUT, caught_up).await;
        caught_up.ok()
    }

    /// Fetches and applies the routing document of another gateway, which receives gossip at
    /// `gateway`, if its number is above `above`. One is fetched at a time.
    async fn fetch_document(&self, gateway: SocketAddr, above: u64) {
        if self.fetching.replace(true) {
            return;
        }
        // All replicas listen at the same port.
        let replica = SocketAddr::new(gateway.ip(), self.member.address.port());
        if let Some(document) = self.control.fetch_document(replica, above).await {
            self.apply_document(&document, Some(gateway));
        }
        self.fetching.set(false);
    }

    /// The gateway's replica of the replicated log.
    pub fn control(&self) -> &Rc<Control<C>> {
        &self.control
    }

    /// The connections to endpoints.
    pub fn upstreams(&self) -> &Upstreams {
        &self.upstreams
    }

    /// The number of requests in flight, or of connections on which some were read if that is
    /// larger: a request is in flight only when it has been read whole, and no longer when its
    /// answer is being sent.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let requests = self.driver.machine().in_flight();
        requests.max(self.used_connections.count())
    }

    /// The largest request body that the routing document allows, in bytes.
    #[must_use]
    pub fn max_body_bytes(&self) -> usize {
        let machine = self.driver.machine();
        let limits = machine
            .routing()
            .map(|routing| routing.limits().max_body_bytes);
        limits.unwrap_or_else(|| Limits::default().max_body_bytes)
    }

    /// The limits for clients, as the routing document states them.
    fn client_limits(&self) -> http::Limits {
        let machine = self.driver.machine();
        let limits = machine.routing().map(|routing| routing.limits().clone());
        let limits = limits.unwrap_or_default();
        http::Limits {
            head_bytes: limits.max_header_bytes,
            timeouts: Timeouts {
                head: limits.header_timeout,
                idle: limits.idle_timeout,
                body: limits.idle_timeout,
            },
        }
    }

    /// The longest request line and headers that the routing document allows, in bytes.
    #[must_use]
    pub fn max_header_bytes(&self) -> usize {
        self.client_limits().head_bytes
    }

    /// Whether the gateway can serve new connections: it isn't stopping, has a routing
    /// document and knows an endpoint that accepts requests.
    #[must_use]
    pub fn ready(&self) -> bool {
        let machine = self.driver.machine();
        let has_endpoint = machine.registry().rows().any(Row::accepts_requests);
        !self.stopping.get() && machine.routing().is_some() && has_endpoint
    }
}

/// Decodes and validates a routing document; the error describes the fault.
fn decode<D: Codec>(source: &[u8]) -> Result<Rc<Routing>, String> {
    let draft = D::decode_routing(source).map_err(|fault| fault.to_string())?;
    Routing::open(draft).map_err(|fault| fault.to_string())
}

/// The options of the gateway's replica.
fn replica_options(settings: &Settings, role_settings: &settings::Gateway) -> Options {
    Options {
        data_folder: role_settings.data.clone(),
        roster: Roster::Open {
            contacts: contacts(role_settings, settings.listen.port()),
            bootstrap: role_settings.bootstrap,
        },
        observer: !role_settings.voter,
        election_timeout: role_settings.election_timeout,
        tolerated_losses: role_settings.tolerated_losses,
    }
}

/// The replica addresses of the gateways that the settings list as contacts. The replicas of
/// all gateways listen at the same `port`.
fn contacts(role_settings: &settings::Gateway, port: u16) -> Vec<SocketAddr> {
    let contacts = role_settings.contacts.iter();
    contacts.map(|&ip| SocketAddr::new(ip, port)).collect()
}

impl<C: Clock + 'static, D: Codec> Serve for Gateway<C, D> {
    async fn serve(self: Rc<Self>, accepted: Accepted) {
        http::serve(self, accepted).await;
    }
}

impl<C: Clock + 'static, D: Codec> Handler for Gateway<C, D> {
    type Body = Outgoing<C, D>;

    async fn handle(self: Rc<Self>, request: Request<Upload>) -> Response<Outgoing<C, D>> {
        passthrough::forward(self, request).await
    }

    fn closing(&self) -> bool {
        self.stopping.get()
    }

    fn limits(&self) -> http::Limits {
        self.client_limits()
    }

    fn closed(&self) -> impl Future<Output = ()> {
        self.closing.opened()
    }

    fn used_connections(&self) -> Option<&Tally> {
        Some(&self.used_connections)
    }
}
