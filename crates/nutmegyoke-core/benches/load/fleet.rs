//! The fleet that the bench drives: engines, agents and the two plans.

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
use crate::callers::{Customer, TOKENS_MEAN};

/// Engines, each behind an agent of its own.
pub const ENGINES: u16 = 16;

/// Requests that an engine runs at once.
pub const SLOTS: u32 = 8;

/// An engine's time to the first token, and to each further one.
pub const FIRST: Duration = Duration::from_millis(200);
pub const TOKEN: Duration = Duration::from_millis(20);

/// Expectations of both plans.
pub const FIRST_TOKEN: Duration = Duration::from_secs(1);
pub const DEADLINE: Duration = Duration::from_secs(10);

/// The requests a second that the bursty customer's plan has, as a share of the
/// capacity.
const LIMIT: f64 = 0.6;

/// Requests a second that the engines serve.
pub fn capacity() -> f64 {
    let whole = FIRST + TOKEN * (TOKENS_MEAN - 1);
    f64::from(u32::from(ENGINES) * SLOTS) / whole.as_secs_f64()
}

/// The agent's number stands in the port.
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

pub fn news(policy: Policy) -> Update {
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
    let limited = policy == Policy::Admission && customer == Customer::Bursty;
    let rate = if limited {
        (capacity() * LIMIT) as u32
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
        first_token: FIRST_TOKEN,
        between_tokens: Duration::from_millis(50),
        deadline: DEADLINE,
    }
}
