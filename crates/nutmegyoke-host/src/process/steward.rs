//! The steward, which runs beside one engine and is the only process that sends it
//! orders.
//!
//! Gateways call it to have an adapter loaded or, by a directive of the leader, to have
//! models replaced. The state machine turns these calls into orders, each based on an
//! inspection of the engine. It is in memory only; a restarted steward inspects the engine
//! again.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::Duration;

use futures_channel::mpsc;
use futures_util::StreamExt;
use hyper::{Request, Response};
use nutmegyoke_core::process as decision;
use nutmegyoke_core::process::account::Side;
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::origin::{Build, Stream};
use nutmegyoke_core::process::steward::{
    Ask, Command, Event as Input, Load, Order, Outcome, Unanswered, View,
};
use nutmegyoke_core::process::{Clock, Member};
use nutmegyoke_wire::connection::convert::{length, milliseconds, set_texts, text};
use nutmegyoke_wire::connection::mesh_capnp::steward;
use nutmegyoke_wire::process::{Settings, settings, work};
use prometheus::Registry;

use super::driver::Addressed;
use super::operators::{self, Operators};
use super::{Admission, Driver, Event, Failure, Metrics};
use crate::connection::listener::{Accepted, Serve};
use crate::connection::{Account, Listener, Upload, link};
use crate::request::Body;

/// How long the engine may take to report its load. It answers within a few milliseconds, and
/// gateways wait 100 ms for the answer that depends on it.
const LOAD_TIMEOUT: Duration = Duration::from_millis(80);

/// The longest call of a gateway, in bytes. The longest one names all models of a service.
const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// The client side of the protocol between a steward and its engine. An agent speaks another
/// protocol with its engines, see [`super::engine`].
pub trait Engine: 'static {
    /// Why there is no usable answer from the engine.
    type Failure: std::fmt::Display;

    /// Requests a view of what the engine holds.
    ///
    /// # Errors
    ///
    /// The engine did not answer, or the answer is not a view.
    fn inspect(&self) -> impl Future<Output = Result<View, Self::Failure>>;

    /// Requests a report of the engine's requests and memory.
    ///
    /// # Errors
    ///
    /// The engine did not answer, or the answer is not a report.
    fn load(&self) -> impl Future<Output = Result<Load, Self::Failure>>;

    /// Sends an order that takes effect only if the engine has accepted exactly
    /// `expected` orders before and has seen no fencing number above `fence`. Returns whether
    /// the engine accepted it; never [`Outcome::Lost`].
    ///
    /// # Errors
    ///
    /// The engine did not answer. The order may still have taken effect or take effect
    /// later.
    fn order(
        &self,
        order: &Order,
        expected: u64,
        fence: u64,
    ) -> impl Future<Output = Result<Outcome, Self::Failure>>;
}

/// A running steward.
pub struct Steward<C: Clock + 'static> {
    driver: Rc<Driver<decision::Steward, C>>,
    metrics: Metrics,
    /// Calls of gateways that wait for an answer.
    pending: Cell<usize>,
    listeners: OnceCell<[Listener; 2]>,
}

impl Addressed for Command {
    fn addressee(&self) -> Option<u64> {
        match self {
            Self::AnswerRequest { call, .. }
            | Self::AnswerDirective { call, .. }
            | Self::AnswerAsk { call, .. } => Some(*call),
            Self::Inspect | Self::Report | Self::Order { .. } => None,
        }
    }
}

impl<C: Clock + 'static> Steward<C> {
    /// Spawns a steward on the current event loop.
    ///
    /// # Errors
    ///
    /// An address can't be bound, or the metrics can't be registered.
    pub async fn spawn<E: Engine>(
        settings: &Settings,
        role_settings: &settings::Steward,
        engine: E,
        clock: C,
        registry: &Registry,
    ) -> Result<Rc<Self>, Failure>
    where
        C: Clone,
    {
        let member: Member = super::member(settings, &clock, Role::Steward);
        let account = Account::spawn(settings, clock.clone(), registry, &member)?;
        let machine = if role_settings.fences_checked {
            decision::Steward::open(member.vm.incarnation)
        } else {
            decision::Steward::default()
        };
        let (driver, background) = Driver::spawn(machine, clock);
        let this = Rc::new(Self {
            driver,
            metrics: Metrics::open(registry, &member)?,
            pending: Cell::new(0),
            listeners: OnceCell::new(),
        });
        let listener = Listener::bind_in(
            &account,
            Side::Peers,
            settings.listen,
            "listen",
            Rc::clone(&this),
        )
        .await?;
        let operators = Operators::open(&this);
        let operators = Listener::bind_in(
            &account,
            Side::Peers,
            settings.operators,
            "operators",
            operators,
        )
        .await?;
        super::log_start(&member, listener.address(), operators.address());
        let _ = this.listeners.set([listener, operators]);
        let task = run(Rc::clone(&this.driver), background, engine);
        compio::runtime::spawn(task).detach();
        Ok(this)
    }

    /// The number of calls by gateways that wait for an answer.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.pending.get()
    }

    /// Stops accepting connections and waits until all calls are answered.
    pub async fn drain(&self) {
        for listener in self.listeners.get().into_iter().flatten() {
            listener.close();
        }
        super::wait_until_idle(|| self.in_flight()).await;
    }
}

/// Carries out the machine's commands. The machine waits for the end of an inspection or an order
/// before the next one, so at most one order is in flight.
async fn run<C: Clock + 'static, E: Engine>(
    driver: Rc<Driver<decision::Steward, C>>,
    mut background: mpsc::UnboundedReceiver<Command>,
    engine: E,
) {
    let engine = Rc::new(engine);
    while let Some(command) = background.next().await {
        match command {
            Command::Inspect => {
                let inspection = inspect(Rc::clone(&driver), Rc::clone(&engine));
                compio::runtime::spawn(inspection).detach();
            }
            Command::Order {
                order,
                expected,
                fence,
            } => {
                let (driver, engine) = (Rc::clone(&driver), Rc::clone(&engine));
                compio::runtime::spawn(async move {
                    let sent = engine.order(&order, expected, fence).await;
                    let outcome = log_order(&order, expected, sent);
                    driver.feed(Input::Ordered { outcome });
                })
                .detach();
            }
            Command::Report => {
                let report = report(Rc::clone(&driver), Rc::clone(&engine));
                compio::runtime::spawn(report).detach();
            }
            // These go to the mailboxes of the waiting calls.
            Command::AnswerRequest { .. }
            | Command::AnswerDirective { .. }
            | Command::AnswerAsk { .. } => {}
        }
    }
}

/// Requests a view of the engine and feeds it.
async fn inspect<C: Clock + 'static, E: Engine>(
    driver: Rc<Driver<decision::Steward, C>>,
    engine: Rc<E>,
) {
    let view = engine.inspect().await;
    if let Err(failure) = &view {
        let why = failure.to_string();
        Event::EngineSilent { why: &why }.log();
    }
    let view = view.as_ref().ok();
    driver.feed(Input::Inspected { view });
}

/// Requests the engine's load and feeds the report.
async fn report<C: Clock + 'static, E: Engine>(
    driver: Rc<Driver<decision::Steward, C>>,
    engine: Rc<E>,
) {
    let load = async {
        // The engine may have closed the idle connection that the first call uses.
        match engine.load().await {
            Ok(load) => Ok(load),
            Err(_) => engine.load().await,
        }
    };
    let (load, why) = match compio::time::timeout(LOAD_TIMEOUT, load).await {
        Ok(Ok(load)) => (Some(load), String::new()),
        Ok(Err(failure)) => (None, failure.to_string()),
        Err(elapsed) => (None, elapsed.to_string()),
    };
    if load.is_none() {
        Event::LoadUnknown { why: &why }.log();
    }
    let load = load.as_ref();
    driver.feed(Input::Reported { load });
}

/// Logs an order with its outcome and returns the outcome.
fn log_order<F: std::fmt::Display>(
    order: &Order,
    expected: u64,
    sent: Result<Outcome, F>,
) -> Outcome {
    let (outcome, why) = match sent {
        Ok(outcome) => (outcome, String::new()),
        Err(failure) => (Outcome::Lost, failure.to_string()),
    };
    Event::EngineOrdered {
        model: &order.model,
        adapter: order.adapter.as_deref(),
        load: order.action == decision::steward::Action::Load,
        expected,
        outcome,
        why: &why,
    }
    .log();
    outcome
}

/// Implements the interface that gateways call; a separate type, because capnp owns
/// the implementation.
struct Server<C: Clock + 'static>(Rc<Steward<C>>);

impl<C: Clock + 'static> Serve for Steward<C> {
    async fn serve(self: Rc<Self>, accepted: Accepted) {
        let server: steward::Client = capnp_rpc::new_client(Server(self));
        let peer = accepted.peer;
        if let Err(error) = link::serve(accepted, server.client, MAX_MESSAGE_BYTES).await {
            let why = error.to_string();
            Event::ConnectionFailed { peer, why: &why }.log();
        }
    }
}

/// A call of a gateway that waits for an answer; dropping it cancels the call in the
/// state machine.
struct Waiter<'a, C: Clock + 'static> {
    steward: &'a Steward<C>,
    call: u64,
}

impl<'a, C: Clock + 'static> Waiter<'a, C> {
    fn open(steward: &'a Steward<C>, call: u64) -> Self {
        steward.pending.set(steward.pending.get() + 1);
        Self { steward, call }
    }
}

impl<C: Clock + 'static> Drop for Waiter<'_, C> {
    fn drop(&mut self) {
        let pending = &self.steward.pending;
        pending.set(pending.get() - 1);
        let call = self.call;
        self.steward.driver.feed(Input::Cancelled { call });
    }
}

impl<C: Clock + 'static> steward::Server for Server<C> {
    async fn prepare(
        self: Rc<Self>,
        params: steward::PrepareParams,
        mut results: steward::PrepareResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let steward = &*self.0;
        let mut mailbox = steward.driver.open();
        let call = mailbox.number();
        let _waiter = Waiter::open(steward, call);
        steward.driver.feed(Input::Requested {
            call,
            endpoint: text(params.get_endpoint())?,
            model: text(params.get_model())?,
            adapter: text(params.get_adapter())?,
            adapter_capacity: usize::try_from(params.get_slots()).unwrap_or(usize::MAX),
        });
        if let Some(Command::AnswerRequest { adapters, .. }) = mailbox.next().await {
            let list = results.get().init_adapters(length(adapters.len()));
            set_texts(list, adapters.iter().map(String::as_str));
        }
        Ok(())
    }

    async fn admit(
        self: Rc<Self>,
        params: steward::AdmitParams,
        mut results: steward::AdmitResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let steward = &*self.0;
        let mut mailbox = steward.driver.open();
        let call = mailbox.number();
        let _waiter = Waiter::open(steward, call);
        let ask = Ask {
            request: text(params.get_request())?,
            tenant: text(params.get_tenant())?,
            priority: params.get_priority(),
            uncached: u64::from(params.get_uncached()),
            tokens: u64::from(params.get_tokens()),
            limit: Duration::from_millis(params.get_limit_ms()),
            due: Duration::from_millis(params.get_due_ms()),
            gap: Some(Duration::from_millis(params.get_gap_ms())).filter(|gap| !gap.is_zero()),
            slots: params.get_slots(),
        };
        steward.driver.feed(Input::Asked {
            call,
            endpoint: text(params.get_endpoint())?,
            started_ms: params.get_started_ms(),
            ask,
        });
        let answer = match mailbox.next().await {
            Some(Command::AnswerAsk { answer, .. }) => answer,
            _ => Err(Unanswered::LoadUnknown),
        };
        let answer = answer.map_err(|why| capnp::Error::failed(why.to_string()))?;
        steward.metrics.count_admission(if answer.admitted {
            Admission::Admitted
        } else {
            Admission::Declined
        });
        let mut results = results.get();
        results.set_admitted(answer.admitted);
        results.set_start_ms(milliseconds(answer.start));
        results.set_ahead(answer.ahead);
        results.set_running(answer.running);
        results.set_waiting(answer.waiting);
        Ok(())
    }

    async fn note_origin(
        self: Rc<Self>,
        params: steward::NoteOriginParams,
        _: steward::NoteOriginResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        self.0.driver.feed(Input::OriginNoted {
            stream: Stream(params.get_stream()),
            build: Build(params.get_build()),
        });
        Ok(())
    }

    async fn recall_origin(
        self: Rc<Self>,
        params: steward::RecallOriginParams,
        mut results: steward::RecallOriginResults,
    ) -> capnp::Result<()> {
        let stream = Stream(params.get()?.get_stream());
        let now = self.0.driver.clock().now();
        let build = self.0.driver.machine().origin(now, stream);
        results.get().set_build(build.map_or(0, |build| build.0));
        Ok(())
    }

    async fn order(
        self: Rc<Self>,
        params: steward::OrderParams,
        mut results: steward::OrderResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let directive = work::read_directive(params.get_directive()?)?;
        let steward = &*self.0;
        let mut mailbox = steward.driver.open();
        let call = mailbox.number();
        let _waiter = Waiter::open(steward, call);
        steward.driver.feed(Input::Directed {
            call,
            term: params.get_term(),
            directive: &directive,
        });
        if let Some(Command::AnswerDirective { accepted, .. }) = mailbox.next().await {
            results.get().set_accepted(accepted);
        }
        Ok(())
    }
}

impl<C: Clock + 'static> operators::Role for Steward<C> {
    fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    fn ready(&self) -> bool {
        true
    }

    async fn answer(self: Rc<Self>, _: Request<Upload>) -> Option<Response<Body>> {
        None
    }
}
