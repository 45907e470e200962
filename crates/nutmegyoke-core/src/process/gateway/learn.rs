//! What the requests of this gateway show of the speed and the failures of endpoints.

use std::time::Instant;

use super::call::Stage;
use super::{Basis, Command, Gateway, Sink};
use crate::process::balance::Ejection;
use crate::request::{Reason, Verdict};
use crate::version::Service;

impl Gateway {
    /// Records that a request was sent to an endpoint.
    pub(super) fn learn_sent(&mut self, now: Instant, number: u64, id: &str, basis: Basis) {
        let Some(estimate) = basis.estimate else {
            return;
        };
        let (Some(call), Some(tracker)) = (self.calls.get(&number), self.trackers.get_mut(id))
        else {
            return;
        };
        let work = match call.model {
            Some(_) => f64::from(basis.tokens - basis.kept),
            None => 1.0,
        };
        let priority = call.priority();
        // An engine's answer that is not streamed comes when all of it is there.
        let timed = call.model.is_none() || call.route.streams();
        let observed = &mut tracker.observed;
        observed.record_sent(now, number, priority, work, timed.then_some(estimate));
        if let Some(pooled) = self.pooled.get_mut(&call.service) {
            pooled.record_sent(now, priority, work);
        }
        if call.prompt.shared_tokens() > 0 {
            self.sightings.record(now, call.prompt.shared_prefix());
        }
    }

    /// Records that a part of an answer came. The first one shows the speed of the endpoint; the
    /// head of the answer may come before the prompt is prefilled.
    pub(super) fn learn_first_event(&mut self, now: Instant, number: u64) {
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        let Stage::Answering { endpoint, .. } = &call.stage else {
            return;
        };
        let Some(tracker) = self.trackers.get_mut(endpoint) else {
            return;
        };
        if let Some((took, estimate)) = tracker.observed.end_wait(now, number) {
            tracker.observed.speed.record(now, took, &estimate);
            if let Some(pooled) = self.pooled.get_mut(&call.service) {
                pooled.speed.record(now, took, &estimate);
            }
        }
    }

    /// Records that the current attempt of a request ends; `verdict` is the outcome, `None` if
    /// the request was abandoned.
    pub(super) fn learn_end(&mut self, now: Instant, number: u64, verdict: Option<Verdict>) {
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        if !self.setup.options.balance {
            return;
        }
        let (Stage::Running { endpoint, .. } | Stage::Answering { endpoint, .. }) = &call.stage
        else {
            return;
        };
        let Some(tracker) = self.trackers.get_mut(endpoint) else {
            return;
        };
        let observed = &mut tracker.observed;
        let Some(pooled) = self.pooled.get_mut(&call.service) else {
            return;
        };
        if let Some((took, estimate)) = observed.end_wait(now, number) {
            let answered = verdict == Some(Verdict::Ran);
            // It would have taken longer still.
            let late =
                took.as_secs_f64() * 1e3 > estimate.expected_ms && !verdict.is_some_and(is_failure);
            if answered || late {
                observed.speed.record(now, took, &estimate);
            }
            if answered {
                pooled.speed.record(now, took, &estimate);
            }
        }
        if let Stage::Answering { since, .. } = call.stage {
            pooled.record_end(now.saturating_duration_since(since));
        }
        // A request that got no answer until its deadline; one that its client gave up does not
        // count.
        let unanswered = matches!(call.stage, Stage::Running { .. }) && now >= call.deadline;
        let failed = match verdict {
            None if unanswered => true,
            Some(Verdict::Ran) => false,
            Some(verdict) if is_failure(verdict) => true,
            _ => return,
        };
        observed.failures.record(now, failed);
        pooled.failures.record(now, failed);
        if failed {
            let endpoint = endpoint.clone();
            let service = call.service.clone();
            self.eject_by_rate(now, &endpoint, &service);
        }
    }

    /// Reports the ejections since the last event.
    pub(super) fn report_ejections<S>(&mut self, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        for ejection in self.ejections.drain(..) {
            out.push(Command::ReportEjection { ejection });
        }
    }

    /// Ejects an endpoint that fails far more of its requests than its service.
    fn eject_by_rate(&mut self, now: Instant, id: &str, service: &Service) {
        let rows = self.registry.rows();
        let rows =
            rows.filter(|row| row.accepts_requests() && row.announcement.service == *service);
        let (mut endpoints, mut ejected) = (0, 0);
        for row in rows {
            endpoints += 1;
            let tracker = self.trackers.get(&row.announcement.id);
            ejected += usize::from(
                tracker.is_some_and(|tracker| tracker.observed.failures.is_ejected(now)),
            );
        }
        let pooled = self.pooled.get(service);
        let service_rate = pooled.map_or(0.0, |pooled| pooled.failures.service_rate(now));
        let Some(tracker) = self.trackers.get_mut(id) else {
            return;
        };
        let failures = &mut tracker.observed.failures;
        let failing = failures.rate(now, service_rate);
        if let Some(time) = failures.eject(now, service_rate, ejected, endpoints) {
            self.ejections.push(Ejection {
                endpoint: id.to_owned(),
                failing,
                time,
            });
        }
    }
}

/// Whether an outcome shows that the endpoint failed.
fn is_failure(verdict: Verdict) -> bool {
    matches!(
        verdict.reason(),
        Some(Reason::Unreachable | Reason::LinkLost | Reason::EndpointFailed | Reason::Truncated)
    )
}
