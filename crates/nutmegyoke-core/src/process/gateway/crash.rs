//! Detects crashes of endpoints from the requests that end with them.
//!
//! A connection that breaks during an attempt has many causes: the endpoint crashed, it
//! failed this request only, or the network reset the connection. After a crash the
//! endpoint's address refuses connections, or the endpoint announces another start.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::call::Stage;
use super::{Command, Gateway, Sink};
use crate::process::quarantine::{Crash, Origin};
use crate::process::registry::Announcement;
use crate::request::{Reason, Verdict};

/// A request whose answer began longer before the crash is no suspect: an engine that crashes
/// on a request does so when it begins to answer.
const SUSPICION_TIME: Duration = Duration::from_secs(1);

/// How long a broken connection waits for the endpoint's next start, if the endpoint was not
/// found to be down.
const BREAK_TTL: Duration = Duration::from_secs(5);

/// An endpoint whose connections broke, and that may have crashed.
#[derive(Debug)]
pub struct Break {
    /// The endpoint as it was known.
    endpoint: Rc<Announcement>,
    /// The crash, if it was one.
    crash: Crash,
}

impl Gateway {
    /// Notes the endpoint of a request whose connection broke, and has it probed.
    pub(super) fn note_break<S>(&mut self, now: Instant, number: u64, verdict: Verdict, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        if !matches!(verdict.reason(), Some(Reason::LinkLost | Reason::Truncated)) {
            return;
        }
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        let is_suspect = match call.stage {
            Stage::Running { .. } => true,
            Stage::Answering { since, .. } => now < since + SUSPICION_TIME,
            Stage::Idle | Stage::Preparing { .. } => false,
        };
        // The shutdown of an endpoint breaks connections, too, but is announced.
        let endpoint = call.endpoint().and_then(|id| self.registry.row(id));
        let endpoint = endpoint.filter(|row| row.accepts_requests());
        let Some(endpoint) = endpoint.map(|row| Rc::clone(&row.announcement)) else {
            return;
        };
        let origin = Origin {
            endpoint: endpoint.id.clone(),
            started_ms: endpoint.stamp.started_ms,
        };
        let known = self.breaks.get(&endpoint.id);
        let known = known
            .filter(|known| known.crash.origin == origin && now < known.crash.at + SUSPICION_TIME);
        if known.is_none() {
            out.push(Command::Probe {
                endpoint: Rc::clone(&endpoint),
            });
            let crash = Crash {
                origin,
                at: now,
                suspects: Vec::new(),
            };
            let noted = Break { endpoint, crash };
            self.breaks.insert(noted.endpoint.id.clone(), noted);
        }
        let id = call.endpoint();
        if let Some(noted) = id
            .and_then(|id| self.breaks.get_mut(id))
            .filter(|_| is_suspect)
        {
            noted.crash.add_suspect(call.prompt.shared_parts());
        }
    }

    /// Records a crash if the probed endpoint `refused` a connection.
    pub(super) fn endpoint_probed<S>(
        &mut self,
        id: &str,
        started_ms: u64,
        refused: bool,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let noted = self.breaks.get(id);
        if refused && noted.is_some_and(|noted| noted.crash.origin.started_ms == started_ms) {
            self.confirm_crash(id, out);
        }
    }

    /// Records the crash of an endpoint whose connections broke, if `announcement` shows
    /// that it started again.
    pub(super) fn confirm_restart<S>(&mut self, announcement: &Announcement, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let restarted = self.breaks.values().find(|noted| {
            let same = noted.endpoint.id == announcement.id
                || noted.endpoint.address == announcement.address;
            same && noted.crash.origin.started_ms < announcement.stamp.started_ms
        });
        if let Some(id) = restarted.map(|noted| noted.endpoint.id.clone()) {
            self.confirm_crash(&id, out);
        }
    }

    /// Drops the breaks that turned out to be no crash.
    pub(super) fn expire_breaks(&mut self, now: Instant) {
        self.breaks
            .retain(|_, noted| now < noted.crash.at + BREAK_TTL);
    }

    fn confirm_crash<S>(&mut self, id: &str, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        if let Some(Break { crash, .. }) = self.breaks.remove(id) {
            out.push(Command::ReportCrash { crash });
        }
    }
}
