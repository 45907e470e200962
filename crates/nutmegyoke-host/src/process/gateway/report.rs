//! What is logged and counted of requests that are passed through.

use nutmegyoke_core::process::Clock;
use nutmegyoke_core::request::Verdict;

use super::Gateway;
use crate::process::passing::Passing;
use crate::process::{Dialect, Event};

impl<C: Clock + 'static, D: Dialect> Gateway<C, D> {
    /// The times of requests.
    #[must_use]
    pub fn passing(&self) -> &Passing {
        &self.metrics.passthrough
    }

    /// Counts the end of a request.
    pub fn account(&self, verdict: Verdict) {
        self.metrics.requests.inc();
        if let Some(reason) = verdict.reason() {
            self.metrics.count_refusal(reason);
        }
    }

    /// Logs something on a request unless there are too many lines; what is
    /// `telling`, because it failed or was slow, always.
    pub fn report(&self, event: &Event<'_>, telling: bool) {
        let now = self.driver.clock().now();
        let Some(withheld) = self.sampler.borrow_mut().admit(now, telling) else {
            return;
        };
        if withheld > 0 {
            Event::LinesWithheld { withheld }.log();
        }
        event.log();
    }
}
