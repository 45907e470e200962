//! The fleets that the policies are compared on.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use nutmegyoke_core::process::directory::{Cursor, Delta};
use nutmegyoke_core::process::endpoint::{Holding, Phase};
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::{DataCentre, Endpoint, Member, Vm};

/// How large a fleet is and what is asked of it.
#[derive(Clone, Debug)]
pub struct Size {
    pub name: &'static str,
    pub data_centres: usize,
    pub vms: usize,
    pub engines: usize,
    pub entries: usize,
    pub models: usize,
    /// Models on each engine.
    pub holds: usize,
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Requests a second.
    pub rate: f64,
    /// The mean time from the first token to the last.
    pub service: Duration,
}

/// At 0.73 of capacity.
pub const KAYAL: Size = Size {
    name: "Kayal",
    data_centres: 3,
    vms: 20,
    engines: 20,
    entries: 3,
    models: 21,
    holds: 3,
    slots: 16,
    rate: 45.0,
    service: Duration::from_secs(5),
};

/// At 0.73 of capacity.
pub const CICLOFIT: Size = Size {
    name: "Ciclofit",
    data_centres: 4,
    vms: 9,
    engines: 9,
    entries: 4,
    models: 14,
    holds: 4,
    slots: 16,
    rate: 20.0,
    service: Duration::from_secs(5),
};

/// At 0.72 of capacity.
pub const TARGET: Size = Size {
    name: "target",
    data_centres: 10,
    vms: 340,
    engines: 3800,
    entries: 40,
    models: 520,
    holds: 2,
    slots: 16,
    rate: 4300.0,
    service: Duration::from_secs(10),
};

/// Skew of the demand between models (Zipf).
const SKEW: f64 = 0.7;

/// A fleet with its models placed by demand.
pub struct Fleet {
    pub size: Size,
    pub models: Vec<String>,
    pub delta: Delta,
    shares: Vec<f64>,
    burst: usize,
}

impl Fleet {
    pub fn open(size: &Size) -> Self {
        let weights: Vec<f64> = (1..=size.models)
            .map(|rank| f64::from(u32::try_from(rank).unwrap()).powf(-SKEW))
            .collect();
        let sum: f64 = weights.iter().sum();
        let shares: Vec<f64> = weights.iter().map(|weight| weight / sum).collect();
        let mut fleet = Self {
            size: size.clone(),
            models: (0..size.models)
                .map(|model| format!("model-{model}"))
                .collect(),
            delta: Delta::default(),
            burst: size.models / 2,
            shares,
        };
        let held = fleet.place();
        fleet.delta = fleet.describe(&held);
        fleet
    }

    /// Draws a model, with one model's demand raised by `factor`; returns it with
    /// the total demand relative to the normal one.
    pub fn draw(&self, factor: f64, random: &mut fastrand::Rng) -> (usize, f64) {
        let total = 1.0 + self.shares[self.burst] * (factor - 1.0);
        let mut left = random.f64() * total;
        for (model, share) in self.shares.iter().enumerate() {
            left -= share * if model == self.burst { factor } else { 1.0 };
            if left <= 0.0 {
                return (model, total);
            }
        }
        (0, total)
    }

    pub fn data_centre(&self, number: usize) -> DataCentre {
        format!("dc-{}", number % self.size.data_centres)
            .as_str()
            .into()
    }

    pub fn data_centre_of(&self, engine: usize) -> DataCentre {
        self.data_centre(engine % self.size.vms)
    }

    /// Gives each model one engine, then more to those with the most demand a copy.
    fn place(&self) -> Vec<Vec<usize>> {
        let size = &self.size;
        let mut held = vec![Vec::new(); size.engines];
        let mut load = vec![0.0_f64; size.engines];
        let mut copies = vec![0_u32; size.models];
        for _ in 0..size.engines * size.holds {
            let need = |model: &usize| self.shares[*model] / f64::from(copies[*model]);
            let model = (0..size.models)
                .filter(|&model| copies[model] < u32::try_from(size.engines).unwrap())
                .max_by(|one, other| need(one).total_cmp(&need(other)))
                .unwrap();
            let room = |engine: &usize| held[*engine].len() < size.holds;
            let engine = (0..size.engines)
                .filter(|engine| room(engine) && !held[*engine].contains(&model))
                .min_by(|one, other| load[*one].total_cmp(&load[*other]));
            copies[model] += 1;
            if let Some(engine) = engine {
                held[engine].push(model);
                load[engine] += self.shares[model] / f64::from(copies[model]);
            }
        }
        held
    }

    fn describe(&self, held: &[Vec<usize>]) -> Delta {
        let vms = 0..self.size.vms;
        Delta {
            cursor: Cursor {
                epoch: 1,
                revision: 1,
            },
            snapshot: true,
            members: vms.map(|vm| self.member(vm, held)).collect(),
            ..Delta::default()
        }
    }

    fn member(&self, vm: usize, held: &[Vec<usize>]) -> Member {
        let engines = (vm..self.size.engines).step_by(self.size.vms);
        let endpoint = |engine: usize| Endpoint {
            name: engine.to_string(),
            holding: Holding::Engine {
                models: held[engine]
                    .iter()
                    .map(|&model| self.models[model].as_str().into())
                    .collect(),
                adapters: Vec::new(),
            },
            slots: self.size.slots,
            phase: Phase::Ready,
        };
        Member {
            vm: Vm {
                name: format!("vm-{vm}"),
                incarnation: 1,
            },
            role: Role::Agent,
            data_centre: self.data_centre(vm),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            endpoints: engines.map(endpoint).collect(),
            configuration: 1,
        }
    }
}
