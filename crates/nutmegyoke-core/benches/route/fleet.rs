//! The simulated fleets on which the policies are compared: their sizes and the placement of
//! the models on the engines.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use nutmegyoke_core::process::directory::{Cursor, Delta};
use nutmegyoke_core::process::endpoint::{Holding, Phase};
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::{DataCentre, Endpoint, Member, Vm};

/// The size of a fleet and the load on it.
#[derive(Clone, Debug)]
pub struct Size {
    pub name: &'static str,
    pub data_centres: usize,
    pub vms: usize,
    pub engines: usize,
    pub entries: usize,
    pub models: usize,
    /// Models that each engine holds.
    pub models_per_engine: usize,
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Requests per second, without the burst.
    pub requests_per_second: f64,
    /// The mean time from the first to the last token.
    pub decode_time: Duration,
}

/// A fleet with a load of 0.73 of its capacity.
pub const KAYAL: Size = Size {
    name: "Kayal",
    data_centres: 3,
    vms: 20,
    engines: 20,
    entries: 3,
    models: 21,
    models_per_engine: 3,
    slots: 16,
    requests_per_second: 45.0,
    decode_time: Duration::from_secs(5),
};

/// A fleet with a load of 0.72 of its capacity.
pub const CICLOFIT: Size = Size {
    name: "Ciclofit",
    data_centres: 4,
    vms: 9,
    engines: 9,
    entries: 4,
    models: 14,
    models_per_engine: 4,
    slots: 16,
    requests_per_second: 20.0,
    decode_time: Duration::from_secs(5),
};

/// A large fleet with a load of 0.72 of its capacity.
pub const TARGET: Size = Size {
    name: "target",
    data_centres: 10,
    vms: 340,
    engines: 3800,
    entries: 40,
    models: 520,
    models_per_engine: 2,
    slots: 16,
    requests_per_second: 4300.0,
    decode_time: Duration::from_secs(10),
};

/// The exponent of the Zipf distribution of the demand over the models.
const ZIPF_EXPONENT: f64 = 0.7;

/// A fleet whose models are placed by demand.
pub struct Fleet {
    pub size: Size,
    pub models: Vec<String>,
    /// A snapshot of the directory.
    pub delta: Delta,
    /// The share of the demand that each model has, without the burst.
    demand_shares: Vec<f64>,
    /// The model whose demand rises in the burst.
    burst_model: usize,
}

impl Fleet {
    pub fn open(size: &Size) -> Self {
        let weights: Vec<f64> = (1..=size.models)
            .map(|rank| f64::from(u32::try_from(rank).unwrap()).powf(-ZIPF_EXPONENT))
            .collect();
        let sum: f64 = weights.iter().sum();
        let demand_shares: Vec<f64> = weights.iter().map(|weight| weight / sum).collect();
        let mut fleet = Self {
            size: size.clone(),
            models: (0..size.models)
                .map(|model| format!("model-{model}"))
                .collect(),
            delta: Delta::default(),
            burst_model: size.models / 2,
            demand_shares,
        };
        let placement = fleet.place_models();
        fleet.delta = fleet.snapshot(&placement);
        fleet
    }

    /// Draws a model at random, with the demand for the burst model multiplied by `factor`.
    /// Returns its index and the total demand relative to the demand without the burst.
    pub fn draw_model(&self, factor: f64, random: &mut fastrand::Rng) -> (usize, f64) {
        let total = 1.0 + self.demand_shares[self.burst_model] * (factor - 1.0);
        let mut remaining = random.f64() * total;
        for (model, share) in self.demand_shares.iter().enumerate() {
            remaining -= share
                * if model == self.burst_model {
                    factor
                } else {
                    1.0
                };
            if remaining <= 0.0 {
                return (model, total);
            }
        }
        (0, total)
    }

    pub fn data_centre(&self, index: usize) -> DataCentre {
        format!("dc-{}", index % self.size.data_centres)
            .as_str()
            .into()
    }

    pub fn data_centre_of(&self, engine: usize) -> DataCentre {
        self.data_centre(engine % self.size.vms)
    }

    /// Places one copy of each model, then further copies of the models with the highest
    /// demand per copy. Returns the models of each engine.
    fn place_models(&self) -> Vec<Vec<usize>> {
        let size = &self.size;
        let mut placement = vec![Vec::new(); size.engines];
        let mut load = vec![0.0_f64; size.engines];
        let mut copies = vec![0_u32; size.models];
        for _ in 0..size.engines * size.models_per_engine {
            let demand_per_copy =
                |model: &usize| self.demand_shares[*model] / f64::from(copies[*model]);
            let model = (0..size.models)
                .filter(|&model| copies[model] < u32::try_from(size.engines).unwrap())
                .max_by(|one, other| demand_per_copy(one).total_cmp(&demand_per_copy(other)))
                .unwrap();
            let has_room = |engine: &usize| placement[*engine].len() < size.models_per_engine;
            let engine = (0..size.engines)
                .filter(|engine| has_room(engine) && !placement[*engine].contains(&model))
                .min_by(|one, other| load[*one].total_cmp(&load[*other]));
            copies[model] += 1;
            if let Some(engine) = engine {
                placement[engine].push(model);
                load[engine] += self.demand_shares[model] / f64::from(copies[model]);
            }
        }
        placement
    }

    fn snapshot(&self, placement: &[Vec<usize>]) -> Delta {
        let vms = 0..self.size.vms;
        Delta {
            cursor: Cursor {
                epoch: 1,
                revision: 1,
            },
            snapshot: true,
            members: vms.map(|vm| self.member(vm, placement)).collect(),
            ..Delta::default()
        }
    }

    fn member(&self, vm: usize, placement: &[Vec<usize>]) -> Member {
        let engines = (vm..self.size.engines).step_by(self.size.vms);
        let endpoint = |engine: usize| Endpoint {
            name: engine.to_string(),
            holding: Holding::Engine {
                models: placement[engine]
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
