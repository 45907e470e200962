//! The section `[planner]` of a control process's settings.
//!
//! ```ini
//! [planner]
//! preset = attainment-first
//! loads-per-second = 2
//! loads-at-once = 7
//! adapters-in-transit = 55
//! engine-requests-per-second = 10
//! ```

use nutmegyoke_core::process::control::planner::{Limits, Policy, Preset, Settings};

use super::ini::{Fault, Section};

/// The planner's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Planner {
    /// Whether to favour requests that meet their expectations or few moves of models.
    pub preset: Preset,
    /// Model loads that may start per second.
    pub loads_per_second: u32,
    /// Model loads that may be in flight at once.
    pub concurrent_loads: u32,
    /// Adapter loads that may be in flight at once.
    pub concurrent_adapters: u32,
    /// Requests per second that one engine serves within their expectations.
    pub engine_rate: u32,
}

impl Default for Planner {
    fn default() -> Self {
        Self {
            preset: Preset::default(),
            loads_per_second: 2,
            concurrent_loads: 7,
            concurrent_adapters: 55,
            engine_rate: 10,
        }
    }
}

impl Planner {
    /// Reads the section `[planner]`; a missing key keeps its default.
    ///
    /// # Errors
    ///
    /// A value is invalid, or a key is unknown.
    pub fn read(section: Section<'_>) -> Result<Self, Fault> {
        let default = Self::default();
        let number = |key, default| {
            let value: Option<std::num::NonZeroU32> = section.optional(key, "a number above 0")?;
            Ok::<_, Fault>(value.map_or(default, std::num::NonZeroU32::get))
        };
        let preset = section.optional("preset", "attainment-first or moves-first")?;
        let planner = Self {
            preset: preset.unwrap_or(default.preset),
            loads_per_second: number("loads-per-second", default.loads_per_second)?,
            concurrent_loads: number("loads-at-once", default.concurrent_loads)?,
            concurrent_adapters: number("adapters-in-transit", default.concurrent_adapters)?,
            engine_rate: number("engine-requests-per-second", default.engine_rate)?,
        };
        section.finish()?;
        Ok(planner)
    }

    /// Converts the settings to those of the planner's state machine.
    #[must_use]
    pub fn settings(&self) -> Settings {
        Settings {
            policy: Policy::from(self.preset),
            limits: Limits {
                loads_per_second: f64::from(self.loads_per_second),
                concurrent_loads: self.concurrent_loads,
                concurrent_adapters: self.concurrent_adapters,
            },
            engine_rate: f64::from(self.engine_rate),
        }
    }
}
