//! The demo: a whole fleet in one process, on one event loop.
//!
//! An entry passes the callers' requests to one of two agents, each beside a stand-in engine;
//! the stand-in booking desk is beside the second agent. The control process keeps its
//! state in memory only, so that each run starts with the example lists.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use nutmegyoke_core::process::endpoint::Target;
use nutmegyoke_core::process::report::{Capacity, Fencing};
use nutmegyoke_core::version::Configuration;
use nutmegyoke_core::version::configuration::Lists;
use nutmegyoke_host::process::clock::{Kernel, System};
use nutmegyoke_host::process::{Agent, Control, Entry, log, shutdown};
use nutmegyoke_standin::engine::Behaviour;
use nutmegyoke_standin::engine::memory::Memory;
use nutmegyoke_standin::engine::orders::Orders;
use nutmegyoke_standin::{Desk, Engine, announcer};
use nutmegyoke_wire::process::settings::RoleSettings;
use nutmegyoke_wire::process::{Planner, Settings, settings};
use nutmegyoke_wire::version::ini;
use prometheus::Registry;

use super::run::{self, Failure};

/// The demo's plans list.
const PLANS: &str = include_str!("../../../examples/demo/plans.ini");

/// The demo's grants list.
const GRANTS: &str = include_str!("../../../examples/demo/grants.ini");

/// The loopback address with port 0, for which the system picks a free port.
const EPHEMERAL_LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The time that a stand-in engine takes to generate a token.
const TOKEN_INTERVAL: Duration = Duration::from_millis(20);

/// The time that a stand-in engine takes to carry out an order, such as a load.
const LOAD_DURATION: Duration = Duration::from_millis(100);

/// The accelerator memory of each stand-in engine.
const ENGINE_MEMORY_BYTES: u64 = 40_000_000_000;

/// The part of that memory that stays free of weights, for KV cache.
const KV_CACHE_BYTES: u64 = 10_000_000_000;

/// The interval at which the demo checks whether it is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The targets that have to be served before the demo prints its usage.
const SERVED_TARGETS: [Target<'_>; 3] = [
    Target::Model {
        model: "price-ml",
        adapter: None,
    },
    Target::Model {
        model: "grade-report",
        adapter: None,
    },
    Target::Service { service: "desk" },
];

/// Runs the demo until the process receives a signal to stop.
///
/// # Errors
///
/// A process of the demo cannot start, the signal handlers cannot be installed, or requests
/// were cut off at the stop.
pub async fn run(callers: SocketAddr, operators: SocketAddr) -> Result<(), Failure> {
    log::open("demo");
    let registry = Registry::new();
    let role_settings = settings::Control::default();
    let settings = process_settings(
        RoleSettings::Control(role_settings.clone()),
        "control-1",
        operators,
        &[],
    );
    let control =
        Control::spawn(&settings, &role_settings, System::open(Kernel), &registry).await?;
    let addresses: Vec<SocketAddr> = control.listen().into_iter().collect();
    control.apply(&configuration()?).await;
    let settings = process_settings(
        RoleSettings::Agent,
        "engine-vm-1",
        EPHEMERAL_LOOPBACK,
        &addresses,
    );
    let first_agent = Agent::spawn(&settings, System::open(Kernel), &registry).await?;
    let settings = process_settings(
        RoleSettings::Agent,
        "engine-vm-2",
        EPHEMERAL_LOOPBACK,
        &addresses,
    );
    let second_agent = Agent::spawn(&settings, System::open(Kernel), &registry).await?;
    let engines = [
        spawn_engine("engine-1", &first_agent).await?,
        spawn_engine("engine-2", &second_agent).await?,
    ];
    let desk = Desk::bind().await?;
    if let Some(agent) = second_agent.operators() {
        announcer::spawn(&desk, agent);
    }
    let role_settings = settings::Entry {
        callers,
        body_bytes: settings::DEFAULT_MAX_BODY_BYTES,
    };
    let settings = process_settings(
        RoleSettings::Entry(role_settings.clone()),
        "entry-1",
        EPHEMERAL_LOOPBACK,
        &addresses,
    );
    let entry = Entry::spawn(&settings, &role_settings, System::open(Kernel), &registry).await?;
    while !entry.serves(&SERVED_TARGETS) {
        compio::time::sleep(READY_POLL_INTERVAL).await;
    }
    print_usage(entry.callers().unwrap_or(callers), operators);
    let drain = async {
        entry.drain().await;
        first_agent.drain().await;
        second_agent.drain().await;
        control.drain().await;
    };
    let stop = shutdown::run(None, || entry.in_flight(), drain).await?;
    drop(engines);
    run::stop_result(stop)
}

fn configuration() -> Result<Rc<Configuration>, Failure> {
    let lists = Lists {
        number: 1,
        plans: ini::plans("examples/demo/plans.ini", PLANS)?,
        grants: ini::grants("examples/demo/grants.ini", GRANTS)?,
    };
    Ok(Configuration::open(lists).unwrap_or_default())
}

async fn spawn_engine(name: &str, agent: &Agent<System>) -> Result<Rc<Engine>, Failure> {
    let behaviour = Behaviour {
        name: name.to_owned(),
        models: Vec::new(),
        slots: 8,
        token_interval: TOKEN_INTERVAL,
    };
    let memory = Memory::open(Capacity {
        bytes: ENGINE_MEMORY_BYTES,
        floor: KV_CACHE_BYTES,
        fencing: Fencing::Checked,
        incarnation: 1,
    });
    let engine = Engine::bind_with_orders(behaviour, Orders::open(memory, LOAD_DURATION));
    let engine = engine.await?;
    if let Some(agent) = agent.operators() {
        announcer::spawn(&engine, agent);
    }
    Ok(engine)
}

fn process_settings(
    role_settings: RoleSettings,
    name: &str,
    operators: SocketAddr,
    control: &[SocketAddr],
) -> Settings {
    Settings {
        name: name.to_owned(),
        data_centre: "alp-a".into(),
        listen: EPHEMERAL_LOOPBACK,
        advertise: EPHEMERAL_LOOPBACK.ip(),
        operators,
        control: control.to_vec(),
        drain_limit: None,
        memory: None,
        descriptors: None,
        role_settings,
        planner: Planner::default(),
    }
}

fn print_usage(callers: SocketAddr, operators: SocketAddr) {
    println!("Operators: http://{operators}/metrics and /v1/status. Try:");
    println!(
        "curl -N http://{callers}/v1/chat/completions -H 'Authorization: Bearer demo-key' \
         -d '{{\"model\":\"price-ml\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"price?\"}}]}}'"
    );
    println!(
        "curl -X POST http://{callers}/services/desk/bookings -H 'Authorization: Bearer demo-key'"
    );
}
