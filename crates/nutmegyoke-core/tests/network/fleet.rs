//! The simulated fleet: its processes, endpoints, directory and configuration.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegyoke_core::process::agent::Event as AgentEvent;
use nutmegyoke_core::process::directory::{Cursor, Delta};
use nutmegyoke_core::process::endpoint::{Holding, Phase};
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::update::Update;
use nutmegyoke_core::process::{Agent, Endpoint, Entry, Machine, Member, Vm};
use nutmegyoke_core::request::Submission;
use nutmegyoke_core::version::configuration::Lists;
use nutmegyoke_core::version::grant::{Call, Item, Repeat};
use nutmegyoke_core::version::{Configuration, Grant, Plan};

/// Number of entries in the fleet.
pub const ENTRIES: usize = 2;

/// Number of agents in the fleet.
pub const AGENTS: usize = 2;

/// The state of the fleet, as distributed to its processes.
pub struct Fleet {
    /// The incarnation of each agent, congruent to the agent's index modulo [`AGENTS`].
    incarnations: [u64; AGENTS],
    configuration_number: u64,
    directory_revision: u64,
}

impl Fleet {
    /// Creates a fleet in which every process is in its first run.
    pub fn open() -> Self {
        Self {
            incarnations: std::array::from_fn(|agent| (AGENTS + agent) as u64),
            configuration_number: 1,
            directory_revision: 1,
        }
    }

    /// Creates an entry whose process has the run number `run`.
    pub fn entry(run: u64) -> Entry {
        Entry::open(run, &"alp-a".into(), run)
    }

    /// Creates the current run of an agent, with its endpoint announced.
    pub fn agent(&self, agent: usize) -> Agent {
        let mut machine = Agent::open(self.incarnations[agent]);
        let endpoint = endpoint();
        let announced = AgentEvent::Announced {
            endpoint: &endpoint,
            address: address(agent),
        };
        machine.handle(Instant::now(), announced, &mut Vec::new());
        machine
    }

    /// The index of the agent that a submission is addressed to, derived from the
    /// incarnation.
    pub fn addressed_agent(submission: &Submission) -> usize {
        usize::try_from(submission.incarnation).unwrap() % AGENTS
    }

    /// Records that an agent restarted.
    pub fn restart_agent(&mut self, agent: usize) {
        self.incarnations[agent] += AGENTS as u64;
        self.directory_revision += 1;
    }

    /// Replaces the configuration by one with a higher number.
    pub fn raise_configuration_number(&mut self) {
        self.configuration_number += 1;
    }

    /// Control's answer to a heartbeat, with the whole configuration and directory.
    pub fn update(&self) -> Update {
        Update {
            configuration: Some(configuration(self.configuration_number)),
            directory: Delta {
                base: 0,
                changes: Vec::new(),
                cursor: Cursor {
                    epoch: 1,
                    revision: self.directory_revision,
                },
                snapshot: true,
                members: (0..AGENTS).map(|agent| self.member(agent)).collect(),
                gone: Vec::new(),
            },
            ..Update::default()
        }
    }

    fn member(&self, agent: usize) -> Member {
        Member {
            vm: Vm {
                name: format!("vm-{agent}"),
                incarnation: self.incarnations[agent],
            },
            role: Role::Agent,
            data_centre: "alp-a".into(),
            address: address(agent),
            endpoints: vec![endpoint()],
            configuration: self.configuration_number,
        }
    }
}

fn address(agent: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1000 + u16::try_from(agent).unwrap()))
}

fn endpoint() -> Endpoint {
    Endpoint {
        name: "desk".to_owned(),
        holding: Holding::Service {
            service: "desk".into(),
        },
        slots: 2,
        phase: Phase::Ready,
    }
}

fn configuration(number: u64) -> Rc<Configuration> {
    let plan = Plan {
        name: "plan".to_owned(),
        customer: "trader".into(),
        key: "key".to_owned(),
        requests_per_second: 1_000_000,
        concurrency: 1_000_000,
        tokens_per_minute: 1_000_000_000,
        priority: 5,
        first_token: Duration::from_secs(1),
        between_tokens: Duration::from_millis(50),
        deadline: Duration::from_secs(3),
    };
    let call = Call {
        method: "POST".to_owned(),
        prefix: "/bookings".to_owned(),
        repeat: Repeat::Once,
    };
    let grant = Grant {
        item: Item::Service {
            name: "desk".into(),
            calls: vec![call],
        },
        plans: vec![plan.name.clone()],
    };
    Configuration::open(Lists {
        number,
        plans: vec![plan],
        grants: vec![grant],
    })
    .unwrap()
}
