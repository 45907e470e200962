//! State that lives as long as a process: the roles, the drivers of their state machines,
//! the log and the metrics.
//!
//! A role is a state machine of `nutmegyoke-core` in a [`Driver`], with the listeners and
//! tasks around it:
//!
//! * [`entry`] accepts callers' requests and submits each to the agent of an endpoint;
//! * [`agent`] forwards the requests of entries to the endpoints on its VM, and [`memory`]
//!   carries out control's orders on the engines among them;
//! * [`control`] answers the heartbeats of entries and agents with the configuration and the
//!   directory, and its [`Planner`] decides which engine holds which weights;
//! * [`gateway`] passes clients' requests through to endpoints without an agent;
//! * [`steward`] loads and unloads models and adapters on one engine at the request of
//!   gateways.
//!
//! Control processes and gateways keep replicated state in a [`journal`] if they have a data
//! folder. All other state is in memory and ends with the process.

pub mod agent;
pub mod attainment;
pub mod cache;
pub mod choices;
pub mod clock;
pub mod codec;
pub mod control;
pub mod driver;
pub mod engine;
pub mod entry;
pub mod event;
pub mod failure;
pub mod gateway;
pub mod heartbeat;
pub mod journal;
pub mod load;
pub mod log;
pub mod memory;
pub mod metrics;
pub mod occupancy;
pub mod operators;
pub mod passthrough;
mod planner;
pub mod reporter;
mod sampler;
pub mod shutdown;
pub mod signal;
pub mod steward;
pub mod tenants;
pub mod withdrawal;

pub use agent::Agent;
pub use codec::Codec;
pub use control::Control;
pub use driver::Driver;
pub use entry::Entry;
pub use event::Event;
pub use failure::Failure;
pub use gateway::Gateway;
pub use memory::Memory;
pub use metrics::Admission;
pub use metrics::Metrics;
pub use occupancy::Occupancy;
pub use planner::Planner;
pub use reporter::Reporter;
pub use steward::Steward;

use std::net::SocketAddr;
use std::time::{Duration, UNIX_EPOCH};

use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::update::Update;
use nutmegyoke_core::process::{Clock, Member, Vm};
use nutmegyoke_wire::process::Settings;

/// The interval at which a draining process checks whether it is idle.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Describes the process, with the present time as its incarnation.
fn member(settings: &Settings, clock: &impl Clock, role: Role) -> Member {
    let since = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    Member {
        vm: Vm {
            name: settings.name.clone(),
            incarnation: u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
        },
        role,
        data_centre: settings.data_centre.clone(),
        address: settings.advertised(),
        endpoints: Vec::new(),
        configuration: 0,
    }
}

/// Logs that a role has started, with its addresses.
fn log_start(member: &Member, listen: SocketAddr, operators: SocketAddr) {
    Event::Started {
        role: member.role,
        vm: &member.vm,
        listen,
        operators,
    }
    .log();
}

/// Logs the configuration of an update, if it has one, and sets the metric.
fn log_configuration(metrics: &Metrics, update: &Update) {
    let Some(configuration) = &update.configuration else {
        return;
    };
    let number = configuration.number();
    metrics
        .configuration
        .set(i64::try_from(number).unwrap_or(i64::MAX));
    Event::Configured { number }.log();
}

/// Logs that the process drains and waits until nothing is in flight.
async fn wait_until_idle(in_flight: impl Fn() -> usize) {
    Event::Draining {
        in_flight: in_flight(),
    }
    .log();
    while in_flight() > 0 {
        compio::time::sleep(IDLE_POLL_INTERVAL).await;
    }
}
