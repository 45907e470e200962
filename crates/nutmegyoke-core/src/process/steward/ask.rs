//! Answers gateways that ask whether a request may be sent to the engine.

use std::time::{Duration, Instant};

use super::{Ask, Command, Ledger, Load, Sink, Steward, Unanswered};

/// How long after the last question about a start of the engine an earlier one is taken for the
/// engine again, so that a start with a clock far ahead doesn't block the later ones. Gateways forget
/// an endpoint without heartbeats within half of that.
const SUBJECT_TTL: Duration = Duration::from_secs(10);

/// A start of the engine that gateways ask about.
#[derive(Debug)]
pub struct Subject {
    endpoint: String,
    started_ms: u64,
    /// When a gateway last asked about it.
    asked: Instant,
}

/// A gateway's question that waits for a report of the engine's load.
#[derive(Debug)]
pub struct Question {
    pub call: u64,
    request: String,
    tenant: String,
    priority: u8,
    uncached: u64,
    tokens: u64,
    limit: Duration,
    due: Duration,
    gap: Option<Duration>,
    slots: u32,
}

impl Question {
    fn open(call: u64, ask: &Ask<'_>) -> Self {
        Self {
            call,
            request: ask.request.to_owned(),
            tenant: ask.tenant.to_owned(),
            priority: ask.priority,
            uncached: ask.uncached,
            tokens: ask.tokens,
            limit: ask.limit,
            due: ask.due,
            gap: ask.gap,
            slots: ask.slots,
        }
    }

    fn ask(&self) -> Ask<'_> {
        Ask {
            request: &self.request,
            tenant: &self.tenant,
            priority: self.priority,
            uncached: self.uncached,
            tokens: self.tokens,
            limit: self.limit,
            due: self.due,
            gap: self.gap,
            slots: self.slots,
        }
    }
}

impl Steward {
    /// Answers at once if the latest report is recent enough, and requests another one if not.
    pub(super) fn ask<S>(
        &mut self,
        now: Instant,
        call: u64,
        endpoint: &str,
        started_ms: u64,
        ask: &Ask<'_>,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        if !self.recognise(now, endpoint, started_ms, out) {
            let answer = Err(Unanswered::OtherEndpoint);
            out.push(Command::AnswerAsk { call, answer });
            return;
        }
        if self.ledger.is_current(now) {
            let answer = self.ledger.decide(now, ask);
            let answer = answer.ok_or(Unanswered::LoadUnknown);
            out.push(Command::AnswerAsk { call, answer });
            return;
        }
        self.questions.push(Question::open(call, ask));
        if self.reporting.is_none() {
            self.reporting = Some(now);
            out.push(Command::Report);
        }
    }

    /// Whether `endpoint`, which started at `started_ms`, is the engine beside this steward: the one
    /// with the latest start. What was admitted to an earlier start, and its report, count no more.
    fn recognise<S>(&mut self, now: Instant, endpoint: &str, started_ms: u64, out: &mut S) -> bool
    where
        S: Sink<Command = Command>,
    {
        if let Some(subject) = &mut self.subject {
            if subject.endpoint == endpoint && subject.started_ms == started_ms {
                subject.asked = now;
                return true;
            }
            if started_ms <= subject.started_ms && now < subject.asked + SUBJECT_TTL {
                return false;
            }
            self.ledger = Ledger::default();
            self.is_report_outdated = self.reporting.is_some();
            for question in std::mem::take(&mut self.questions) {
                let (call, answer) = (question.call, Err(Unanswered::OtherEndpoint));
                out.push(Command::AnswerAsk { call, answer });
            }
        }
        self.subject = Some(Subject {
            endpoint: endpoint.to_owned(),
            started_ms,
            asked: now,
        });
        true
    }

    /// Answers the gateways that wait, in the order in which their requests are admitted.
    pub(super) fn report<S>(&mut self, now: Instant, load: Option<&Load>, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let requested = self.reporting.take();
        if std::mem::take(&mut self.is_report_outdated) {
            if !self.questions.is_empty() {
                self.reporting = Some(now);
                out.push(Command::Report);
            }
            return;
        }
        if let Some(load) = load {
            self.ledger.record(now, requested.unwrap_or(now), load);
        }
        let questions = std::mem::take(&mut self.questions);
        let asks: Vec<Ask<'_>> = questions.iter().map(Question::ask).collect();
        for number in self.ledger.order(now, &asks) {
            let answer = load.and_then(|_| self.ledger.decide(now, &asks[number]));
            let answer = answer.ok_or(Unanswered::LoadUnknown);
            let call = questions[number].call;
            out.push(Command::AnswerAsk { call, answer });
        }
    }
}
