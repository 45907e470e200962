//! The role that holds the configuration and the directory.

mod ask;
mod carrier;
mod offer;
mod routing;
pub mod seat;

use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, UNIX_EPOCH};

use compio::net::TcpStream;
use futures_channel::{mpsc, oneshot};
use futures_util::future::OptionFuture;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use nutmegyoke_core::process as decision;
use nutmegyoke_core::process::control::replica::{Id, Seed, Setup, Wish};
use nutmegyoke_core::process::control::{Acceptance, Command};
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::{Clock, Member};
use nutmegyoke_core::version::Configuration;
use nutmegyoke_wire::connection::link_capnp::agent;
use nutmegyoke_wire::connection::replica_capnp::replica;
use nutmegyoke_wire::process::{Settings, Status, settings, status};
use nutmegyoke_wire::version::json;
use prometheus::Registry;

use self::offer::Offer;
pub use self::seat::Seat;
use super::driver::Addressed;
use super::journal::medium::Memory;
use super::journal::{self, Folder, Journal, Medium};
use super::operators::{self, Operators, respond};
use super::{Driver, Event, Failure, Metrics, Scheduling, withdrawal};
use crate::connection::listener::Serve;
use crate::connection::{Latch, Listener, Pool, link};
use crate::request::Body;

/// How long the message that hands leadership over has to leave.
const HAND_OVER: Duration = Duration::from_millis(100);

/// How long the leader may take to tell its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest configuration, in bytes of JSON.
const CONFIGURATION_BYTES: usize = 8 * 1024 * 1024;

/// A running control process.
pub struct Control<C: Clock + 'static> {
    driver: Rc<Driver<decision::Control, C>>,
    scheduling: Scheduling<C>,
    metrics: Metrics,
    member: Member,
    peers: Rc<Pool<replica::Client>>,
    /// Calls that wait for the leader's answer.
    pending: Cell<usize>,
    failed: RefCell<Option<oneshot::Receiver<journal::Failure>>>,
    listeners: OnceCell<[Listener; 2]>,
    closing: Latch,
    agents: Rc<Pool<agent::Client>>,
    changes: RefCell<mpsc::Receiver<()>>,
}

impl Addressed for Command {
    fn addressee(&self) -> Option<u64> {
        match self {
            Self::Teach { call, .. }
            | Self::Tell { call, .. }
            | Self::Judge { call, .. }
            | Self::Record { call }
            | Self::Answer { call, .. }
            | Self::Grant { call }
            | Self::Redirect { call } => Some(*call),
            Self::Send { .. } | Self::Persist { .. } | Self::Changed => None,
        }
    }
}

impl<C: Clock + 'static> Control<C> {
    /// Spawns a control process on the current loop.
    ///
    /// # Errors
    ///
    /// An address can't be bound, or the journal can't be opened.
    pub async fn spawn(
        settings: &Settings,
        own: &settings::Control,
        clock: C,
        registry: &Registry,
    ) -> Result<Rc<Self>, Failure>
    where
        C: Clone,
    {
        Self::open(settings, &Seat::from(own), clock, registry).await
    }

    /// Spawns a control process that takes `seat` among the others.
    ///
    /// # Errors
    ///
    /// An address can't be bound, or the journal can't be opened.
    pub async fn open(
        settings: &Settings,
        seat: &Seat,
        clock: C,
        registry: &Registry,
    ) -> Result<Rc<Self>, Failure>
    where
        C: Clone,
    {
        let Some(path) = &seat.data else {
            Event::Volatile.log();
            return Self::start(settings, seat, clock, registry, Memory).await;
        };
        let folder = Folder::open(path).map_err(|source| Failure::Journal { source })?;
        Self::start(settings, seat, clock, registry, folder).await
    }

    async fn start<M: Medium + 'static>(
        settings: &Settings,
        seat: &Seat,
        clock: C,
        registry: &Registry,
        medium: M,
    ) -> Result<Rc<Self>, Failure>
    where
        C: Clone,
    {
        let member = super::member(settings, &clock, Role::Control);
        let run = member.vm.run_id();
        let opened = Journal::open(medium, Id(run)).await;
        let (journal, recovered) = opened.map_err(|source| Failure::Journal { source })?;
        let setup = Setup {
            id: journal.id(),
            seed: Seed {
                name: settings.name.clone(),
                address: settings.listen,
                observer: seat.observer,
            },
            roster: seat.roster.clone(),
            election: seat.election,
            random: run,
        };
        let machine = decision::Control::open(clock.now(), run, setup, recovered);
        let (driver, background) = Driver::spawn(machine, clock.clone());
        let (failing, failed) = oneshot::channel();
        let (change, changes) = mpsc::channel(0);
        let control = Rc::new(Self {
            driver,
            scheduling: Scheduling::spawn(settings.planner.settings(), clock),
            metrics: Metrics::open(registry, &member)?,
            member,
            peers: Rc::default(),
            pending: Cell::new(0),
            failed: RefCell::new(Some(failed)),
            listeners: OnceCell::new(),
            closing: Latch::default(),
            agents: Rc::default(),
            changes: RefCell::new(changes),
        });
        let listener = Listener::bind(settings.listen, "listen", Rc::clone(&control)).await?;
        let operators = Operators::open(&control);
        let operators = Listener::bind(settings.operators, "operators", operators).await?;
        let (driver, pool) = (Rc::clone(&control.driver), Rc::clone(&control.peers));
        let carrier = carrier::run(driver, background, pool, journal, (failing, change));
        compio::runtime::spawn(carrier).detach();
        super::log_start(&control.member, listener.address(), operators.address());
        let _ = control.listeners.set([listener, operators]);
        Ok(control)
    }

    /// Where the other processes reach it.
    #[must_use]
    pub fn listen(&self) -> Option<SocketAddr> {
        let [listener, _] = self.listeners.get()?;
        Some(listener.address())
    }

    /// Brings the planner up to date with the machine.
    fn schedule(&self) {
        let machine = self.driver.machine();
        self.scheduling
            .update(machine.leading(), machine.configuration());
    }

    /// Stops accepting connections.
    pub fn close(&self) {
        for listener in self.listeners.get().into_iter().flatten() {
            listener.close();
        }
    }

    /// Submits a configuration.
    pub async fn apply(&self, configuration: &Rc<Configuration>) -> Option<Acceptance> {
        self.ask(&ask::Apply(configuration)).await
    }

    /// Waits until the disk fails.
    pub async fn failed(&self) -> journal::Failure {
        let failed = self.failed.borrow_mut().take();
        if let Some(Ok(failure)) = OptionFuture::from(failed).await {
            return failure;
        }
        std::future::pending().await
    }

    /// Hands leadership over, takes nothing new, and waits until what is in
    /// flight has ended.
    pub async fn drain(&self) {
        self.resign().await;
        self.close();
        self.closing.open();
        super::drained(|| self.in_flight()).await;
    }

    /// Connections of operators that are open, and calls that wait for the leader.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let operators = self.listeners.get().map(|[_, operators]| operators);
        self.pending.get() + operators.map_or(0, Listener::connections)
    }

    async fn take(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let body = Limited::new(request.into_body(), CONFIGURATION_BYTES);
        let lists = match body.collect().await {
            Ok(body) => json::decode(&body.to_bytes()).map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        let opened = lists.and_then(|lists| {
            let number = lists.number;
            Configuration::open(lists).map_err(|fault| format!("configuration {number}: {fault}"))
        });
        match opened {
            Ok(configuration) => self.answer_apply(&configuration).await,
            Err(why) => {
                Event::Rejected {
                    number: 0,
                    why: &why,
                }
                .log();
                respond(StatusCode::BAD_REQUEST, "text/plain", why.into_bytes())
            }
        }
    }

    async fn answer_apply(&self, configuration: &Rc<Configuration>) -> Response<Body> {
        let Some(acceptance) = self.apply(configuration).await else {
            let why = b"no control replica leads; the outcome is unknown, send it again\n".to_vec();
            return respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", why);
        };
        let status = match acceptance {
            Acceptance::Accepted { number, digest } => {
                Event::Accepted { number, digest }.log();
                StatusCode::OK
            }
            Acceptance::Conflict { .. } | Acceptance::Stale { .. } => {
                let why = "another configuration holds this or a higher number";
                let number = configuration.number();
                Event::Rejected { number, why }.log();
                StatusCode::CONFLICT
            }
        };
        respond(
            status,
            "application/json",
            json::encode_acceptance(acceptance),
        )
    }

    /// The status as the leader sees it, or as this process does if none answers.
    async fn status(&self) -> Status {
        let asked = compio::time::timeout(STATUS_TIMEOUT, async {
            let leader = self.leader().await?;
            let response = leader.status_request().send().promise.await.ok()?;
            Status::decode(response.get().ok()?.get_json().ok()?).ok()
        });
        let told = asked.await.ok().flatten();
        told.unwrap_or_else(|| self.own_status())
    }

    /// Withdraws an endpoint or puts it back, by its agent.
    async fn withdraw(&self, request: Request<Incoming>) -> Response<Body> {
        let members = self.status().await.members;
        let member = |name: &str| members.iter().find(|row| row.vm.name == name).cloned();
        withdrawal::take(request, &self.agents, member).await
    }

    fn own_status(&self) -> Status {
        let machine = self.driver.machine();
        let replica = machine.replica();
        let last = replica.log().last().index;
        let peers = replica.membership().peers.iter();
        Status {
            number: machine.configuration().number(),
            digest: machine.configuration().digest(),
            members: machine.directory().members().cloned().collect(),
            leader: replica.leader().map(|peer| peer.seed.name.clone()),
            term: replica.term(),
            replicas: peers
                .map(|peer| status::Replica {
                    seed: peer.seed.clone(),
                    id: peer.id,
                    voter: peer.voter,
                    lag: replica.matched(peer.id).map(|index| last - index.min(last)),
                })
                .collect(),
        }
    }

    async fn change(&self, wish: Wish<'_>) -> Response<Body> {
        if self.ask(&ask::Change(wish)).await.is_some() {
            return respond(StatusCode::OK, "text/plain", b"done\n".to_vec());
        }
        let why = "not done: no replica leads, another change is under way, \
                   or no voter would be left; look at `nutmegyoke status`, try again\n";
        let why = why.as_bytes().to_vec();
        respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", why)
    }
}

/// Milliseconds since the Unix epoch.
fn wall<C: Clock>(clock: &C) -> u64 {
    let since = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

impl<C: Clock + 'static> Serve for Control<C> {
    async fn serve(self: Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        let offer: replica::Client = capnp_rpc::new_client(Offer(self));
        if let Err(error) = link::serve(stream, offer.client).await {
            let why = error.to_string();
            Event::ConnectionFailed { peer, why: &why }.log();
        }
    }
}

impl<C: Clock + 'static> operators::Role for Control<C> {
    fn metrics(&self) -> &Metrics {
        let number = self.driver.machine().configuration().number();
        let number = i64::try_from(number).unwrap_or(i64::MAX);
        self.metrics.configuration.set(number);
        &self.metrics
    }

    fn ready(&self) -> bool {
        self.driver.machine().replica().leader().is_some()
    }

    fn closed(&self) -> impl Future<Output = ()> {
        self.closing.opened()
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/configuration") => Some(self.take(request).await),
            (&Method::POST, "/v1/withdrawal") => Some(self.withdraw(request).await),
            (&Method::POST, "/v1/plan") => {
                self.schedule();
                Some(self.scheduling.take(request).await)
            }
            (&Method::GET, "/v1/status") => {
                let status = self.status().await.encode();
                Some(respond(StatusCode::OK, "application/json", status))
            }
            (&Method::PUT, path) => {
                let name = path.strip_prefix("/v1/replicas/")?.to_owned();
                Some(self.change(Wish::Add(&name)).await)
            }
            (&Method::DELETE, path) => {
                let name = path.strip_prefix("/v1/replicas/")?.to_owned();
                Some(self.change(Wish::Remove(&name)).await)
            }
            _ => None,
        }
    }
}
