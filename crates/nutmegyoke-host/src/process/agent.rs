//! The role beside the endpoints of a VM.

use std::cell::{OnceCell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use compio::net::TcpStream;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use nutmegyoke_core::process as decision;
use nutmegyoke_core::process::agent::{Command, Event as Input};
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::news::{Known, News};
use nutmegyoke_core::process::order::{Fence, Order};
use nutmegyoke_core::process::{Clock, Endpoint, Member, Report};
use nutmegyoke_core::request::Submission;
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
        super::drained(|| self.driver.machine().in_flight()).await;
    }

    fn hurry(&self) {
        if let Some(heartbeat) = self.heartbeat.get() {
            heartbeat.hurry();
        }
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
        });
        match self.mailbox.next().await {
            Some(Command::Start { address, .. }) => {
                Ok(self.call(address, &submission, &payload, &answer).await)
            }
            Some(Command::Refuse { reason, .. }) => {
                self.agent.metrics.refused(reason);
                Ok(Outcome {
                    verdict: Command::verdict(reason),
                    chunks: 0,
                    record: None,
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
        let mut outcome = call::run(&agent.client, address, payload, answer, keep).await;
        if let Some(record) = outcome.record.take() {
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
        let mut results = results.get();
        results.set_chunks(outcome.chunks);
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
            ..Known::default()
        }
    }

    fn learn(&self, news: &News) {
        self.driver.feed(Input::Taught { news });
        super::log_configuration(&self.metrics, news);
    }
}

impl<C: Clock + 'static> operators::Role for Agent<C> {
    fn metrics(&self) -> &Metrics {
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
