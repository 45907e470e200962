//! What the planner weighs: attainment against moves, and the store's limits.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// A set of weights with a name, for the settings.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Preset {
    /// Requests within their expectations count more than a steady fleet.
    #[default]
    AttainmentFirst,
    /// A steady fleet counts more.
    MovesFirst,
}

/// When the planner moves copies for the sake of load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// How long an overload has to last before it moves anything.
    pub min_overload: Duration,
    /// The requests a second that a move has to win, as a share of an engine's rate.
    pub min_gain: f64,
    /// Moves for load that an engine's share of the budget allows an hour.
    pub moves_per_engine_hour: f64,
    /// The utilisation from which an engine counts as overloaded.
    pub high_utilisation: f64,
    /// The utilisation up to which a copy may be loaded onto an engine.
    pub low_utilisation: f64,
}

/// What the weights' store bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Loads of models begun a second.
    pub loads_per_second: f64,
    /// Loads of models under way at once.
    pub concurrent_loads: u32,
    /// Adapters in transit at once.
    pub concurrent_adapters: u32,
}

/// The planner's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Attainment against moves.
    pub policy: Policy,
    /// The store's limits.
    pub limits: Limits,
    /// Requests a second that one engine serves within expectations.
    pub engine_rate: f64,
}

impl From<Preset> for Policy {
    fn from(preset: Preset) -> Self {
        match preset {
            Preset::AttainmentFirst => Self {
                min_overload: Duration::from_mins(3),
                min_gain: 0.1,
                moves_per_engine_hour: 12.0,
                high_utilisation: 0.85,
                low_utilisation: 0.7,
            },
            Preset::MovesFirst => Self {
                min_overload: Duration::from_mins(10),
                min_gain: 0.25,
                moves_per_engine_hour: 0.5,
                high_utilisation: 1.0,
                low_utilisation: 0.7,
            },
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: Preset::default().into(),
            limits: Limits {
                loads_per_second: 2.0,
                concurrent_loads: 7,
                concurrent_adapters: 55,
            },
            engine_rate: 10.0,
        }
    }
}
