//! The planner's settings: how it trades attainment against moves, and the limits
//! of the weight store.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// A named [`Policy`], as chosen in the settings.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Preset {
    /// Prefers requests that meet their expectations over a stable placement.
    #[default]
    AttainmentFirst,
    /// Prefers a stable placement.
    MovesFirst,
}

/// When the planner adds copies to relieve overload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// How long an overload has to last before copies are added.
    pub min_overload: Duration,
    /// The least rate that a new copy has to take over, as a fraction of
    /// [`Settings::engine_rate`].
    pub min_gain: f64,
    /// The moves that each engine adds to the budget per hour.
    pub moves_per_engine_hour: f64,
    /// The utilisation above which an engine counts as overloaded.
    pub high_utilisation: f64,
    /// The utilisation up to which an engine may receive another copy.
    pub low_utilisation: f64,
}

/// The limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Model loads that may start per second.
    pub loads_per_second: f64,
    /// Model loads that may be in flight at once.
    pub concurrent_loads: u32,
    /// Adapter loads that may be in flight at once.
    pub concurrent_adapters: u32,
}

/// The planner's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// When copies are added to relieve overload.
    pub policy: Policy,
    /// The limits of the weight store.
    pub limits: Limits,
    /// The rate, in requests per second, up to which one engine meets the requests'
    /// expectations.
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
