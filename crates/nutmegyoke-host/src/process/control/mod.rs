//! The control role, which holds the configuration, the claims and the directory.
//!
//! The state machine, [`decision::Control`], contains a replica of the replicated log. The
//! log has the configuration, the routing document and the claims, and is written to the
//! [`journal`]; the directory is in the leader's memory. A gateway runs the same code in its
//! own process, where the log has the routing document and the demand for models.
//!
//! * [`server`]: the calls of other processes;
//! * [`proposal`]: changes of the log, which go to the leader;
//! * [`peers`]: the connections to other replicas;
//! * [`transport`]: messages to other replicas and the journal;
//! * [`uploads`]: a limit of the documents that other processes fetch;
//! * [`gateway`]: the calls of a gateway to the replica in its process;
//! * [`options`]: the startup options of a replica.

mod gateway;
pub mod options;
mod peers;
mod proposal;
mod server;
mod transport;
mod uploads;

use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, UNIX_EPOCH};

use futures_channel::{mpsc, oneshot};
use futures_util::future::OptionFuture;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, Response, StatusCode};
use nutmegyoke_core::process as decision;
use nutmegyoke_core::process::account::Side;
use nutmegyoke_core::process::control::replica::{Change, Id, Seed, Setup};
use nutmegyoke_core::process::control::{Acceptance, Command};
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::{Clock, Member};
use nutmegyoke_core::version::Configuration;
use nutmegyoke_wire::connection::link_capnp::agent;
use nutmegyoke_wire::connection::replica_capnp::replica;
use nutmegyoke_wire::process::{Settings, Status, settings, status};
use nutmegyoke_wire::version::json;
use prometheus::Registry;

pub(crate) use self::gateway::LEAVE_TIMEOUT;
pub use self::options::Options;
use self::peers::Peers;
use self::server::Server;
pub use self::uploads::Uploads;
use super::driver::Addressed;
use super::journal::medium::Discard;
use super::journal::{self, Folder, Journal, Medium};
use super::operators::{self, Operators, respond};
use super::{Driver, Event, Failure, Metrics, Planner, withdrawal};
use crate::connection::listener::{Accepted, Serve};
use crate::connection::{Account, Latch, Listener, Pool, Upload, link};
use crate::request::Body;

/// How long a replica that steps down waits for its handover message to be sent.
const HANDOVER_DELAY: Duration = Duration::from_millis(100);

/// How long the leader may take to answer with its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// The largest configuration, in bytes of JSON.
const MAX_CONFIGURATION_BYTES: usize = 8 * 1024 * 1024;

/// The longest message between replicas, in bytes: a routing document and the state beside it.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// A running control process.
pub struct Control<C: Clock + 'static> {
    driver: Rc<Driver<decision::Control, C>>,
    planner: Planner<C>,
    metrics: Metrics,
    member: Member,
    peers: Rc<Peers>,
    uploads: Uploads,
    /// The number of proposals without an answer yet.
    pending: Cell<usize>,
    journal_failure: RefCell<Option<oneshot::Receiver<journal::Failure>>>,
    listeners: OnceCell<[Listener; 2]>,
    closing: Latch,
    agents: Rc<Pool<agent::Client>>,
    changes: RefCell<mpsc::Receiver<()>>,
}

impl Addressed for Command {
    fn addressee(&self) -> Option<u64> {
        match self {
            Self::AnswerHeartbeat { call, .. }
            | Self::AnswerDocument { call, .. }
            | Self::AnswerClaim { call, .. }
            | Self::AnswerRecorded { call }
            | Self::AnswerConfiguration { call, .. }
            | Self::AnswerMembership { call }
            | Self::Redirect { call } => Some(*call),
            Self::Send { .. }
            | Self::Persist { .. }
            | Self::Notify
            | Self::Reseated { .. }
            | Self::LeaseLost { .. } => None,
        }
    }
}

impl<C: Clock + 'static> Control<C> {
    /// Spawns a control process on the current event loop.
    ///
    /// # Errors
    ///
    /// An address can't be bound, the journal can't be opened, or the metrics are already
    /// registered.
    pub async fn spawn(
        settings: &Settings,
        role_settings: &settings::Control,
        clock: C,
        registry: &Registry,
    ) -> Result<Rc<Self>, Failure>
    where
        C: Clone,
    {
        let member = super::member(settings, &clock, Role::Control);
        let account = Account::spawn(settings, clock.clone(), registry, &member)?;
        let options = Options::from(role_settings);
        Self::spawn_with(settings, &options, clock, registry, &account).await
    }

    /// Spawns a control process whose replica has the given options, and whose connections are
    /// counted in `account`.
    ///
    /// # Errors
    ///
    /// An address can't be bound, the journal can't be opened, or the metrics are already
    /// registered.
    pub async fn spawn_with(
        settings: &Settings,
        options: &Options,
        clock: C,
        registry: &Registry,
        account: &Account,
    ) -> Result<Rc<Self>, Failure>
    where
        C: Clone,
    {
        let Some(path) = &options.data_folder else {
            Event::Volatile.log();
            return Self::start(settings, options, clock, (registry, account), Discard).await;
        };
        let folder = Folder::open(path).map_err(|source| Failure::Journal { source })?;
        Self::start(settings, options, clock, (registry, account), folder).await
    }

    async fn start<M: Medium + 'static>(
        settings: &Settings,
        options: &Options,
        clock: C,
        (registry, account): (&Registry, &Account),
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
                address: settings.advertised(),
                observer: options.observer,
            },
            roster: options.roster.clone(),
            election_timeout: options.election_timeout,
            tolerated_losses: options.tolerated_losses,
            random_seed: run,
        };
        let machine = decision::Control::open(clock.now(), run, setup, recovered);
        let (driver, background) = Driver::spawn(machine, clock.clone());
        let (failure_sender, journal_failure) = oneshot::channel();
        let (change_sender, changes) = mpsc::channel(0);
        let control = Rc::new(Self {
            driver,
            planner: Planner::spawn(settings.planner.settings(), clock),
            metrics: Metrics::open(registry, &member)?,
            member,
            peers: Rc::default(),
            uploads: Uploads::default(),
            pending: Cell::new(0),
            journal_failure: RefCell::new(Some(journal_failure)),
            listeners: OnceCell::new(),
            closing: Latch::default(),
            agents: Rc::default(),
            changes: RefCell::new(changes),
        });
        let listener = Listener::bind_in(
            account,
            Side::Peers,
            settings.listen,
            "listen",
            Rc::clone(&control),
        )
        .await?;
        let operators = Operators::open(&control);
        let operators = Listener::bind_in(
            account,
            Side::Peers,
            settings.operators,
            "operators",
            operators,
        )
        .await?;
        let (driver, peers) = (Rc::clone(&control.driver), Rc::clone(&control.peers));
        let transport = transport::run(
            driver,
            background,
            peers,
            journal,
            (failure_sender, change_sender),
        );
        compio::runtime::spawn(transport).detach();
        super::log_start(&control.member, listener.address(), operators.address());
        let _ = control.listeners.set([listener, operators]);
        Ok(control)
    }

    /// The address at which the other processes reach this one.
    #[must_use]
    pub fn listen(&self) -> Option<SocketAddr> {
        let [listener, _] = self.listeners.get()?;
        Some(listener.address())
    }

    /// Passes the term and the configuration of the machine on to the planner.
    fn update_planner(&self) {
        let machine = self.driver.machine();
        self.planner
            .update(machine.leading_term(), machine.configuration());
    }

    /// Stops accepting connections.
    pub fn close(&self) {
        for listener in self.listeners.get().into_iter().flatten() {
            listener.close();
        }
    }

    /// Submits a configuration; `None` if no leader answered.
    pub async fn apply(&self, configuration: &Rc<Configuration>) -> Option<Acceptance> {
        self.propose(&proposal::Apply(configuration)).await
    }

    /// Waits until writing the journal has failed for another reason than a full disk.
    pub async fn journal_failed(&self) -> journal::Failure {
        let receiver = self.journal_failure.borrow_mut().take();
        if let Some(Ok(failure)) = OptionFuture::from(receiver).await {
            return failure;
        }
        std::future::pending().await
    }

    /// Hands leadership over, stops accepting connections, and waits for the calls in
    /// flight.
    pub async fn drain(&self) {
        self.step_down().await;
        self.close();
        self.closing.open();
        super::wait_until_idle(|| self.in_flight()).await;
    }

    /// The number of proposals without an answer, plus the open connections of operators.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let operators = self.listeners.get().map(|[_, operators]| operators);
        self.pending.get() + operators.map_or(0, Listener::connections)
    }

    /// Serves an operator's submission of a configuration.
    async fn handle_configuration(self: Rc<Self>, request: Request<Upload>) -> Response<Body> {
        let body = Limited::new(request.into_body(), MAX_CONFIGURATION_BYTES);
        let lists = match body.collect().await {
            Ok(body) => json::decode(&body.to_bytes()).map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        let opened = lists.and_then(|lists| {
            let number = lists.number;
            Configuration::open(lists).map_err(|fault| format!("configuration {number}: {fault}"))
        });
        match opened {
            Ok(configuration) => self.apply_and_respond(&configuration).await,
            Err(why) => {
                Event::Rejected {
                    // The number of invalid lists may not be readable.
                    number: 0,
                    why: &why,
                }
                .log();
                respond(StatusCode::BAD_REQUEST, "text/plain", why.into_bytes())
            }
        }
    }

    async fn apply_and_respond(&self, configuration: &Rc<Configuration>) -> Response<Body> {
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
                let why = "another configuration with this or a higher number is in force: \
                           use a number above it";
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

    /// The leader's status, or that of this process if no leader answers.
    async fn status(&self) -> Status {
        let status = self.call_leader(self.peers.small(), STATUS_TIMEOUT, |leader| async move {
            let response = leader.status_request().send().promise.await?;
            let status = Status::decode(response.get()?.get_json()?);
            status.map_err(|error| capnp::Error::failed(error.to_string()))
        });
        status.await.unwrap_or_else(|| self.local_status())
    }

    /// Serves an operator's request to withdraw an endpoint or to end its withdrawal, which
    /// is forwarded to the endpoint's agent.
    async fn handle_withdrawal(&self, request: Request<Upload>) -> Response<Body> {
        let members = self.status().await.members;
        let member = |name: &str| members.iter().find(|row| row.vm.name == name).cloned();
        withdrawal::handle(request, &self.agents, member).await
    }

    fn local_status(&self) -> Status {
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

    async fn change_membership(&self, change: Change<'_>) -> Response<Body> {
        if self.propose(&proposal::Membership(change)).await.is_some() {
            return respond(StatusCode::OK, "text/plain", b"done\n".to_vec());
        }
        let why = "not done: no replica leads, another change is under way, \
                   or no voter would be left; look at `nutmegyoke status`, try again\n";
        let why = why.as_bytes().to_vec();
        respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", why)
    }
}

/// Milliseconds since the Unix epoch.
fn unix_millis<C: Clock>(clock: &C) -> u64 {
    let elapsed = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

impl<C: Clock + 'static> Serve for Control<C> {
    async fn serve(self: Rc<Self>, accepted: Accepted) {
        let server: replica::Client = capnp_rpc::new_client(Server(self));
        let peer = accepted.peer;
        if let Err(error) = link::serve(accepted, server.client, MAX_MESSAGE_BYTES).await {
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

    async fn answer(self: Rc<Self>, request: Request<Upload>) -> Option<Response<Body>> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/configuration") => Some(self.handle_configuration(request).await),
            (&Method::POST, "/v1/withdrawal") => Some(self.handle_withdrawal(request).await),
            (&Method::POST, "/v1/plan") => {
                self.update_planner();
                Some(self.planner.answer_preview(request).await)
            }
            (&Method::GET, "/v1/status") => {
                let status = self.status().await.encode();
                Some(respond(StatusCode::OK, "application/json", status))
            }
            (&Method::PUT, path) => {
                let name = path.strip_prefix("/v1/replicas/")?.to_owned();
                Some(self.change_membership(Change::Add(&name)).await)
            }
            (&Method::DELETE, path) => {
                let name = path.strip_prefix("/v1/replicas/")?.to_owned();
                Some(self.change_membership(Change::Remove(&name)).await)
            }
            _ => None,
        }
    }
}
