//! Detects crashes of endpoints from the requests that end with them.
//!
//! A connection that breaks during an attempt has many causes: the endpoint crashed, it
//! failed this request only, or the network reset the connection. After a crash the
//! endpoint's address refuses connections, or the endpoint announces another start.
//!
//! The [`quarantine`](crate::process::quarantine) tells what causes crashes, a part of prompts or
//! one request that comes again; such requests are refused.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::call::Stage;
use super::refusal::refuse_until;
use super::{Command, Gateway, Halt, Sink};
use crate::process::quarantine::{Crash, Culprit, Evidence, Origin, crash};
use crate::process::registry::{Announcement, Row};
use crate::request::{Reason, Verdict};

/// A request whose answer began longer before the crash is no suspect: an engine that crashes
/// on a request does so when it begins to answer.
const SUSPICION_TIME: Duration = Duration::from_millis(500);

/// Connections that break within this time broke for one reason.
const BREAK_TIME: Duration = Duration::from_secs(1);

/// How long a broken connection waits for the endpoint's next start, if the endpoint was not
/// found to be down.
const BREAK_TTL: Duration = Duration::from_secs(5);

/// An endpoint that is heard this many heartbeat periods after a crash, and has not started
/// again, did not crash. An earlier heartbeat may have been delayed.
const HEARTBEATS_TO_REFUTE: u32 = 2;

/// An endpoint whose connections broke, and that may have crashed because of a request.
#[derive(Debug)]
pub struct Break {
    /// The endpoint as it was known.
    endpoint: Rc<Announcement>,
    /// The crash, if it was one.
    crash: Crash,
}

/// A crash of an endpoint, after which it takes no requests until it has started again.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// The start that the crash ended, in milliseconds since the Unix epoch.
    started_ms: u64,
    /// When it crashed.
    at: Instant,
}

impl Gateway {
    /// Whether an endpoint crashed and has not started again.
    pub(super) fn is_down(&self, row: &Row) -> bool {
        let tracker = self.trackers.get(&row.announcement.id);
        let outage = tracker.and_then(|tracker| tracker.outage);
        outage.is_some_and(|outage| {
            let same_start = outage.started_ms == row.stamp.started_ms;
            same_start && !is_heard_since(row, outage.at, self.setup.heartbeat_period)
        })
    }

    /// Records that an endpoint is down.
    fn note_outage(&mut self, origin: &Origin, at: Instant) {
        let started_ms = origin.started_ms;
        let tracker = self.trackers.entry(origin.endpoint.clone()).or_default();
        let latest = tracker.outage.map_or(0, |outage| outage.started_ms);
        if latest <= started_ms {
            tracker.outage = Some(Outage { started_ms, at });
        }
    }

    /// If a request whose connection broke may have crashed its endpoint, notes it, and has the
    /// endpoint probed.
    pub(super) fn note_break<S>(&mut self, now: Instant, number: u64, verdict: Verdict, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(call) = self.calls.get(&number).filter(|_| is_break(verdict)) else {
            return;
        };
        let is_suspect = match call.stage {
            Stage::Running { .. } => true,
            Stage::Answering { since, .. } => now < since + SUSPICION_TIME,
            Stage::Idle
            | Stage::Recalling
            | Stage::Charging { .. }
            | Stage::Asking { .. }
            | Stage::Deferred { .. }
            | Stage::Preparing { .. }
            | Stage::Throttled { .. } => false,
        };
        if !is_suspect {
            return;
        }
        let features = &call.features;
        // The shutdown of an endpoint breaks connections, too, but is announced.
        let row = call.endpoint().and_then(|id| self.registry.row(id));
        let Some(row) = row.filter(|row| row.accepts_requests()) else {
            return;
        };
        let endpoint = &row.announcement;
        let origin = Origin {
            endpoint: endpoint.id.clone(),
            started_ms: endpoint.stamp.started_ms,
        };
        let known = self
            .breaks
            .get_mut(&endpoint.id)
            .map(|known| &mut known.crash);
        let known = known.filter(|crash| crash.origin == origin && now < crash.at + BREAK_TIME);
        if let Some(crash) = known {
            crash::add_suspect(&mut crash.suspects, features);
            return;
        }
        out.push(Command::Probe {
            endpoint: Rc::clone(endpoint),
        });
        let noted = Break {
            endpoint: Rc::clone(endpoint),
            crash: Crash {
                origin,
                at: now,
                suspects: vec![features.clone()],
            },
        };
        self.breaks.insert(endpoint.id.clone(), noted);
    }

    /// Whether a request whose connection broke was a suspect of an earlier crash. Another attempt
    /// might crash one endpoint more.
    pub(super) fn is_suspect(&self, number: u64, verdict: Verdict) -> bool {
        let call = self.calls.get(&number).filter(|_| is_break(verdict));
        call.is_some_and(|call| self.quarantine.is_suspect(call.fingerprint))
    }

    /// Records a crash if the probed endpoint `refused` a connection.
    pub(super) fn endpoint_probed<S>(
        &mut self,
        now: Instant,
        id: &str,
        started_ms: u64,
        refused: bool,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let noted = self.breaks.get(id);
        if refused && noted.is_some_and(|noted| noted.crash.origin.started_ms == started_ms) {
            self.confirm_crash(now, id, out);
        }
    }

    /// Records the crash of an endpoint whose connections broke, if `announcement` shows
    /// that it started again.
    pub(super) fn confirm_restart<S>(
        &mut self,
        now: Instant,
        announcement: &Announcement,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let restarted = self.breaks.values().find(|noted| {
            let same = noted.endpoint.id == announcement.id
                || noted.endpoint.address == announcement.address;
            same && noted.crash.origin.started_ms < announcement.stamp.started_ms
        });
        if let Some(id) = restarted.map(|noted| noted.endpoint.id.clone()) {
            self.confirm_crash(now, &id, out);
        }
    }

    /// Drops the breaks that turned out to be no crash.
    pub(super) fn expire_breaks(&mut self, now: Instant) {
        self.breaks
            .retain(|_, noted| now < noted.crash.at + BREAK_TTL);
    }

    fn confirm_crash<S>(&mut self, now: Instant, id: &str, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        if let Some(Break { crash, .. }) = self.breaks.remove(id) {
            let before = self.quarantine.culprits().to_vec();
            self.note_outage(&crash.origin, crash.at);
            self.quarantine.record(now, &crash);
            self.gossip.expedite(now);
            out.push(Command::ReportCrash { crash });
            self.enforce(now, &before, out);
        }
    }

    /// Applies the evidence of another gateway.
    pub(super) fn receive_evidence<S>(&mut self, now: Instant, evidence: &Evidence, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let before = self.quarantine.culprits().to_vec();
        self.quarantine.apply(now, evidence);
        for report in &evidence.crashes {
            let at = now.checked_sub(report.age).unwrap_or(now);
            self.note_outage(&report.origin, at);
        }
        self.refute_crashes(now);
        self.enforce(now, &before, out);
    }

    /// Records that a request succeeded, so it crashes no endpoint.
    pub(super) fn clear_request(&mut self, now: Instant, number: u64) {
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        if self.quarantine.record_success(now, &call.features) {
            self.gossip.expedite(now);
        }
    }

    /// Reports the culprits that are not in `before`, and ends the requests with their features
    /// that have no answer yet, before they crash more endpoints.
    fn enforce<S>(&mut self, now: Instant, before: &[Culprit], out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let culprits = self.quarantine.culprits().iter();
        let new =
            culprits.filter(|culprit| before.iter().all(|old| old.features != culprit.features));
        for culprit in new.cloned().collect::<Vec<Culprit>>() {
            let calls = self.calls.iter().filter(|(_, call)| {
                !matches!(call.stage, Stage::Answering { .. }) && culprit.matches(&call.features)
            });
            let mut numbers: Vec<u64> = calls.map(|(&number, _)| number).collect();
            numbers.sort_unstable();
            out.push(Command::ReportCulprit { culprit });
            for number in numbers {
                self.withhold(now, number, out);
            }
        }
    }

    /// Drops the crashes of endpoints that have sent heartbeats since without another start.
    pub(super) fn refute_crashes(&mut self, now: Instant) {
        let period = self.setup.heartbeat_period;
        let registry = &self.registry;
        self.quarantine.refute(now, |crash| {
            let row = registry.row(&crash.origin.endpoint);
            row.is_some_and(|row| {
                row.accepts_requests()
                    && row.stamp.started_ms == crash.origin.started_ms
                    && is_heard_since(row, crash.at, period)
            })
        });
    }

    /// Refuses a request that crashes endpoints, and returns whether it did.
    pub(super) fn withhold<S>(&mut self, now: Instant, number: u64, out: &mut S) -> bool
    where
        S: Sink<Command = Command>,
    {
        let Some(call) = self.calls.get(&number) else {
            return false;
        };
        let Some(culprit) = self.quarantine.culprit(now, &call.features) else {
            return false;
        };
        let retry_after = culprit.until().saturating_duration_since(now);
        let culprit = culprit.clone();
        let may_have_run = call.uncertain.is_some() || matches!(call.stage, Stage::Running { .. });
        let verdict = if may_have_run {
            Verdict::may_have_run(Reason::Quarantined)
        } else {
            Verdict::not_run(Reason::Quarantined)
        };
        out.push(Command::Withheld {
            call: number,
            culprit,
        });
        self.leave_endpoint(now, number, None);
        self.remove_call(number);
        refuse_until(number, verdict, Halt::Quarantined, retry_after, out);
        true
    }
}

/// Whether an endpoint's heartbeats show that it did not crash at a moment.
fn is_heard_since(row: &Row, moment: Instant, heartbeat_period: Duration) -> bool {
    row.last_heard > moment + heartbeat_period * HEARTBEATS_TO_REFUTE
}

/// Whether an attempt ended because its connection broke.
fn is_break(verdict: Verdict) -> bool {
    matches!(verdict.reason(), Some(Reason::LinkLost | Reason::Truncated))
}
