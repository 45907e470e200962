//! The engines, the agents and the two plans of the simulated fleet.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use nutmegyoke_core::process::directory::{Cursor, Delta};
use nutmegyoke_core::process::endpoint::{Holding, Phase};
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::update::Update;
use nutmegyoke_core::process::{Endpoint, Member, Vm};
use nutmegyoke_core::version::configuration::Lists;
use nutmegyoke_core::version::grant::Item;
use nutmegyoke_core::version::{Configuration, Grant, Plan};

use crate::Policy;
use crate::workload::{Customer, MEAN_TOKENS};

/// The number of engines, each with an agent of its own.
pub const ENGINES: u16 = 16;

/// The number of requests that an engine runs at once.
pub const SLOTS: u32 = 8;

/// The time from the start of a request on its engine to the first token.
pub const PREFILL: Duration = Duration::from_millis(200);

/// The time between two tokens.
pub const TOKEN_INTERVAL: Duration = Duration::from_millis(20);

/// The expected time to the first token in both plans.
pub const EXPECTED_FIRST_TOKEN: Duration = Duration::from_secs(1);

/// The deadline of a request in both plans, after which its client disconnects.
pub const DEADLINE: Duration = Duration::from_secs(10);

/// The rate limit of the bursty customer's plan as a fraction of the capacity.
const PLAN_LIMIT_SHARE: f64 = 0.6;

/// The requests per second that all engines together serve.
pub fn capacity() -> f64 {
    let mean_service_time = PREFILL + TOKEN_INTERVAL * (MEAN_TOKENS - 1);
    f64::from(u32::from(ENGINES) * SLOTS) / mean_service_time.as_secs_f64()
}

/// The address of an agent. Its port is the agent's index.
pub fn address(index: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, index))
}

pub fn endpoint() -> Endpoint {
    Endpoint {
        name: "engine".to_owned(),
        holding: Holding::Engine {
            models: vec!["price".into()],
            adapters: Vec::new(),
        },
        slots: SLOTS,
        phase: Phase::Ready,
    }
}

/// The update for the entry, with the whole configuration and directory.
pub fn update(policy: Policy) -> Update {
    let members = (0..ENGINES).map(|index| Member {
        vm: Vm {
            name: format!("vm-{index}"),
            incarnation: 1,
        },
        role: Role::Agent,
        data_centre: "here".into(),
        address: address(index),
        endpoints: vec![endpoint()],
        configuration: 1,
    });
    let plans = Customer::ALL.map(|customer| plan(customer, policy));
    let grant = Grant {
        plans: plans.iter().map(|plan| plan.name.clone()).collect(),
        item: Item::Model {
            name: "price".into(),
            bytes: 1,
        },
    };
    let lists = Lists {
        number: 1,
        plans: plans.into(),
        grants: vec![grant],
    };
    Update {
        configuration: Configuration::open(lists).ok(),
        directory: Delta {
            cursor: Cursor {
                epoch: 1,
                revision: 1,
            },
            snapshot: true,
            members: members.collect(),
            ..Delta::default()
        },
        ..Update::default()
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small positive rate"
)]
fn plan(customer: Customer, policy: Policy) -> Plan {
    let is_limited = policy == Policy::Admission && customer == Customer::Bursty;
    let rate = if is_limited {
        (capacity() * PLAN_LIMIT_SHARE) as u32
    } else {
        u32::MAX
    };
    Plan {
        name: customer.key().to_owned(),
        customer: customer.key().into(),
        key: customer.key().to_owned(),
        requests_per_second: rate,
        concurrency: u32::MAX,
        tokens_per_minute: u64::MAX,
        priority: 5,
        first_token: EXPECTED_FIRST_TOKEN,
        between_tokens: Duration::from_millis(50),
        deadline: DEADLINE,
    }
}
