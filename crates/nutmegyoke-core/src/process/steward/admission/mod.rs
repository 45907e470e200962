//! Whether a request may be sent to the engine now, and when it is expected to start.
//!
//! A [`Ledger`] adds the admissions that the engine's report does not show yet to what the
//! report shows. What all gateways together hold at the engine stays within its memory, so no
//! request is preempted. Gateways, which know the size of its batch, bound the requests.
//!
//! * [`load`]: the engine's report;
//! * [`pace`]: how fast the engine prefills prompts and releases memory;
//! * [`turn`]: whose turn it is among the requests that wait.

pub mod load;
mod pace;
mod turn;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

pub use load::{Load, Run};
use pace::Pace;
pub use pace::{prefill_time, release_time};
use turn::{Contest, Turn};

/// The greatest age of a report that a decision is based on. A gateway waits 100 ms for the
/// answer, so there is time for one report.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(50);

/// How long an admission counts that the report does not show. A gateway sends the request at
/// once; only loading its adapter takes longer, 10 ms in most cases.
pub const ADMISSION_TTL: Duration = Duration::from_millis(500);

/// How long room is kept for a request that was declined and is expected to start in time. Its
/// gateway asks again within 150 ms.
const RESERVATION_TTL: Duration = Duration::from_millis(400);

/// Requests that are not the most urgent ones leave this part of the memory to those that
/// are more urgent: enough for about ten short requests beside 20 long ones.
const RESERVE_DIVISOR: u64 = 8;

/// A request counts up to this part of the memory when it is decided whether it can start in time
/// to keep a place: more than most requests take.
const LARGE_DIVISOR: u64 = 16;

/// No place is kept for a request that starts later than its limit by more than this: its gateway
/// refuses it.
const MAX_EXCESS: Duration = Duration::from_secs(1);

/// The part of the objective for pauses that a batch of prompts may take to prefill.
const BATCH_SHARE: f64 = 0.7;

/// The shortest batch. The next one begins when a gateway asks again, up to 150 ms after the end of
/// this one, so shorter batches would cost a third of the throughput.
const MIN_BATCH: Duration = Duration::from_millis(300);

/// A prompt that takes less than the objective for pauses divided by this is prefilled beside
/// others: it adds to one step of the engine, and few streams notice.
const SMALL_DIVISOR: u32 = 8;

/// How long it takes until a request of a full batch ends: answers take a few seconds, and a
/// batch has dozens.
const SLOT_WAIT: Duration = Duration::from_millis(100);

/// A gateway may name any time; no client waits longer for the beginning of its answer.
const MAX_DUE: Duration = Duration::from_hours(1);

/// For how long after a request of some priority room is left for others of it.
const PRIORITY_TTL: Duration = Duration::from_secs(10);

/// A gateway's question whether a request may be sent to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask<'a> {
    /// The id of the request, which the engine's report repeats.
    pub request: &'a str,
    /// The name of the tenant that sent it; empty without one.
    pub tenant: &'a str,
    /// 0 is the most urgent.
    pub priority: u8,
    /// The prompt tokens that have to be prefilled.
    pub uncached: u64,
    /// The tokens of the whole prompt and of the longest answer.
    pub tokens: u64,
    /// When it has to start at the latest.
    pub limit: Duration,
    /// The time until it has to start to meet its objective; zero if it can't any more.
    pub due: Duration,
    /// The longest pause between the events of its answer, if there is such an objective.
    pub gap: Option<Duration>,
    /// The most requests at the engine, this one included: the size of its batch, less what is left
    /// to more urgent ones.
    pub slots: u32,
}

impl Ask<'_> {
    /// The turn of a request whose gateway asks at `now`.
    fn turn(&self, now: Instant) -> Turn {
        Turn {
            priority: self.priority,
            is_late: self.due.is_zero(),
            due: now + self.due.min(MAX_DUE),
        }
    }
}

/// The answer to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Whether the request may be sent.
    pub admitted: bool,
    /// The expected time until its prompt begins to be prefilled.
    pub start: Duration,
    /// The prompt tokens at the engine that are not prefilled, or on their way there.
    pub ahead: u64,
    /// The requests that run at the engine.
    pub running: u32,
    /// The requests that wait there or are on their way.
    pub waiting: u32,
}

/// What is admitted to the engine.
#[derive(Debug, Default)]
pub struct Ledger {
    /// The latest report and when it was requested.
    report: Option<(Instant, Load)>,
    /// The admitted requests by id, until they end.
    admissions: BTreeMap<String, Admission>,
    /// The declined requests that are expected to ask again, in the order of their first questions.
    reservations: Vec<Reservation>,
    /// When a request of each priority was last seen.
    priorities: BTreeMap<u8, Instant>,
    pace: Pace,
    /// The shortest objective for pauses of recent requests, and when one last had it.
    gap: Option<(Instant, Duration)>,
    /// The tokens to prefill that were admitted since the engine last had none.
    batch: u64,
}

#[derive(Clone, Debug)]
struct Admission {
    at: Instant,
    tenant: String,
    priority: u8,
    uncached: u64,
    tokens: u64,
    /// Whether a report showed that it runs.
    started: bool,
}

#[derive(Clone, Debug)]
struct Reservation {
    request: String,
    tenant: String,
    tokens: u64,
    turn: Turn,
    until: Instant,
}

/// What an ask has to share the engine with.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    /// The tokens that running, waiting and admitted requests may take.
    tokens: u64,
    /// Those of requests that are more urgent than the ask.
    more_urgent: u64,
    /// The tokens to prefill of the requests that are as urgent as the ask, or more.
    ahead: u64,
    /// The tokens to prefill of all requests.
    total_ahead: u64,
    running: u32,
    waiting: u32,
}

impl Ledger {
    /// Whether the latest report is recent enough for an answer.
    #[must_use]
    pub fn is_current(&self, now: Instant) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|(at, _)| now <= *at + MAX_REPORT_AGE)
    }

    /// Records a report that was requested at `at`.
    pub fn record(&mut self, now: Instant, at: Instant, load: &Load) {
        if let Some((previous_at, previous)) = &self.report {
            let elapsed = at.saturating_duration_since(*previous_at);
            let admissions = &self.admissions;
            let known = |request: &str| admissions.get(request).map(|row| row.uncached);
            self.pace.record(elapsed, previous, load, known);
        }
        for run in &load.runs {
            self.priorities.insert(run.priority, now);
        }
        let running: BTreeSet<&str> = load.runs.iter().map(|run| run.request.as_str()).collect();
        for (request, admission) in &mut self.admissions {
            admission.started |= running.contains(request.as_str());
        }
        // One that no longer runs has ended, or was preempted and counts among those that wait.
        self.admissions
            .retain(|request, row| !row.started || running.contains(request.as_str()));
        self.drop_lost(now, load.waiting);
        self.report = Some((at, load.clone()));
    }

    /// Drops the admissions whose requests never came: those that are old, except for as many
    /// as wait at the engine.
    fn drop_lost(&mut self, now: Instant, waiting: u32) {
        let rows = self.admissions.iter();
        let old = rows.filter(|(_, row)| !row.started && row.at + ADMISSION_TTL <= now);
        let mut old: Vec<(Instant, String)> = old.map(|(id, row)| (row.at, id.clone())).collect();
        old.sort_unstable();
        let kept = usize::try_from(waiting).unwrap_or(usize::MAX);
        for (_, request) in old.iter().rev().skip(kept) {
            self.admissions.remove(request);
        }
    }

    /// Decides on a request by the latest report; `None` without one. An admitted request
    /// counts from now on.
    pub fn decide(&mut self, now: Instant, ask: &Ask<'_>) -> Option<Answer> {
        self.priorities.insert(ask.priority, now);
        self.reservations
            .retain(|row| now < row.until || row.request == ask.request);
        // No engine runs more than its memory holds, whatever a client names.
        let total = self.report.as_ref()?.1.total;
        let ask = &Ask {
            tokens: if total == 0 {
                ask.tokens
            } else {
                ask.tokens.min(total)
            },
            uncached: if total == 0 {
                ask.uncached
            } else {
                ask.uncached.min(total)
            },
            ..*ask
        };
        let mut waiting = self.reservations.iter();
        let asks_again = waiting.any(|row| row.request == ask.request);
        let held = self.held(&self.report.as_ref()?.1, ask, asks_again);
        let stall = self.stall(now, ask, &held);
        let (_, load) = self.report.as_ref()?;
        let turn = self.turn(now, ask, load.total);
        let (reserved, reserved_places) = self.reserved(ask, turn);
        let is_idle = held.running == 0 && held.waiting == 0;
        let total = load.total - self.room_left(now, ask, load.total, held.more_urgent);
        let over = |tokens: u64| match load.total {
            0 => 0,
            _ => held
                .tokens
                .saturating_add(reserved)
                .saturating_add(tokens)
                .saturating_sub(total),
        };
        let queue = self.pace.prefill_time(held.ahead);
        let start_with = |over| queue.max(self.pace.release_time(over, held.tokens));
        let counted = ask.tokens.min(load.total / LARGE_DIVISOR);
        let (over, over_counted) = (over(ask.tokens), over(counted));
        let present = held.running.saturating_add(held.waiting);
        let full = present.saturating_add(reserved_places) >= ask.slots;
        let slot_wait = if full { SLOT_WAIT } else { Duration::ZERO };
        let start = start_with(over).max(stall).max(slot_wait);
        let has_room = over == 0 && stall.is_zero() && !full;
        let admitted = is_idle || (start <= ask.limit && has_room);
        // A large request needs longer for its room, and would never get a place before small
        // ones.
        let is_near = start_with(over_counted) <= ask.limit && start <= ask.limit + MAX_EXCESS;
        let has_place = !admitted && is_near;
        let answer = Answer {
            admitted,
            start,
            ahead: held.total_ahead,
            running: held.running,
            waiting: held.waiting,
        };
        self.reserve(now, ask, turn, has_place);
        if admitted {
            self.batch = self.batch.saturating_add(ask.uncached);
            let admission = Admission {
                at: now,
                tenant: ask.tenant.to_owned(),
                priority: ask.priority,
                uncached: ask.uncached,
                tokens: ask.tokens,
                started: false,
            };
            // Two requests may have the same id, if their clients choose it so.
            let known = self.admissions.get(ask.request);
            let known = known.filter(|_| !asks_again);
            let admission = Admission {
                uncached: known.map_or(0, |row| row.uncached) + admission.uncached,
                tokens: known.map_or(0, |row| row.tokens) + admission.tokens,
                ..admission
            };
            self.admissions.insert(ask.request.to_owned(), admission);
        }
        Some(answer)
    }

    /// How long the request has to wait so that the streams that run keep their objective for
    /// pauses: prompts are prefilled in batches that take less than the objective, and the engine
    /// produces tokens between two of them.
    fn stall(&mut self, now: Instant, ask: &Ask<'_>, held: &Held) -> Duration {
        if held.total_ahead == 0 {
            self.batch = 0;
        }
        let recent = self.gap.filter(|&(at, _)| now < at + PRIORITY_TTL);
        let gap = recent.map(|(_, gap)| gap).into_iter().chain(ask.gap).min();
        if let Some(gap) = gap
            && ask.gap == Some(gap)
        {
            self.gap = Some((now, gap));
        }
        let Some(gap) = gap else {
            return Duration::ZERO;
        };
        if self.pace.prefill_time(ask.uncached) < gap / SMALL_DIVISOR {
            return Duration::ZERO;
        }
        let longest = gap.mul_f64(BATCH_SHARE);
        let batch = self.batch.max(held.total_ahead);
        let batch = batch.saturating_add(ask.uncached);
        let is_alone = held.running == 0 || held.total_ahead == 0;
        if is_alone || longest < MIN_BATCH || self.pace.prefill_time(batch) < longest {
            return Duration::ZERO;
        }
        self.pace.prefill_time(held.total_ahead)
    }

    /// The memory that requests of a priority leave to more urgent ones, if such were seen
    /// recently: a part of all of it, in which those count that are there.
    fn room_left(&self, now: Instant, ask: &Ask<'_>, total: u64, more_urgent: u64) -> u64 {
        let mut priorities = self.priorities.range(..ask.priority);
        if priorities.any(|(_, &at)| now < at + PRIORITY_TTL) {
            (total / RESERVE_DIVISOR).saturating_sub(more_urgent)
        } else {
            0
        }
    }

    /// What the engine holds and what is on its way there, without the request of `ask` if it
    /// `asks_again`.
    fn held(&self, load: &Load, ask: &Ask<'_>, asks_again: bool) -> Held {
        let mut held = Held {
            running: load.running,
            ..Held::default()
        };
        let (mut present, mut growth) = (0, 0);
        for run in &load.runs {
            let known = self.admissions.get(&run.request);
            let grows = known.map_or(0, |row| row.tokens.saturating_sub(run.tokens));
            present += run.tokens;
            growth += grows;
            if run.priority < ask.priority {
                held.more_urgent += run.tokens + grows;
            }
            if run.events == 0 {
                let uncached = known.map_or(run.tokens, |row| row.uncached);
                held.add_prefill(uncached, run.priority <= ask.priority);
            }
        }
        // Runs that were sent without a question grow like the others.
        growth = self.scale_growth(load, growth);
        held.tokens = load.used.max(present) + growth;
        let coming = self.admissions.iter();
        let is_own = |id: &str| asks_again && id == ask.request;
        let coming = coming.filter(|(id, row)| !row.started && !is_own(id));
        let mut known = 0;
        for (_, row) in coming {
            known += 1;
            held.tokens += row.tokens;
            if row.priority < ask.priority {
                held.more_urgent += row.tokens;
            }
            held.add_prefill(row.uncached, row.priority <= ask.priority);
        }
        // Requests that wait and were not admitted here count like the first of them.
        let unknown = load.waiting.saturating_sub(known);
        let unknown_tokens = u64::from(unknown).saturating_mul(load.next);
        held.tokens = held.tokens.saturating_add(unknown_tokens);
        held.add_prefill(unknown_tokens, true);
        held.waiting = known + unknown;
        held
    }

    /// The growth of all runs, if `growth` is that of those which were admitted here.
    fn scale_growth(&self, load: &Load, growth: u64) -> u64 {
        let is_known = |run: &&Run| self.admissions.contains_key(&run.request);
        let known = load.runs.iter().filter(is_known).count();
        let [known, all] = [known, load.runs.len()].map(|count| u64::try_from(count).unwrap_or(0));
        (growth * all).checked_div(known).unwrap_or(0)
    }

    /// The turn of a request. A large one keeps that of its place when it becomes late: it needs longer
    /// for its room, which others would take. In the replay of an overload 0.20 of the large requests
    /// are served otherwise, and 0.36 of all.
    fn turn(&self, now: Instant, ask: &Ask<'_>, total: u64) -> Turn {
        let mut rows = self.reservations.iter();
        let own = rows.find(|row| row.request == ask.request);
        let kept = own.filter(|_| ask.tokens > total / LARGE_DIVISOR);
        kept.map_or_else(|| ask.turn(now), |row| row.turn)
    }

    /// The tokens and the number of the declined requests whose turn is before `turn`, that of `ask`.
    /// Of two with the same turn, it is that of the one which came first.
    fn reserved(&self, ask: &Ask<'_>, turn: Turn) -> (u64, u32) {
        let rows = &self.reservations;
        let place = rows.iter().position(|row| row.request == ask.request);
        let place = place.unwrap_or(rows.len());
        let others = || {
            let rows = rows.iter().enumerate();
            rows.filter(|&(index, _)| index != place)
        };
        let same = |row: &Reservation| row.turn.priority == turn.priority;
        let sum = |(tokens, places): (u64, u32), more: u64| (tokens + more, places + 1);
        if others().all(|(_, row)| !same(row) || row.tenant == ask.tenant) {
            let before = others().filter(|&(index, row)| (row.turn, index) < (turn, place));
            return before.map(|(_, row)| row.tokens).fold((0, 0), sum);
        }
        let mut contest = Contest::default();
        contest.add(ask.tenant, turn, place, ask.tokens);
        for (index, row) in others().filter(|(_, row)| same(row)) {
            contest.add(&row.tenant, row.turn, index, row.tokens);
        }
        self.count_held(&mut contest);
        let before = contest.into_turns();
        let before = before.take_while(|&(index, _)| index != place);
        let urgent = others().filter(|(_, row)| row.turn.priority < turn.priority);
        let before = before.map(|(_, tokens)| tokens);
        urgent
            .map(|(_, row)| row.tokens)
            .chain(before)
            .fold((0, 0), sum)
    }

    /// Counts what the tenants of a contest hold, as far as it was admitted here.
    fn count_held(&self, contest: &mut Contest<'_>) {
        for row in self.admissions.values() {
            contest.hold(&row.tenant, row.tokens);
        }
    }

    /// The order in which requests that ask at `now` are decided, as their numbers.
    pub(super) fn order(&self, now: Instant, asks: &[Ask<'_>]) -> Vec<usize> {
        let mut order: Vec<usize> = (0..asks.len()).collect();
        order.sort_by_key(|&number| asks[number].turn(now));
        let is_one_tenant = asks.windows(2).all(|pair| pair[0].tenant == pair[1].tenant);
        if is_one_tenant {
            return order;
        }
        let priority = |number: &usize| asks[*number].priority;
        let mut out = Vec::with_capacity(order.len());
        for same in order.chunk_by(|one, other| priority(one) == priority(other)) {
            let mut contest = Contest::default();
            for &number in same {
                let ask = &asks[number];
                contest.add(ask.tenant, ask.turn(now), number, ask.tokens);
            }
            self.count_held(&mut contest);
            out.extend(contest.into_turns().map(|(number, _)| number));
        }
        out
    }

    /// Keeps or drops the place of a request among those that ask again.
    fn reserve(&mut self, now: Instant, ask: &Ask<'_>, turn: Turn, keep: bool) {
        let rows = &mut self.reservations;
        let place = rows.iter().position(|row| row.request == ask.request);
        let until = now + RESERVATION_TTL;
        match (place, keep) {
            (Some(place), true) => {
                rows[place].turn = turn;
                rows[place].until = until;
            }
            (Some(place), false) => {
                rows.remove(place);
            }
            (None, true) => rows.push(Reservation {
                request: ask.request.to_owned(),
                tenant: ask.tenant.to_owned(),
                tokens: ask.tokens,
                turn,
                until,
            }),
            (None, false) => {}
        }
    }
}

impl Held {
    fn add_prefill(&mut self, tokens: u64, counts: bool) {
        self.total_ahead = self.total_ahead.saturating_add(tokens);
        if counts {
            self.ahead = self.ahead.saturating_add(tokens);
        }
    }
}
