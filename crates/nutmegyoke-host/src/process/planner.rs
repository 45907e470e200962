//! The planner of a control process, which decides the weights that each engine holds.
//!
//! It receives the reports of agents on their engines and the replicated configuration, and
//! answers each report with the orders for that agent. Only the planner of the leader plans;
//! it starts from the reports and has no durable state.

use std::rc::Rc;

use crate::connection::Upload;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, Response, StatusCode};
use nutmegyoke_core::process::control::Scheduler;
use nutmegyoke_core::process::control::planner::scheduler::{Command, Event as Input};
use nutmegyoke_core::process::control::planner::{Preview, Settings};
use nutmegyoke_core::process::{Clock, DataCentre};
use nutmegyoke_core::version::Configuration;
use nutmegyoke_wire::connection::convert::{length, text};
use nutmegyoke_wire::connection::order_capnp::scheduler;
use nutmegyoke_wire::process::{order, preview, report};
use nutmegyoke_wire::version::json;

use super::Driver;
use super::driver::Addressed;
use super::operators::respond;
use crate::request::Body;

/// The maximum size of an operator's lists, in bytes of JSON.
const MAX_LISTS_BYTES: usize = 8 * 1024 * 1024;

/// The answer of a process that does not lead and so can't plan.
const NOT_LEADER: &str = "this control process does not lead: ask another one";

/// A running planner.
pub struct Planner<C: Clock + 'static> {
    driver: Rc<Driver<Scheduler, C>>,
}

impl Addressed for Command {
    fn addressee(&self) -> Option<u64> {
        match self {
            Self::Order { call, .. } | Self::Decline { call } => Some(*call),
        }
    }
}

impl<C: Clock + 'static> Planner<C> {
    /// Spawns the planner. It does not plan before [`Planner::update`] reports that this
    /// process leads.
    pub fn spawn(settings: Settings, clock: C) -> Self {
        let (driver, _background) = Driver::spawn(Scheduler::open(settings), clock);
        Self { driver }
    }

    /// Updates the term in which this process leads, `None` if it does not lead, and
    /// the configuration in force.
    pub fn update(&self, term: Option<u64>, configuration: &Rc<Configuration>) {
        self.driver.feed(Input::LeadershipChanged { term });
        let current = self.driver.machine().configuration();
        if current != configuration.number() {
            self.driver.feed(Input::Configured { configuration });
        }
    }

    /// The moves that a configuration would cause; `None` if this process does not lead.
    #[must_use]
    pub fn preview(&self, configuration: &Configuration) -> Option<Preview> {
        let now = self.driver.clock().now();
        self.driver.machine().preview(now, configuration)
    }

    /// Answers an operator's request for the moves that the plans and grants lists in its
    /// body would cause.
    pub async fn answer_preview(&self, request: Request<Upload>) -> Response<Body> {
        let body = Limited::new(request.into_body(), MAX_LISTS_BYTES);
        let lists = match body.collect().await {
            Ok(body) => json::decode(&body.to_bytes()).map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        let checked =
            lists.and_then(|lists| Configuration::open(lists).map_err(|fault| fault.to_string()));
        let configuration = match checked {
            Ok(configuration) => configuration,
            Err(why) => return respond(StatusCode::BAD_REQUEST, "text/plain", why.into_bytes()),
        };
        match self.preview(&configuration) {
            Some(moves) => respond(StatusCode::OK, "application/json", preview::encode(&moves)),
            None => respond(
                StatusCode::SERVICE_UNAVAILABLE,
                "text/plain",
                NOT_LEADER.into(),
            ),
        }
    }

    /// Borrows the planner's state machine, to read its state.
    #[must_use]
    pub fn machine(&self) -> std::cell::Ref<'_, Scheduler> {
        self.driver.machine()
    }

    /// Applies an agent's report and answers with the orders for the agent.
    ///
    /// # Errors
    ///
    /// The agent's message is malformed.
    pub async fn report(
        &self,
        params: &scheduler::ReportParams,
        mut results: scheduler::ReportResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let reports = params.get_reports()?.iter().map(report::read);
        let reports = reports.collect::<capnp::Result<Vec<_>>>()?;
        let data_centre: DataCentre = text(params.get_data_centre())?.into();
        let mut mailbox = self.driver.open();
        self.driver.feed(Input::Reported {
            call: mailbox.number(),
            vm: text(params.get_vm())?,
            data_centre: &data_centre,
            reports: &reports,
        });
        let mut results = results.get();
        if let Some(Command::Order {
            fence,
            orders,
            full,
            ..
        }) = mailbox.next().await
        {
            results.set_leader(true);
            results.set_whole(full);
            order::write_fence(fence, results.reborrow().init_seal());
            let mut list = results.init_orders(length(orders.len()));
            for (index, row) in (0..).zip(&orders) {
                order::write(row, list.reborrow().get(index));
            }
        }
        Ok(())
    }
}
