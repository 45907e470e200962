//! The role that holds the configuration and the directory.

use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::Rc;

use compio::net::TcpStream;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use nutmegyoke_core::process as decision;
use nutmegyoke_core::process::control::{Acceptance, Command, Event as Input};
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::news::News;
use nutmegyoke_core::process::{Clock, Member};
use nutmegyoke_core::request::claim;
use nutmegyoke_core::version::Configuration;
use nutmegyoke_wire::connection::link::text;
use nutmegyoke_wire::connection::link_capnp::{agent, control};
use nutmegyoke_wire::connection::order_capnp::scheduler;
use nutmegyoke_wire::process::{Settings, Status, member, news};
use nutmegyoke_wire::request as wire;
use nutmegyoke_wire::version::json;
use prometheus::Registry;

use super::driver::Addressed;
use super::operators::{self, Operators, respond};
use super::{Driver, Event, Failure, Metrics, Scheduling, withdrawal};
use crate::connection::listener::Serve;
use crate::connection::{Latch, Listener, Pool, link};
use crate::request::Body;

/// The longest configuration, in bytes of JSON.
const CONFIGURATION_BYTES: usize = 8 * 1024 * 1024;

/// The term of a control process that no other can follow.
const FIRST_TERM: Option<u64> = Some(1);

/// A running control process.
pub struct Control<C: Clock + 'static> {
    driver: Rc<Driver<decision::Control, C>>,
    scheduling: Scheduling<C>,
    metrics: Metrics,
    member: Member,
    listeners: OnceCell<[Listener; 2]>,
    closing: Latch,
    agents: Rc<Pool<agent::Client>>,
}

impl Addressed for Command {
    fn addressee(&self) -> Option<u64> {
        match self {
            Self::Teach { call, .. }
            | Self::Judge { call, .. }
            | Self::Record { call }
            | Self::Answer { call, .. } => Some(*call),
        }
    }
}

impl<C: Clock + 'static> Control<C> {
    /// Spawns a control process on the current loop.
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
        let member = super::member(settings, &clock, Role::Control);
        let machine = decision::Control::open(member.vm.run());
        let (driver, _background) = Driver::spawn(machine, clock.clone());
        let control = Rc::new(Self {
            driver,
            scheduling: Scheduling::spawn(settings.planner.settings(), clock),
            metrics: Metrics::open(registry, &member)?,
            member,
            listeners: OnceCell::new(),
            closing: Latch::default(),
            agents: Rc::default(),
        });
        let listener = Listener::bind(settings.listen, "listen", Rc::clone(&control)).await?;
        let operators = Operators::open(&control);
        let operators = Listener::bind(settings.operators, "operators", operators).await?;
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
        self.scheduling.update(FIRST_TERM, machine.configuration());
    }

    /// Stops accepting connections.
    pub fn close(&self) {
        for listener in self.listeners.get().into_iter().flatten() {
            listener.close();
        }
    }

    /// Takes nothing new, and waits until the operators' requests are answered.
    pub async fn drain(&self) {
        self.close();
        self.closing.open();
        super::drained(|| self.in_flight()).await;
    }

    /// Connections of operators that are open.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let operators = self.listeners.get().map(|[_, operators]| operators);
        operators.map_or(0, Listener::connections)
    }

    /// Submits a configuration.
    pub async fn apply(&self, configuration: &Rc<Configuration>) -> Option<Acceptance> {
        let mut mailbox = self.driver.open();
        self.driver.feed(Input::Applied {
            call: mailbox.number(),
            configuration,
        });
        match mailbox.next().await {
            Some(Command::Answer { acceptance, .. }) => Some(acceptance),
            _ => None,
        }
    }

    async fn exchange(&self, params: &control::ExchangeParams) -> capnp::Result<News> {
        let params = params.get()?;
        let member = member::read(params.get_member()?)?;
        let known = news::read_known(params.get_known()?)?;
        let mut mailbox = self.driver.open();
        self.driver.feed(Input::Exchanged {
            call: mailbox.number(),
            member: &member,
            known,
        });
        match mailbox.next().await {
            Some(Command::Teach { news, .. }) => Ok(news),
            _ => Err(gone()),
        }
    }

    async fn claim(&self, params: &control::ClaimParams) -> capnp::Result<claim::Outcome> {
        let params = params.get()?;
        let name = wire::claim::read_name(params.get_name()?)?;
        let mut mailbox = self.driver.open();
        self.driver.feed(Input::Claimed {
            call: mailbox.number(),
            name: &name,
            holder: wire::id::read(params.get_holder()?),
            digest: params.get_digest(),
        });
        match mailbox.next().await {
            Some(Command::Judge { outcome, .. }) => Ok(outcome),
            _ => Err(gone()),
        }
    }

    async fn conclude(&self, params: &control::ConcludeParams) -> capnp::Result<()> {
        let params = params.get()?;
        let name = wire::claim::read_name(params.get_name()?)?;
        let mut mailbox = self.driver.open();
        self.driver.feed(Input::Concluded {
            call: mailbox.number(),
            name: &name,
            holder: wire::id::read(params.get_holder()?),
            verdict: wire::verdict::read(params.get_verdict()?)?,
            vm: text(params.get_vm())?,
        });
        match mailbox.next().await {
            Some(Command::Record { .. }) => Ok(()),
            _ => Err(gone()),
        }
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
            let why = b"the control process is stopping\n".to_vec();
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

    fn status(&self) -> Response<Body> {
        let machine = self.driver.machine();
        let status = Status {
            number: machine.configuration().number(),
            digest: machine.configuration().digest(),
            members: machine.directory().members().cloned().collect(),
        };
        respond(StatusCode::OK, "application/json", status.encode())
    }
}

fn gone() -> capnp::Error {
    capnp::Error::failed("the control process is gone".to_owned())
}

/// The interface that other processes call; a type of its own because capnp owns it.
struct Offer<C: Clock + 'static> {
    control: Rc<Control<C>>,
}

impl<C: Clock + 'static> control::Server for Offer<C> {
    async fn exchange(
        self: Rc<Self>,
        params: control::ExchangeParams,
        mut results: control::ExchangeResults,
    ) -> capnp::Result<()> {
        let news = self.control.exchange(&params).await?;
        news::write(&news, results.get().init_news());
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: control::ClaimParams,
        mut results: control::ClaimResults,
    ) -> capnp::Result<()> {
        let outcome = self.control.claim(&params).await?;
        wire::claim::write_outcome(&outcome, results.get().init_outcome());
        Ok(())
    }

    async fn conclude(
        self: Rc<Self>,
        params: control::ConcludeParams,
        _: control::ConcludeResults,
    ) -> capnp::Result<()> {
        self.control.conclude(&params).await
    }
}

impl<C: Clock + 'static> scheduler::Server for Offer<C> {
    async fn report(
        self: Rc<Self>,
        params: scheduler::ReportParams,
        results: scheduler::ReportResults,
    ) -> capnp::Result<()> {
        self.control.schedule();
        self.control.scheduling.report(&params, results).await
    }
}

impl<C: Clock + 'static> Serve for Control<C> {
    async fn serve(self: Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        let offer: control::Client = capnp_rpc::new_client(Offer { control: self });
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
        true
    }

    fn closed(&self) -> impl Future<Output = ()> {
        self.closing.opened()
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/configuration") => Some(self.take(request).await),
            (&Method::POST, "/v1/withdrawal") => {
                let member = |name: &str| {
                    let machine = self.driver.machine();
                    machine.directory().member(name).cloned()
                };
                Some(withdrawal::take(request, &self.agents, member).await)
            }
            (&Method::POST, "/v1/plan") => {
                self.schedule();
                Some(self.scheduling.take(request).await)
            }
            (&Method::GET, "/v1/status") => Some(self.status()),
            _ => None,
        }
    }
}
