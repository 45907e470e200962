//! The target size, and the members and configurations of a fleet of that size.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use nutmegyoke_core::process::endpoint::{Holding, Phase};
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::{Endpoint, Member, Vm};
use nutmegyoke_core::version::configuration::Lists;
use nutmegyoke_core::version::grant::Item;
use nutmegyoke_core::version::{Configuration, Grant, Plan};

/// The number of VMs, each with an agent.
pub const VMS: u32 = 340;
/// The number of engines on all VMs together.
pub const ENGINES: u32 = 3_800;
/// The number of models with a grant.
pub const MODELS: u32 = 520;
/// Requests per second at the peak.
pub const REQUESTS_PER_SECOND: f64 = 4_300.0;
/// Generated tokens per second at the peak.
pub const TOKENS_PER_SECOND: f64 = 1_200_000.0;
/// Configuration changes per day.
pub const CHANGES_PER_DAY: f64 = 2_100.0;
/// Seconds in a day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;
/// The budget of a VM for control traffic in bytes per second.
pub const TRAFFIC_BUDGET_BYTES_PER_SECOND: f64 = 23_000.0;
/// Adapters per model, as the first two users have.
pub const ADAPTERS_PER_MODEL: u32 = 5;
/// The number of adapters resident on each engine.
const ADAPTERS_PER_ENGINE: u32 = 8;

/// The average number of engines per VM.
pub fn engines_per_vm() -> f64 {
    f64::from(ENGINES) / f64::from(VMS)
}

/// The agent of VM `number` with `engines` engines.
pub fn member(number: u32, incarnation: u64, engines: u32) -> Member {
    let endpoints = (0..engines).map(|engine| endpoint(number, engine));
    Member {
        vm: Vm {
            name: format!("engine-vm-{number:04}"),
            incarnation: 1_800_000_000_000 + incarnation,
        },
        role: Role::Agent,
        data_centre: format!("dc-{:02}", number % 10).as_str().into(),
        address: SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + number), 8481)),
        endpoints: endpoints.collect(),
        configuration: 2_100,
    }
}

/// A ready engine with one model and its adapters.
fn endpoint(vm: u32, number: u32) -> Endpoint {
    let model = (vm * 11 + number) % MODELS;
    let adapters = (0..ADAPTERS_PER_ENGINE).map(|index| {
        adapter_name(model, index % ADAPTERS_PER_MODEL)
            .as_str()
            .into()
    });
    Endpoint {
        name: format!("engine-{number}"),
        holding: Holding::Engine {
            models: vec![model_name(model).as_str().into()],
            adapters: adapters.collect(),
        },
        slots: 32,
        phase: Phase::Ready,
    }
}

fn model_name(number: u32) -> String {
    format!("model-{number:03}")
}

fn adapter_name(model: u32, number: u32) -> String {
    format!("model-{model:03}-adapter-{number:02}")
}

/// A configuration with `models` models, their adapters and a plan for every ten models.
pub fn configuration(number: u64, models: u32) -> Rc<Configuration> {
    let plans = (0..=models / 10).map(plan).collect();
    let grants = (0..models).flat_map(|model| {
        let plans = vec![format!("plan-{:03}", model / 10)];
        let adapters = (0..ADAPTERS_PER_MODEL).map(move |index| Item::Adapter {
            name: adapter_name(model, index).as_str().into(),
            model: model_name(model).as_str().into(),
            bytes: 40_000_000,
        });
        let model_item = Item::Model {
            name: model_name(model).as_str().into(),
            bytes: 14_000_000_000,
        };
        std::iter::once(model_item)
            .chain(adapters)
            .map(move |item| Grant {
                item,
                plans: plans.clone(),
            })
    });
    let grants = grants.collect();
    let lists = Lists {
        number,
        plans,
        grants,
    };
    Configuration::open(lists).expect("the lists are valid")
}

fn plan(number: u32) -> Plan {
    Plan {
        name: format!("plan-{number:03}"),
        customer: format!("customer-{number:03}").as_str().into(),
        key: format!("key-{number:030}"),
        requests_per_second: 100,
        concurrency: 100,
        tokens_per_minute: 1_000_000,
        priority: 5,
        first_token: Duration::from_secs(1),
        between_tokens: Duration::from_millis(50),
        deadline: Duration::from_secs(30),
    }
}
