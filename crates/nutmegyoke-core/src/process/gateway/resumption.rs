//! Streams that clients take up again after they broke off.
//!
//! A stream goes on only at the build of its service's software that began it. When the answer to a
//! resumable stream begins, its build is noted here, at two other gateways and at the stewards of
//! three engines: a stream may be taken up at any gateway, also after all gateways were killed at
//! once. A gateway that is sent a stream to go on with asks them. If none knows the build, the
//! stream goes on only if its service can have had no other build since it began; else it is
//! refused at once, so that the client begins anew.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use super::call::{Call, Stage};
use super::order::rank;
use super::{Command as GatewayCommand, Gateway, Halt, Refusal, Sink};
use crate::process::origin::{Build, Stream};
use crate::request::{Reason, Verdict};
use crate::version::Service;

/// At how many other gateways the build of a stream is noted, so that one of them may be gone.
const NOTED_GATEWAYS: usize = 2;

/// At how many stewards it is noted. Two of them may be gone: they go with their engines, and a
/// release replaces several at a time.
const NOTED_STEWARDS: usize = 3;

/// How many other gateways are asked for it: the order changes while gateways come and go.
const ASKED_GATEWAYS: usize = 3;

/// How many stewards are asked for it. More than gateways, because a release replaces the engines of
/// a service within seconds.
const ASKED_STEWARDS: usize = 6;

/// How many timeouts of its route old a stream may be that is taken up: a client has one for all its
/// attempts, and the route may have had a longer one before.
const AGE_FACTOR: u32 = 2;

/// Whether a request goes on with a stream, and at which build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Continuation {
    /// It begins anew, or may not be resumed.
    None,
    /// It goes on with a stream whose build is not known yet.
    Unresolved,
    /// It goes on with a stream of this build.
    Of(Build),
}

impl Continuation {
    /// The build at which the request has to run, if there is one.
    #[must_use]
    pub fn build(self) -> Option<Build> {
        match self {
            Self::Of(build) => Some(build),
            Self::None | Self::Unresolved => None,
        }
    }
}

/// An event about the builds of streams.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// Another gateway tells which build began a stream.
    Noted { stream: Stream, build: Build },
    /// Those that [`Command::Recall`] names answered, as far as they did in time.
    Recalled { call: u64, answers: &'a [Answer] },
}

/// A command about the builds of streams.
#[derive(Clone, Debug)]
pub enum Command {
    /// Tell these processes which build began a stream.
    Note {
        places: Places,
        stream: Stream,
        build: Build,
    },
    /// Ask these processes for the build of a stream, and the gateways for the only one that the
    /// `service` had within the `horizon`; feed [`Event::Recalled`].
    Recall {
        call: u64,
        places: Places,
        stream: Stream,
        service: Service,
        horizon: Duration,
    },
}

impl Command {
    /// The number of the request that the command is for, if it is for one.
    #[must_use]
    pub fn addressee(&self) -> Option<u64> {
        match self {
            Self::Recall { call, .. } => Some(*call),
            Self::Note { .. } => None,
        }
    }
}

/// Processes that keep the builds of streams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Places {
    /// Where gateways receive gossip.
    pub gateways: Vec<SocketAddr>,
    /// The VMs of engines whose stewards are meant.
    pub stewards: Vec<IpAddr>,
}

/// What a process knows of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The build that began it.
    pub build: Option<Build>,
    /// The only build that its service had for as long as the stream may be old.
    pub sole: Option<Build>,
}

impl Gateway {
    /// The build that began a stream, as far as this gateway knows.
    #[must_use]
    pub fn origin(&self, now: Instant, stream: Stream) -> Option<Build> {
        self.origins.build(now, stream)
    }

    /// The only build that a service had within `horizon`; `None` if it had several, or this
    /// gateway does not know all of that time.
    #[must_use]
    pub fn sole_build(&self, now: Instant, service: &str, horizon: Duration) -> Option<Build> {
        let listed_at = self.first_listed_at?;
        if now < listed_at + horizon {
            return None;
        }
        self.registry.sole_build(now, service, horizon)
    }

    pub(super) fn handle_resumption<S>(&mut self, now: Instant, event: Event<'_>, out: &mut S)
    where
        S: Sink<Command = GatewayCommand>,
    {
        match event {
            Event::Noted { stream, build } => self.origins.record(now, stream, build),
            Event::Recalled { call, answers } => self.recalled(now, call, answers, out),
        }
    }

    /// Notes the build of a resumable stream whose answer begins.
    pub(super) fn note_origin<S>(&mut self, now: Instant, number: u64, out: &mut S)
    where
        S: Sink<Command = GatewayCommand>,
    {
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        let Some(stream) = call.stream.filter(|_| call.route.resumes()) else {
            return;
        };
        let row = call.endpoint().and_then(|id| self.registry.row(id));
        let Some(row) = row.filter(|row| call.sent_to == Some(row.stamp.started_ms)) else {
            // The endpoint has started again since, maybe with another build.
            return;
        };
        let build = Build::of(&row.announcement);
        let places = self.places(call, stream, NOTED_GATEWAYS, NOTED_STEWARDS);
        self.origins.record(now, stream, build);
        out.push(GatewayCommand::Resumption(Command::Note {
            places,
            stream,
            build,
        }));
    }

    /// Finds out the build of the stream that a request goes on with, if it does. Returns whether the
    /// request waits for that.
    pub(super) fn resolve_origin<S>(&mut self, now: Instant, number: u64, out: &mut S) -> bool
    where
        S: Sink<Command = GatewayCommand>,
    {
        let call = self.calls.get(&number);
        let Some(call) = call.filter(|call| call.continuation == Continuation::Unresolved) else {
            return false;
        };
        let known = call.stream.and_then(|stream| self.origin(now, stream));
        if let Some(build) = known {
            return !self.continue_at(number, build, out);
        }
        // Without an id no process knows the stream, but maybe that there is one build only.
        let stream = call.stream.unwrap_or(Stream(0));
        let places = self.places(call, stream, ASKED_GATEWAYS, ASKED_STEWARDS);
        let (service, horizon) = (call.service.clone(), call.route.timeout * AGE_FACTOR);
        if let Some(call) = self.calls.get_mut(&number) {
            call.stage = Stage::Recalling;
        }
        out.push(GatewayCommand::Resumption(Command::Recall {
            call: number,
            places,
            stream,
            service,
            horizon,
        }));
        true
    }

    /// Lets a request go on at the build that the answers tell, or refuses it.
    fn recalled<S>(&mut self, now: Instant, number: u64, answers: &[Answer], out: &mut S)
    where
        S: Sink<Command = GatewayCommand>,
    {
        let call = self.calls.get_mut(&number);
        let Some(call) = call.filter(|call| call.stage == Stage::Recalling) else {
            return;
        };
        call.stage = Stage::Idle;
        let service = call.service.clone();
        let horizon = call.route.timeout * AGE_FACTOR;
        let told = answers.iter().find_map(|answer| answer.build);
        let build = told.or_else(|| self.only_possible_build(now, &service, horizon, answers));
        let Some(build) = build else {
            return self.refuse_continuation(number, Reason::UnknownOrigin, out);
        };
        if self.continue_at(number, build, out) {
            self.attempt(now, number, out);
        }
    }

    /// The only build that can have begun a stream of a service: by what this gateway knows, or what
    /// all those that answered do if it started only lately.
    fn only_possible_build(
        &self,
        now: Instant,
        service: &Service,
        horizon: Duration,
        answers: &[Answer],
    ) -> Option<Build> {
        if let Some(build) = self.sole_build(now, service.as_str(), horizon) {
            return Some(build);
        }
        // Several builds are known here, or one, for a time that is too short.
        let own = self.registry.sole_build(now, service.as_str(), horizon)?;
        let mut told = answers.iter().filter_map(|answer| answer.sole).peekable();
        told.peek()?;
        told.all(|build| build == own).then_some(own)
    }

    /// Lets a request go on at `build` only. Returns false if no endpoint with it is left, and the
    /// request is refused.
    fn continue_at<S>(&mut self, number: u64, build: Build, out: &mut S) -> bool
    where
        S: Sink<Command = GatewayCommand>,
    {
        let Some(call) = self.calls.get_mut(&number) else {
            return false;
        };
        let mut rows = self
            .registry
            .rows()
            .filter(|row| row.accepts_requests() && Build::of(&row.announcement) == build);
        let names = |service: &Service| {
            call.route
                .shares
                .iter()
                .any(|share| share.service == *service)
        };
        // A route with several services may have chosen another one than for the first attempt.
        let service = rows.find_map(|row| {
            let service = &row.announcement.service;
            (*service == call.service || names(service)).then(|| service.clone())
        });
        drop(rows);
        let Some(service) = service else {
            self.refuse_continuation(number, Reason::OriginGone, out);
            return false;
        };
        if service != call.service {
            if let Some(held) = self.held.get_mut(&call.service) {
                held.remove(call.tokens);
            }
            self.held
                .entry(service.clone())
                .or_default()
                .add(call.tokens);
            call.service = service;
        }
        call.continuation = Continuation::Of(build);
        true
    }

    /// Refuses to go on with a stream, now and later, so without a time to come back.
    fn refuse_continuation<S>(&mut self, number: u64, reason: Reason, out: &mut S)
    where
        S: Sink<Command = GatewayCommand>,
    {
        self.remove_call(number);
        let refusal = Refusal {
            verdict: Verdict::not_run(reason),
            retry_after: None,
            halt: Halt::Untried,
        };
        out.push(GatewayCommand::Refuse {
            call: number,
            refusal,
        });
    }

    /// The first processes in the order of a stream, without this one.
    fn places(&self, call: &Call, stream: Stream, gateways: usize, stewards: usize) -> Places {
        let name = format!("{:016x}", stream.0);
        let mut places = Places {
            gateways: rank(&name, self.gossip.reachable()),
            stewards: Vec::new(),
        };
        places.gateways.truncate(gateways);
        let routing = self.routing.as_ref();
        let pool = routing.and_then(|routing| routing.pool(call.service.as_str()));
        // Only engines have a steward beside them.
        if pool.is_some_and(|pool| pool.engine.is_some()) {
            let rows = self.registry.rows();
            let rows =
                rows.filter(|row| !row.signed_off && row.announcement.service == call.service);
            let ranked = rank(&name, rows.map(|row| row.announcement.address));
            places.stewards = ranked.iter().map(SocketAddr::ip).take(stewards).collect();
        }
        places
    }
}
