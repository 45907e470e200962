//! The role beside the endpoints of a VM.

use std::cell::{OnceCell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use compio::net::TcpStream;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use nutmegyoke_core::process as decision;
use nutmegyoke_core::process::agent::{Command, Event as Input};
use nutmegyoke_core::process::directory::Mark;
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::news::{Known, News};
use nutmegyoke_core::process::order::{Fence, Order};
use nutmegyoke_core::process::{Clock, Endpoint, Member, Report};
use nutmegyoke_core::request::Submission;
use nutmegyoke_core::version::Configuration;
use nutmegyoke_wire::connection::convert::{milliseconds, text};
use nutmegyoke_wire::connection::link_capnp::{agent, answer};
use nutmegyoke_wire::process::{Announcement, Settings};
use nutmegyoke_wire::request::{Payload, id, submission, verdict};
use prometheus::Registry;

use super::driver::{Addressed, Mailbox};
use super::heartbeat::{Heartbeat, Learner};
use super::kept::Kept;
use super::memory::Watcher;
use super::operators::{self, Operators, respond};
use super::reporter::Governor;
use super::{Driver, Event, Failure, Memory, Metrics, Reporter, engine};
use crate::connection::listener::Serve;
use crate::connection::{Listener, link};
use crate::request::Body;
use crate::request::call::{self, Outcome};

/// The longest announcement of an endpoint, in bytes.
const ANNOUNCEMENT_BYTES: usize = 256 * 1024;

/// How long it takes until each entry has heard of a change: its own heartbeat
/// and the agent's.
const ANNOUNCED: Duration = Duration::from_millis(2500);

/// How long the last verdicts take to the entries' connections.
const FLUSHED: Duration = Duration::from_millis(200);

/// A running agent.
pub struct Agent<C: Clock + 'static> {
    driver: Rc<Driver<decision::Agent, C>>,
    client: cyper::Client,
    metrics: Metrics,
    member: RefCell<Member>,
    known: RefCell<HashSet<String>>,
    kept: RefCell<Kept>,
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
    /// Spawns an agent on the current loop.
    ///
    /// # Errors
    ///
    /// An address can't be bound.
    pub async fn spawn(
        settings: &Settings,
        clock: C,
        registry: &Registry,
    ) -> Result<Rc<Self>, Failure>
    where
        C: Clone,
    {
        let member = super::member(settings, &clock, Role::Agent);
        let run = member.vm.incarnation;
        let (driver, _background) = Driver::spawn(decision::Agent::open(run), clock.clone());
        let client = cyper::Client::builder()
            .redirect(cyper::redirect::Policy::none())
            .build();
        let client = client.map_err(|source| Failure::Client { source })?;
        let metrics = Metrics::open(registry, &member)?;
        let engines = engine::Http::open(client.clone());
        let agent = Rc::new_cyclic(|this| Self {
            driver,
            client,
            metrics,
            memory: Memory::spawn(engines, clock, run, Weak::clone(this)),
            reporter: OnceCell::new(),
            member: RefCell::new(member),
            known: RefCell::default(),
            kept: RefCell::default(),
            heartbeat: OnceCell::new(),
            listeners: OnceCell::new(),
        });
        let listener = Listener::bind(settings.listen, "listen", Rc::clone(&agent)).await?;
        agent.member.borrow_mut().address = listener.address();
        let operators = Operators::open(&agent);
        let operators = Listener::bind(settings.operators, "operators", operators).await?;
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

    /// Where endpoints announce themselves.
    #[must_use]
    pub fn operators(&self) -> Option<SocketAddr> {
        let [_, operators] = self.listeners.get()?;
        Some(operators.address())
    }

    /// Takes nothing new and waits until nothing is in flight.
    pub async fn drain(&self) {
        self.driver.feed(Input::Drained);
        self.hurry();
        super::drained(|| self.in_flight()).await;
    }

    /// As [`Agent::drain`], and waits until every entry knows that this agent
    /// leaves and has the verdicts of its requests.
    ///
    /// An entry that submitted to a process which is gone could not tell whether
    /// the request ran.
    pub async fn leave(&self) {
        let announced = compio::time::sleep(ANNOUNCED);
        futures_util::join!(self.drain(), announced);
        loop {
            compio::time::sleep(FLUSHED).await;
            if self.in_flight() == 0 {
                return;
            }
        }
    }

    /// Requests queued or running.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.driver.machine().in_flight()
    }

    fn hurry(&self) {
        if let Some(heartbeat) = self.heartbeat.get() {
            heartbeat.hurry();
        }
    }

    /// Withdraws an endpoint by an operator's order, or puts it back; all when
    /// `name` is empty. Returns whether there is such an endpoint.
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
        self.hurry();
        !chosen.is_empty()
    }

    /// Takes an endpoint's announcement in; it renews it every second.
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
        if self.known.borrow_mut().insert(endpoint.name.clone()) {
            let name = &endpoint.name;
            Event::Announced {
                name,
                address: *address,
            }
            .log();
        }
        if before != self.driver.machine().endpoints() {
            self.hurry();
        }
        Ok(())
    }

    async fn take(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let body = Limited::new(request.into_body(), ANNOUNCEMENT_BYTES);
        let announced = match body.collect().await {
            Ok(body) => self.announce(&body.to_bytes()),
            Err(error) => Err(error.to_string()),
        };
        match announced {
            Ok(()) => respond(StatusCode::NO_CONTENT, "text/plain", Vec::new()),
            Err(why) => {
                Event::AnnouncementRefused { why: &why }.log();
                respond(StatusCode::BAD_REQUEST, "text/plain", why.into_bytes())
            }
        }
    }
}

/// A submission in the agent's machine; dropping it ends the call.
struct Ticket<C: Clock + 'static> {
    agent: Rc<Agent<C>>,
    mailbox: Mailbox<decision::Agent, C>,
}

impl<C: Clock + 'static> Ticket<C> {
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
                Ok(self.call(address, &submission, &payload, &answer).await)
            }
            Some(Command::Refuse { reason, after, .. }) => {
                self.agent.metrics.refused(reason);
                let request = Some(submission.id);
                Event::Refused { request, reason }.log();
                Ok(Outcome {
                    verdict: Command::verdict(reason),
                    chunks: 0,
                    cached: None,
                    after,
                })
            }
            None => Err(capnp::Error::failed("the agent is gone".to_owned())),
        }
    }
}

impl<C: Clock + 'static> Ticket<C> {
    /// Sends the request to its endpoint and keeps the answer for resends.
    async fn call(
        &self,
        address: SocketAddr,
        submission: &Submission,
        payload: &Payload<'_>,
        answer: &answer::Client,
    ) -> Outcome {
        let agent = &self.agent;
        let keep = submission.keyed;
        let call = self.mailbox.number();
        let answered = || agent.driver.feed(Input::Answered { call });
        let run = call::run(&agent.client, address, payload, answer, keep, answered);
        let mut outcome = run.await;
        if let Some(record) = outcome.cached.take() {
            let now = agent.driver.clock().now();
            agent.kept.borrow_mut().insert(now, submission.id, record);
        }
        outcome
    }
}

impl<C: Clock + 'static> Drop for Ticket<C> {
    fn drop(&mut self) {
        let call = self.mailbox.number();
        self.agent.driver.feed(Input::Finished { call });
        self.agent.memory.end(call);
    }
}

/// The interface that entries call; a type of its own because capnp owns it.
struct Offer<C: Clock + 'static> {
    agent: Rc<Agent<C>>,
}

impl<C: Clock + 'static> agent::Server for Offer<C> {
    async fn submit(
        self: Rc<Self>,
        params: agent::SubmitParams,
        mut results: agent::SubmitResults,
    ) -> capnp::Result<()> {
        self.agent.metrics.requests.inc();
        let mut ticket = Ticket {
            agent: Rc::clone(&self.agent),
            mailbox: self.agent.driver.open(),
        };
        let outcome = ticket.run(&params).await?;
        let endpoint = text(params.get()?.get_submission()?.get_endpoint())?;
        let mut results = results.get();
        // The ended request itself still counts; the entry takes it out when it learns.
        results.set_load(self.agent.driver.machine().load(endpoint));
        results.set_chunks(outcome.chunks);
        results.set_retry_after_ms(milliseconds(outcome.after));
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
        let record = self.agent.kept.borrow_mut().get(now, id);
        let mut results = results.get();
        if let Some(record) = record {
            let answer = params.get_answer()?;
            results.set_chunks(call::replay(record, &answer).await?);
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
    async fn serve(self: Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        let offer: agent::Client = capnp_rpc::new_client(Offer { agent: self });
        if let Err(error) = link::serve(stream, offer.client).await {
            let why = error.to_string();
            Event::ConnectionFailed { peer, why: &why }.log();
        }
    }
}

impl<C: Clock + 'static> Watcher for Agent<C> {
    fn changed(&self, endpoint: &Endpoint, address: SocketAddr) {
        self.driver.feed(Input::Announced { endpoint, address });
        self.hurry();
    }

    fn progressed(&self) {
        if let Some(reporter) = self.reporter.get() {
            reporter.hurry();
        }
    }
}

impl<C: Clock + 'static> Governor for Agent<C> {
    fn member(&self) -> Member {
        self.member.borrow().clone()
    }

    fn reports(&self) -> Vec<Report> {
        self.memory.reports()
    }

    fn order(&self, seal: Fence, orders: &[Order]) {
        self.memory.order(seal, orders, self);
    }
}

impl<C: Clock + 'static> Learner for Agent<C> {
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
            directory: Mark::UNSUBSCRIBED,
        }
    }

    fn configuration(&self) -> Rc<Configuration> {
        Rc::clone(self.driver.machine().configuration())
    }

    fn learn(&self, update: &News) {
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

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/endpoints") => Some(self.take(request).await),
            _ => None,
        }
    }
}
