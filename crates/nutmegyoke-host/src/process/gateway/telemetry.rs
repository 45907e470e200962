//! Logs and metrics of passed-through requests.

use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::balance::Ejection;
use nutmegyoke_core::process::gateway::Basis;
use nutmegyoke_core::process::quarantine::{Crash, Culprit};
use nutmegyoke_core::request::Verdict;
use nutmegyoke_wire::connection::convert::milliseconds;

use super::Gateway;
use crate::process::event::{fingerprints, part_names};
use crate::process::passthrough::Histograms;
use crate::process::tenants::Tenants;
use crate::process::{Admission, Codec, Event};

impl<C: Clock + 'static, D: Codec> Gateway<C, D> {
    /// The latency histograms of requests.
    #[must_use]
    pub fn latency(&self) -> &Histograms {
        &self.metrics.passthrough
    }

    /// The counters of tenants.
    #[must_use]
    pub fn tenants(&self) -> &Tenants {
        &self.metrics.tenants
    }

    /// The run of the gateway's process.
    #[must_use]
    pub fn run_id(&self) -> u64 {
        self.member.vm.run_id()
    }

    /// Counts a finished request, and the reason if it failed.
    pub fn record_verdict(&self, verdict: Verdict) {
        self.metrics.requests.inc();
        if let Some(reason) = verdict.reason() {
            self.metrics.count_refusal(reason);
        }
    }

    /// Counts how a question for room at an engine ended.
    pub fn count_admission(&self, outcome: Admission) {
        self.metrics.count_admission(outcome);
    }

    /// Counts a request that was sent to an endpoint chosen by expected time.
    pub fn count_choice(&self, basis: &Basis) {
        if let Some(estimate) = &basis.estimate {
            self.metrics.choices.count(estimate);
        }
    }

    /// Logs an event of a request unless the limit on log lines is reached. An
    /// `important` event, of a request that failed or was slow, is always logged.
    pub fn log_sampled(&self, event: &Event<'_>, important: bool) {
        let now = self.driver.clock().now();
        let Some(withheld) = self.sampler.borrow_mut().admit(now, important) else {
            return;
        };
        if withheld > 0 {
            Event::LinesWithheld { withheld }.log();
        }
        event.log();
    }

    /// Counts and logs an ejection because of a failure rate.
    pub(super) fn log_ejection(&self, ejection: &Ejection) {
        self.metrics.choices.count_ejection();
        let event = Event::EndpointEjected {
            id: &ejection.endpoint,
            failing_percent: (ejection.failing * 100.0).round(),
            ejected_ms: milliseconds(ejection.time),
        };
        self.log_sampled(&event, false);
    }

    /// Logs that requests are quarantined.
    pub(super) fn log_culprit(&self, culprit: &Culprit) {
        let age = self
            .driver
            .clock()
            .now()
            .saturating_duration_since(culprit.latest);
        Event::Quarantined {
            parts: &part_names(&culprit.features),
            fingerprints: &fingerprints(&culprit.features),
            crashes: culprit.crashes,
            latest_ms: milliseconds(age),
        }
        .log();
    }
}

/// The most suspects of a crash that its log line lists.
const MAX_LOGGED_SUSPECTS: usize = 16;

/// Logs a crash of an endpoint, with what is known of the requests that may have caused it.
pub fn log_crash(crash: &Crash) {
    let suspects = || crash.suspects.iter().take(MAX_LOGGED_SUSPECTS);
    let parts: Vec<Vec<String>> = suspects().map(|features| part_names(features)).collect();
    let requests: Vec<String> = suspects()
        .flat_map(|features| fingerprints(features))
        .collect();
    Event::EndpointCrashed {
        id: &crash.origin.endpoint,
        born: crash.origin.started_ms,
        suspects: crash.suspects.len(),
        parts: &parts,
        fingerprints: &requests,
    }
    .log();
}
