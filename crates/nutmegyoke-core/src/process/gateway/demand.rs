//! The demand for each model over all gateways, and the backlog of each endpoint at the
//! other gateways.
//!
//! Each gateway measures the demand of its own requests. With its gossip it sends the demand to
//! the gateway beside the leader, which places models, and its backlogs to all others, which
//! choose endpoints by them.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::process::DataCentre;
use crate::process::registry::Key;
use crate::process::registry::gossip::RELAY_INTERVAL;
use crate::process::throttle::Statement;
use crate::version::Model;

/// The time constants of the two moving averages of demand; the higher average counts. The
/// fast one follows a rise within seconds. The slow one retains demand after a fall, because
/// it may come back soon.
const TIME_CONSTANTS: [Duration; 2] = [Duration::from_millis(1500), Duration::from_secs(6)];

/// How long another gateway's report counts: two gossip intervals and some delay.
const REPORT_TTL: Duration = Duration::from_millis(4500);

/// How long a report is part of summaries, and a summary is passed on: four intervals of the
/// messages to relays. A gateway that is missing in summaries is sent messages directly.
const SUMMARY_TTL: Duration = RELAY_INTERVAL.saturating_mul(4);

/// A gateway leaves models with less demand than this out of its gossip, because such demand
/// isn't worth sending, and out of its own total. Restored demand is left out of the total
/// once it has decayed below this.
const MIN_TOKENS_PER_SECOND: f64 = 1.0;

/// The demand and the backlogs of one gateway, and the limits that it knows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Work {
    /// The demand for each model, in prompt tokens per second.
    pub models: Vec<(Model, f64)>,
    /// The gateway's requests at each endpoint, by the key of the endpoint's id.
    pub endpoints: Vec<(Key, Backlog)>,
    /// The limits that endpoints name.
    pub limits: Vec<Statement>,
}

/// The work of the gateways of one data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    pub data_centre: DataCentre,
    /// How long ago it was summed up.
    pub age: Duration,
    /// The runs of the gateways whose work it holds.
    pub members: Vec<u64>,
    pub work: Work,
}

impl Summary {
    /// The summary, without the demand unless that is asked for.
    #[must_use]
    pub fn strip(mut self, keeps_demand: bool) -> Self {
        if !keeps_demand {
            self.work.models.clear();
        }
        self
    }
}

/// The requests at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Prompt tokens that are not prefilled yet.
    pub ahead: u64,
    /// Requests in flight.
    pub in_flight: u32,
}

impl Backlog {
    fn add(&mut self, other: Self) {
        self.ahead = self.ahead.saturating_add(other.ahead);
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
    }
}

/// The demand and the backlogs of all gateways.
#[derive(Debug, Default)]
pub struct Demand {
    /// The demand that this gateway measured.
    local: BTreeMap<Model, Rate>,
    /// The latest report of each other gateway and when it came, by the run of its process.
    reports: HashMap<u64, Report>,
    /// The latest summary of each other data centre.
    areas: HashMap<DataCentre, Area>,
    /// The sum of the reports and summaries for each endpoint, by the key of its id.
    backlogs: HashMap<Key, Backlog>,
    /// The demand that an earlier leader recorded, and when leadership changed.
    restored: Option<(Instant, Vec<(Model, f64)>)>,
}

/// The work of another gateway.
#[derive(Debug)]
struct Report {
    /// When it came.
    at: Instant,
    work: Work,
    demand: Told,
}

/// The demand that was told last, and when: not every message holds it.
type Told = Option<(Instant, Vec<(Model, f64)>)>;

/// The work of another data centre.
#[derive(Debug)]
struct Area {
    /// When it was summed up.
    at: Instant,
    /// The run of the gateway of that data centre that sent it; `None` if one of this data centre
    /// passed it on.
    relay: Option<u64>,
    summary: Summary,
    demand: Told,
}

/// A rate as exponentially decaying sums.
#[derive(Clone, Copy, Debug)]
struct Rate {
    /// When the sums were last updated.
    at: Instant,
    /// The decayed sum of tokens for each of [`TIME_CONSTANTS`].
    sums: [f64; 2],
}

impl Rate {
    fn open(now: Instant) -> Self {
        let sums = [0.0; 2];
        Self { at: now, sums }
    }

    /// The sums decayed until `now`.
    fn decayed(self, now: Instant) -> [f64; 2] {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let [fast, slow] = TIME_CONSTANTS.map(|constant| (-age / constant.as_secs_f64()).exp());
        [self.sums[0] * fast, self.sums[1] * slow]
    }

    /// The higher of the two averages, per second.
    fn per_second(self, now: Instant) -> f64 {
        let [fast, slow] = self.decayed(now);
        let [fast_constant, slow_constant] = TIME_CONSTANTS.map(|constant| constant.as_secs_f64());
        (fast / fast_constant).max(slow / slow_constant)
    }
}

impl Demand {
    /// Counts prompt tokens to be prefilled for `model`.
    pub fn count_tokens(&mut self, now: Instant, model: &Model, tokens: u64) {
        let tokens = f64::from(u32::try_from(tokens).unwrap_or(u32::MAX));
        let rate = self.local.entry(model.clone()).or_insert(Rate::open(now));
        let sums = rate.decayed(now).map(|sum| sum + tokens);
        *rate = Rate { at: now, sums };
    }

    /// The demand for each model at this gateway, in prompt tokens per second.
    #[must_use]
    pub fn local(&self, now: Instant) -> Vec<(Model, f64)> {
        let rates = self.local.iter();
        let rates = rates.map(|(model, rate)| (model.clone(), rate.per_second(now)));
        rates
            .filter(|&(_, rate)| rate >= MIN_TOKENS_PER_SECOND)
            .collect()
    }

    /// Replaces the report of another gateway, unless a summary holds its work, and drops reports
    /// that are too old.
    pub fn receive(&mut self, now: Instant, run: u64, work: &Work) {
        let known = self.reports.get_mut(&run);
        let known = known.and_then(|known| known.demand.take());
        self.drop_reports(now, &[run]);
        let mut areas = self.areas.values();
        if !areas.any(|area| area.summary.members.contains(&run)) {
            self.add_backlogs(work);
            let report = Report {
                at: now,
                work: work.clone(),
                demand: told(now, &work.models).or(known),
            };
            self.reports.insert(run, report);
        }
    }

    /// Replaces the summary of another data centre, unless a later one is known. `relay` is the run
    /// of the gateway of that data centre which sent it, or `None` if it was passed on.
    pub fn receive_summary(&mut self, now: Instant, relay: Option<u64>, summary: Summary) {
        let at = now.checked_sub(summary.age).unwrap_or(now);
        let known = self.areas.get(&summary.data_centre);
        if known.is_some_and(|known| at < known.at) {
            return;
        }
        self.drop_reports(now, &summary.members);
        let known = self.areas.get_mut(&summary.data_centre);
        let known = known.and_then(|known| known.demand.take());
        self.add_backlogs(&summary.work);
        let data_centre = summary.data_centre.clone();
        let demand = told(at, &summary.work.models).or(known);
        let area = Area {
            at,
            relay,
            summary,
            demand,
        };
        if let Some(known) = self.areas.insert(data_centre, area) {
            self.subtract_backlogs(&known.summary.work);
        }
    }

    /// The summaries that came from relays in other data centres which are still `reached`, by the
    /// runs of these.
    pub fn relayed(
        &self,
        now: Instant,
        reached: impl Fn(u64) -> bool,
    ) -> impl Iterator<Item = Summary> {
        let areas = self
            .areas
            .values()
            .filter(move |area| now < area.at + SUMMARY_TTL && area.relay.is_some_and(&reached));
        areas.map(move |area| {
            let elapsed = now.saturating_duration_since(area.at);
            let mut summary = area.summary.clone();
            age_limits(&mut summary.work, elapsed.saturating_sub(summary.age));
            summary.work.models = in_force(now, &area.demand).to_vec();
            Summary {
                age: elapsed,
                ..summary
            }
        })
    }

    /// Sums up the work of this gateway, `own`, and of those of its data centre with the given
    /// `runs`, as far as they reported lately.
    #[must_use]
    pub fn summarize(
        &self,
        now: Instant,
        data_centre: DataCentre,
        own: Work,
        runs: impl Iterator<Item = u64>,
    ) -> Summary {
        let mut members = Vec::new();
        let mut models: BTreeMap<Model, f64> = own.models.into_iter().collect();
        let mut endpoints: BTreeMap<Key, Backlog> = own.endpoints.into_iter().collect();
        let mut limits = own.limits;
        for run in runs {
            let Some(Report { at, work, demand }) = self.reports.get(&run) else {
                continue;
            };
            let elapsed = now.saturating_duration_since(*at);
            if elapsed >= SUMMARY_TTL {
                continue;
            }
            members.push(run);
            for (model, rate) in in_force(now, demand) {
                *models.entry(model.clone()).or_default() += rate;
            }
            for &(key, backlog) in &work.endpoints {
                endpoints.entry(key).or_default().add(backlog);
            }
            let first = limits.len();
            limits.extend_from_slice(&work.limits);
            for statement in &mut limits[first..] {
                statement.age += elapsed;
            }
        }
        let work = Work {
            models: models.into_iter().collect(),
            endpoints: endpoints.into_iter().collect(),
            limits,
        };
        Summary {
            data_centre,
            age: Duration::ZERO,
            members,
            work,
        }
    }

    /// Drops the reports of these runs, and the reports and summaries that are too old.
    fn drop_reports(&mut self, now: Instant, runs: &[u64]) {
        let areas = self.areas.iter();
        let areas = areas.filter(|(_, area)| now >= area.at + REPORT_TTL);
        let areas: Vec<DataCentre> = areas.map(|(name, _)| name.clone()).collect();
        for area in areas {
            if let Some(area) = self.areas.remove(&area) {
                self.subtract_backlogs(&area.summary.work);
            }
        }
        let expired = self.reports.iter();
        let expired = expired.filter(|(_, report)| now >= report.at + REPORT_TTL);
        let expired: Vec<u64> = expired.map(|(&run, _)| run).collect();
        for run in expired.iter().chain(runs) {
            if let Some(report) = self.reports.remove(run) {
                self.subtract_backlogs(&report.work);
            }
        }
    }

    /// Adds a report's backlogs to the sums.
    fn add_backlogs(&mut self, work: &Work) {
        for &(key, backlog) in &work.endpoints {
            self.backlogs.entry(key).or_default().add(backlog);
        }
    }

    /// Takes a report's backlogs off the sums.
    fn subtract_backlogs(&mut self, work: &Work) {
        for (key, backlog) in &work.endpoints {
            let Some(sum) = self.backlogs.get_mut(key) else {
                continue;
            };
            sum.ahead = sum.ahead.saturating_sub(backlog.ahead);
            sum.in_flight = sum.in_flight.saturating_sub(backlog.in_flight);
            if *sum == Backlog::default() {
                self.backlogs.remove(key);
            }
        }
    }

    /// Restores the demand that an earlier leader recorded. It counts as if it had been
    /// measured until now, and decays from now on with the slow time constant.
    pub fn restore(&mut self, now: Instant, rows: &[(Model, f64)]) {
        self.restored = Some((now, rows.to_vec()));
    }

    /// The requests of the other gateways at an endpoint, from their latest reports.
    #[must_use]
    pub fn backlog(&self, id: &str) -> Backlog {
        self.backlogs.get(&Key::of(id)).copied().unwrap_or_default()
    }

    /// The mean age of the other gateways' work as known here, by reports and summaries; zero if
    /// there is none.
    #[must_use]
    pub fn report_age(&self, now: Instant) -> Duration {
        let reports = self.reports.values().map(|report| (report.at, 1));
        let areas = self.areas.values().map(|area| {
            let members = u32::try_from(area.summary.members.len());
            (area.at, members.unwrap_or(u32::MAX))
        });
        let (mut total, mut count) = (Duration::ZERO, 0_u32);
        for (at, gateways) in reports.chain(areas) {
            let age = now.saturating_duration_since(at);
            total = total.saturating_add(age.saturating_mul(gateways));
            count = count.saturating_add(gateways);
        }
        total.checked_div(count).unwrap_or_default()
    }

    /// The demand for each model over all gateways, in prompt tokens per second: the measured
    /// or the restored one, whichever is higher.
    #[must_use]
    pub fn total(&self, now: Instant) -> BTreeMap<Model, f64> {
        let mut total: BTreeMap<Model, f64> = self.local(now).into_iter().collect();
        let reports = self.reports.values().map(|report| &report.demand);
        let areas = self.areas.values().map(|area| &area.demand);
        for demand in reports.chain(areas) {
            for (model, rate) in in_force(now, demand) {
                *total.entry(model.clone()).or_default() += rate;
            }
        }
        if let Some((at, rows)) = &self.restored {
            let age = now.saturating_duration_since(*at).as_secs_f64();
            let [_, slow] = TIME_CONSTANTS.map(|constant| (-age / constant.as_secs_f64()).exp());
            for (model, rate) in rows
                .iter()
                .filter(|(_, rate)| rate * slow >= MIN_TOKENS_PER_SECOND)
            {
                let measured = total.entry(model.clone()).or_default();
                *measured = measured.max(rate * slow);
            }
        }
        total
    }
}

/// Adds to the age of the limits.
fn age_limits(work: &mut Work, elapsed: Duration) {
    for statement in &mut work.limits {
        statement.age += elapsed;
    }
}

/// The demand in a message, if it holds some.
fn told(at: Instant, models: &[(Model, f64)]) -> Told {
    (!models.is_empty()).then(|| (at, models.to_vec()))
}

/// The demand that was told last, unless that is too long ago.
fn in_force(now: Instant, demand: &Told) -> &[(Model, f64)] {
    let demand = demand.as_ref();
    let demand = demand.filter(|(at, _)| now < *at + REPORT_TTL);
    demand.map_or(&[], |(_, models)| models)
}
