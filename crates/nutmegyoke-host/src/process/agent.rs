//! The agent, which runs beside the endpoints of a VM and forwards requests to them.
//!
//! Entries submit requests over capnp. The state machine refuses, queues or starts each of
//! them, and [`crate::request::call`] sends a started one to its endpoint and the answer back
//! to the entry. Endpoints announce themselves to the operators' interface. All state is in
//! memory: the queues in the state machine, the answers of keyed requests in [`Cache`] and
//! the contents of engines in [`Memory`].

use std::cell::{OnceCell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, Response, StatusCode};
use nutmegyoke_core::process as decision;
use nutmegyoke_core::process::account::Side;
use nutmegyoke_core::process::agent::{Command, Event as Input};
use nutmegyoke_core::process::directory::Cursor;
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::order::{Fence, Order};
use nutmegyoke_core::process::update::{Known, Update};
use nutmegyoke_core::process::{Clock, Endpoint, Member, Report};
use nutmegyoke_core::request::Submission;
use nutmegyoke_core::version::Configuration;
use nutmegyoke_wire::connection::convert::{milliseconds, text};
use nutmegyoke_wire::connection::link_capnp::{agent, answer};
use nutmegyoke_wire::process::{Announcement, Settings};
use nutmegyoke_wire::request::{Payload, id, submission, verdict};
use prometheus::Registry;

use super::cache::Cache;
use super::driver::{Addressed, Mailbox};
use super::heartbeat::{Heartbeat, Subscriber};
use super::memory::Watcher;
use super::operators::{self, Operators, respond};
use super::reporter::Source;
use super::{Driver, Event, Failure, Memory, Metrics, Reporter, engine};
use crate::connection::listener::{Accepted, Serve};
use crate::connection::{Account, Listener, Upload, link};
use crate::request::Body;
use crate::request::call::{self, Outcome};

/// The maximum size of an endpoint's announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 256 * 1024;

/// The time within which every entry learns of a change: the agent's heartbeat and
/// then the entry's, 1 s each, and a margin.
const PROPAGATION_DELAY: Duration = Duration::from_millis(2500);

/// How long the last verdicts may take to reach the entries over their connections.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

/// The longest message of an entry or of control, in bytes. The body of a request has any size that
/// entries are set to accept.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// A running agent.
pub struct Agent<C: Clock + 'static> {
    driver: Rc<Driver<decision::Agent, C>>,
    client: cyper::Client,
    metrics: Metrics,
    member: RefCell<Member>,
    /// The names of the endpoints that have announced themselves.
    announced: RefCell<HashSet<String>>,
    /// Answers of keyed requests, for resends.
    cache: RefCell<Cache>,
    heartbeat: OnceCell<Heartbeat>,
    memory: Rc<Memory<C>>,
    reporter: OnceCell<Reporter>,
    listeners: OnceCell<[Listener; 2]>,
}

impl Addressed for Command {
    fn addressee(&self) -> Option<u64> {
        match self {
            Self::Start { call, .. } | Self::Refuse { call, .. } => Some(*call),
        }
    }
}

impl<C: Clock + 'static> Agent<C> {
    /// Spawns an agent on the current event loop.
    ///
    /// # Errors
    ///
    /// An address can't be bound, or the HTTP client or the metrics can't be set up.
    pub async fn spawn(
        settings: &Settings,
        clock: C,
        registry: &Registry,
    ) -> Result<Rc<Self>, Failure>
    where
        C: Clone,
    {
        let member = super::member(settings, &clock, Role::Agent);
        let account = Account::spawn(settings, clock.clone(), registry, &member)?;
        let incarnation = member.vm.incarnation;
        let (driver, _background) =
            Driver::spawn(decision::Agent::open(incarnation), clock.clone());
        let client = cyper::Client::builder()
            .redirect(cyper::redirect::Policy::none())
            .build();
        let client = client.map_err(|source| Failure::Client { source })?;
        let metrics = Metrics::open(registry, &member)?;
        let engines = engine::Http::open(client.clone());
        let agent = Rc::new_cyclic(|weak| Self {
            driver,
            client,
            metrics,
            memory: Memory::spawn(engines, clock, incarnation, Weak::clone(weak)),
            reporter: OnceCell::new(),
            member: RefCell::new(member),
            announced: RefCell::default(),
            cache: RefCell::default(),
            heartbeat: OnceCell::new(),
            listeners: OnceCell::new(),
        });
        let listener = Listener::bind_in(
            &account,
            Side::Peers,
            settings.listen,
            "listen",
            Rc::clone(&agent),
        )
        .await?;
        agent.member.borrow_mut().address = listener.address();
        let operators = Operators::open(&agent);
        let operators = Listener::bind_in(
            &account,
            Side::Peers,
            settings.operators,
            "operators",
            operators,
        )
        .await?;
        super::log_start(
            &agent.member.borrow(),
            listener.address(),
            operators.address(),
        );
        let _ = agent.listeners.set([listener, operators]);
        let heartbeat = Heartbeat::spawn(Rc::clone(&agent), settings.control.clone());
        let _ = agent.heartbeat.set(heartbeat);
        let reporter = Reporter::spawn(Rc::clone(&agent), settings.control.clone());
        let _ = agent.reporter.set(reporter);
        Ok(agent)
    }

    /// The address of the operators' interface, where endpoints announce themselves;
    /// `None` until it is bound.
    #[must_use]
    pub fn operators(&self) -> Option<SocketAddr> {
        let [_, operators] = self.listeners.get()?;
        Some(operators.address())
    }

    /// Stops accepting requests and waits until none is in flight.
    pub async fn drain(&self) {
        self.driver.feed(Input::Stopping);
        self.wake_heartbeat();
        super::wait_until_idle(|| self.in_flight()).await;
    }

    /// Drains as [`Agent::drain`] does, and also waits until every entry knows that
    /// this agent is stopping and has received the verdicts of its requests.
    ///
    /// An entry that submits to a process that has exited can't tell whether the
    /// request ran.
    pub async fn leave(&self) {
        let propagated = compio::time::sleep(PROPAGATION_DELAY);
        futures_util::join!(self.drain(), propagated);
        loop {
            compio::time::sleep(FLUSH_DELAY).await;
            if self.in_flight() == 0 {
                return;
            }
        }
    }

    /// The number of requests queued or running.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.driver.machine().in_flight()
    }

    /// Sends the next heartbeat early.
    fn wake_heartbeat(&self) {
        if let Some(heartbeat) = self.heartbeat.get() {
            heartbeat.wake();
        }
    }

    /// Withdraws the endpoint called `name` for an operator, or puts it back; all
    /// endpoints if `name` is empty. Returns whether there is such an endpoint.
    fn withdraw(&self, name: &str, withdrawn: bool) -> bool {
        let endpoints = self.driver.machine().endpoints();
        let chosen: Vec<_> = endpoints
            .iter()
            .filter(|endpoint| name.is_empty() || endpoint.name == name)
            .collect();
        for endpoint in &chosen {
            self.driver.feed(Input::Withdrawn {
                endpoint: &endpoint.name,
                withdrawn,
            });
            Event::Withdrawn {
                name: &endpoint.name,
                withdrawn,
            }
            .log();
        }
        self.wake_heartbeat();
        !chosen.is_empty()
    }

    /// Applies an endpoint's announcement, which the endpoint renews every second.
    /// Returns the fault of a malformed one.
    fn announce(&self, body: &[u8]) -> Result<(), String> {
        let announcement = Announcement::decode(body).map_err(|error| error.to_string())?;
        let Announcement {
            address,
            endpoint,
            capacity,
        } = &announcement;
        let endpoint = &self.memory.announce(endpoint, *address, capacity.as_ref());
        let before = self.driver.machine().endpoints();
        self.driver.feed(Input::Announced {
            endpoint,
            address: *address,
        });
        if self.announced.borrow_mut().insert(endpoint.name.clone()) {
            let name = &endpoint.name;
            Event::Announced {
                name,
                address: *address,
            }
            .log();
        }
        if before != self.driver.machine().endpoints() {
            self.wake_heartbeat();
        }
        Ok(())
    }

    async fn answer_announcement(self: Rc<Self>, request: Request<Upload>) -> Response<Body> {
        let body = Limited::new(request.into_body(), MAX_ANNOUNCEMENT_BYTES);
        let result = match body.collect().await {
            Ok(body) => self.announce(&body.to_bytes()),
            Err(error) => Err(error.to_string()),
        };
        match result {
            Ok(()) => respond(StatusCode::NO_CONTENT, "text/plain", Vec::new()),
            Err(why) => {
                Event::AnnouncementRefused { why: &why }.log();
                respond(StatusCode::BAD_REQUEST, "text/plain", why.into_bytes())
            }
        }
    }
}

/// A submission in flight, which the state machine knows as a call; dropping the handle ends
/// the call.
struct Handle<C: Clock + 'static> {
    agent: Rc<Agent<C>>,
    mailbox: Mailbox<decision::Agent, C>,
}

impl<C: Clock + 'static> Handle<C> {
    /// Submits the request to the state machine, then forwards or refuses it as decided.
    async fn run(&mut self, params: &agent::SubmitParams) -> capnp::Result<Outcome> {
        let params = params.get()?;
        let submission = submission::read(params.get_submission()?)?;
        let payload = Payload::read(params.get_payload()?)?;
        let answer = params.get_answer()?;
        let (call, target) = (self.mailbox.number(), submission.destination.target());
        self.agent.memory.begin(call, &submission.endpoint, target);
        self.agent.driver.feed(Input::Submitted {
            call: self.mailbox.number(),
            submission: &submission,
            bytes: payload.body.len(),
        });
        match self.mailbox.next().await {
            Some(Command::Start { address, .. }) => {
                Ok(self.forward(address, &submission, &payload, &answer).await)
            }
            Some(Command::Refuse {
                reason,
                retry_after,
                ..
            }) => {
                self.agent.metrics.count_refusal(reason);
                let request = Some(submission.id);
                Event::Refused { request, reason }.log();
                Ok(Outcome {
                    verdict: Command::verdict(reason),
                    chunks: 0,
                    cached: None,
                    retry_after,
                })
            }
            None => Err(capnp::Error::failed("the agent is gone".to_owned())),
        }
    }
}

impl<C: Clock + 'static> Handle<C> {
    /// Sends the request to its endpoint and caches the answer of a keyed request
    /// for resends.
    async fn forward(
        &self,
        address: SocketAddr,
        submission: &Submission,
        payload: &Payload<'_>,
        answer: &answer::Client,
    ) -> Outcome {
        let agent = &self.agent;
        let cache = submission.keyed;
        let call = self.mailbox.number();
        let on_first_chunk = || agent.driver.feed(Input::AnswerStarted { call });
        let running = call::run(
            &agent.client,
            address,
            payload,
            answer,
            cache,
            on_first_chunk,
        );
        let mut outcome = running.await;
        if let Some(finished) = outcome.cached.take() {
            let now = agent.driver.clock().now();
            agent
                .cache
                .borrow_mut()
                .insert(now, submission.id, finished);
        }
        outcome
    }
}

impl<C: Clock + 'static> Drop for Handle<C> {
    fn drop(&mut self) {
        let call = self.mailbox.number();
        self.agent.driver.feed(Input::Ended { call });
        self.agent.memory.end(call);
    }
}

/// Implements the interface that entries call; a separate type, because capnp owns
/// the implementation.
struct Server<C: Clock + 'static> {
    agent: Rc<Agent<C>>,
}

impl<C: Clock + 'static> agent::Server for Server<C> {
    async fn submit(
        self: Rc<Self>,
        params: agent::SubmitParams,
        mut results: agent::SubmitResults,
    ) -> capnp::Result<()> {
        self.agent.metrics.requests.inc();
        let mut handle = Handle {
            agent: Rc::clone(&self.agent),
            mailbox: self.agent.driver.open(),
        };
        let outcome = handle.run(&params).await?;
        let endpoint = text(params.get()?.get_submission()?.get_endpoint())?;
        let mut results = results.get();
        // The load still includes this request; the entry subtracts it.
        results.set_load(self.agent.driver.machine().load(endpoint));
        results.set_chunks(outcome.chunks);
        results.set_retry_after_ms(milliseconds(outcome.retry_after));
        verdict::write(outcome.verdict, results.init_verdict());
        Ok(())
    }

    async fn recall(
        self: Rc<Self>,
        params: agent::RecallParams,
        mut results: agent::RecallResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let id = id::read(params.get_id()?);
        let now = self.agent.driver.clock().now();
        let cached = self.agent.cache.borrow_mut().get(now, id);
        let mut results = results.get();
        if let Some(cached) = cached {
            let answer = params.get_answer()?;
            results.set_chunks(call::replay(cached, &answer).await?);
            results.set_found(true);
        }
        Ok(())
    }

    async fn withdraw(
        self: Rc<Self>,
        params: agent::WithdrawParams,
        mut results: agent::WithdrawResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let known = self
            .agent
            .withdraw(text(params.get_endpoint())?, params.get_withdrawn());
        results.get().set_known(known);
        Ok(())
    }
}

impl<C: Clock + 'static> Serve for Agent<C> {
    async fn serve(self: Rc<Self>, accepted: Accepted) {
        let server: agent::Client = capnp_rpc::new_client(Server { agent: self });
        let peer = accepted.peer;
        if let Err(error) = link::serve(accepted, server.client, MAX_MESSAGE_BYTES).await {
            let why = error.to_string();
            Event::ConnectionFailed { peer, why: &why }.log();
        }
    }
}

impl<C: Clock + 'static> Watcher for Agent<C> {
    fn changed(&self, endpoint: &Endpoint, address: SocketAddr) {
        self.driver.feed(Input::Announced { endpoint, address });
        self.wake_heartbeat();
    }

    fn progressed(&self) {
        if let Some(reporter) = self.reporter.get() {
            reporter.wake();
        }
    }
}

impl<C: Clock + 'static> Source for Agent<C> {
    fn member(&self) -> Member {
        self.member.borrow().clone()
    }

    fn reports(&self) -> Vec<Report> {
        self.memory.reports()
    }

    fn order(&self, fence: Fence, orders: &[Order]) {
        self.memory.order(fence, orders, self);
    }
}

impl<C: Clock + 'static> Subscriber for Agent<C> {
    fn member(&self) -> Member {
        let machine = self.driver.machine();
        let mut member = self.member.borrow().clone();
        member.configuration = machine.configuration().number();
        member.endpoints = machine.endpoints();
        member
    }

    fn known(&self) -> Known {
        Known {
            configuration: self.driver.machine().configuration().number(),
            directory: Cursor::UNSUBSCRIBED,
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

impl<C: Clock + 'static> operators::Role for Agent<C> {
    fn metrics(&self) -> &Metrics {
        let machine = self.driver.machine();
        self.metrics.load.set(machine.in_flight(), machine.queued());
        &self.metrics
    }

    fn ready(&self) -> bool {
        !self.driver.machine().endpoints().is_empty()
    }

    async fn answer(self: Rc<Self>, request: Request<Upload>) -> Option<Response<Body>> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/endpoints") => Some(self.answer_announcement(request).await),
            _ => None,
        }
    }
}
