//! A whole fleet in one process and on one loop.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use nutmegyoke_core::process::clock::System;
use nutmegyoke_core::process::endpoint::Target;
use nutmegyoke_core::process::report::{Capacity, Fencing};
use nutmegyoke_core::version::Configuration;
use nutmegyoke_core::version::configuration::Lists;
use nutmegyoke_host::process::{Agent, Control, Entry, log, shutdown};
use nutmegyoke_standin::engine::Behaviour;
use nutmegyoke_standin::engine::memory::Memory;
use nutmegyoke_standin::engine::orders::Orders;
use nutmegyoke_standin::{Desk, Engine, announcer};
use nutmegyoke_wire::process::settings::Own;
use nutmegyoke_wire::process::{Planner, Settings, settings};
use nutmegyoke_wire::version::ini;
use prometheus::Registry;

use super::run::{self, Failure};

/// The demo's plans list.
const PLANS: &str = include_str!("../../../examples/demo/plans.ini");

/// The demo's grants list.
const GRANTS: &str = include_str!("../../../examples/demo/grants.ini");

/// A free port of the loopback address.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The time to each token of the stand-in engines.
const TOKEN: Duration = Duration::from_millis(20);

/// The time that a load takes.
const LOAD: Duration = Duration::from_millis(100);

/// The accelerator memory of each stand-in engine.
const ENGINE_BYTES: u64 = 40_000_000_000;

/// The part that it keeps for KV cache.
const FLOOR_BYTES: u64 = 10_000_000_000;

/// How often the demo looks whether it is ready.
const READY_PERIOD: Duration = Duration::from_millis(20);

/// What the demo serves once it is ready.
const OFFER: [Target<'_>; 3] = [
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

/// Runs the demo until the process is asked to stop.
///
/// # Errors
///
/// An address can't be bound.
pub async fn run(callers: SocketAddr, operators: SocketAddr) -> Result<(), Failure> {
    log::open("demo");
    let registry = Registry::new();
    let replica = settings::Control::default();
    let own = settings(Own::Control(replica.clone()), "control-1", operators, &[]);
    let control = Control::spawn(&own, &replica, System, &registry).await?;
    let addresses: Vec<SocketAddr> = control.listen().into_iter().collect();
    control.apply(&configuration()?).await;
    let own = settings(Own::Agent, "engine-vm-1", ANY, &addresses);
    let first = Agent::spawn(&own, System, &registry).await?;
    let own = settings(Own::Agent, "engine-vm-2", ANY, &addresses);
    let second = Agent::spawn(&own, System, &registry).await?;
    let engines = [
        engine("engine-1", &first).await?,
        engine("engine-2", &second).await?,
    ];
    let desk = Desk::bind().await?;
    if let Some(agent) = second.operators() {
        announcer::spawn(&desk, agent);
    }
    let own = settings::Entry {
        callers,
        body_bytes: settings::DEFAULT_BODY_BYTES,
    };
    let common = settings(Own::Entry(own.clone()), "entry-1", ANY, &addresses);
    let entry = Entry::spawn(&common, &own, System, &registry).await?;
    while !entry.serves(&OFFER) {
        compio::time::sleep(READY_PERIOD).await;
    }
    print(entry.callers().unwrap_or(callers), operators);
    let drain = async {
        entry.drain().await;
        first.drain().await;
        second.drain().await;
        control.drain().await;
    };
    let stop = shutdown::run(None, || entry.in_flight(), drain).await?;
    drop(engines);
    run::finish(stop)
}

fn configuration() -> Result<Rc<Configuration>, Failure> {
    let lists = Lists {
        number: 1,
        plans: ini::plans("examples/demo/plans.ini", PLANS)?,
        grants: ini::grants("examples/demo/grants.ini", GRANTS)?,
    };
    Ok(Configuration::open(lists).unwrap_or_default())
}

async fn engine(name: &str, agent: &Agent<System>) -> Result<Rc<Engine>, Failure> {
    let behaviour = Behaviour {
        name: name.to_owned(),
        models: Vec::new(),
        slots: 8,
        token: TOKEN,
    };
    let memory = Memory::open(Capacity {
        bytes: ENGINE_BYTES,
        floor: FLOOR_BYTES,
        fencing: Fencing::Checked,
        incarnation: 1,
    });
    let engine = Engine::bind_ordered(behaviour, Orders::open(memory, LOAD));
    let engine = engine.await?;
    if let Some(agent) = agent.operators() {
        announcer::spawn(&engine, agent);
    }
    Ok(engine)
}

fn settings(own: Own, name: &str, operators: SocketAddr, control: &[SocketAddr]) -> Settings {
    Settings {
        name: name.to_owned(),
        data_centre: "alp-a".into(),
        listen: ANY,
        operators,
        control: control.to_vec(),
        drain_limit: None,
        own,
        planner: Planner::default(),
    }
}

fn print(callers: SocketAddr, operators: SocketAddr) {
    println!("Operators: http://{operators}/metrics and /v1/status. Try:");
    println!(
        "curl -N http://{callers}/v1/chat/completions -H 'Authorization: Bearer demo-key' \
         -d '{{\"model\":\"price-ml\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"price?\"}}]}}'"
    );
    println!(
        "curl -X POST http://{callers}/services/desk/bookings -H 'Authorization: Bearer demo-key'"
    );
}
