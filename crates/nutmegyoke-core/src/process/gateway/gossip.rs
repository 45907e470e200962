//! Sends and receives gossip.
//!
//! Between data centres one gateway of each, the relay, exchanges what all gateways of its data
//! centre know (see [`Gossip`]): heartbeats without changes, and the sum of the work as a
//! [`Summary`]. Changes of endpoints and the evidence on crashes go directly to all gateways.

use std::net::SocketAddr;
use std::time::Instant;

use super::demand::{Summary, Work};
use super::{Answer, Command, Gateway, Message, Sink};
use crate::process::registry::gossip::Link;
use crate::process::registry::{Revision, Source};

impl Gateway {
    /// Replaces the list of the other gateways.
    pub(super) fn set_peers(&mut self, now: Instant, gateways: &[SocketAddr]) {
        self.gossip.set_peers(now, gateways);
        if !self.gossip.is_empty() {
            self.allotments.heard.clear();
        }
    }

    /// Sends gossip to the gateways that are due a message.
    pub(super) fn send_gossip<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        if self.gossip.deadline().is_none_or(|due| now < due) {
            return;
        }
        let work = self.work(now);
        let models = self.demand.local(now);
        let busy = work != Work::default() || !models.is_empty();
        let revision = Revision {
            endpoints: self.registry.revision(),
            changes: self.registry.changed_revision(),
            crashes: self.quarantine.revision(),
            document: self.document(),
        };
        let due = self.gossip.due(now, revision, busy);
        let summary = due
            .iter()
            .any(|&(to, _)| self.gossip.link(now, to) == Link::Relays);
        let summary = summary.then(|| self.summary(now, &work));
        for (to, acknowledged) in due {
            let link = self.gossip.link(now, to);
            let leads = self.leader == Some(to);
            let takes_demand = match link {
                Link::Direct | Link::FromRelay => leads,
                Link::ToRelay => self.leader != Some(self.setup.address),
                Link::Relays => self
                    .leader
                    .is_some_and(|leader| self.gossip.are_near(leader, to)),
                Link::Relayed => false,
            };
            let takes_demand = takes_demand && self.gossip.tells_demand(now, to);
            let mut message = Message {
                link,
                rumors: Vec::new(),
                work: Work::default(),
                summaries: Vec::new(),
                evidence: self.quarantine.since(now, acknowledged.crashes),
                introduces: acknowledged == Revision::default(),
            };
            message.rumors = self.registry.since_within(now, acknowledged, link.scope());
            let missed = self.gossip.take_missed(to);
            message.rumors.extend(self.registry.renewals(now, &missed));
            if let Some(agreed) = self.gossip.repairs(now, to) {
                message
                    .rumors
                    .extend(self.registry.learned_since(now, agreed));
            }
            match link {
                Link::Direct | Link::ToRelay | Link::FromRelay => {
                    message.work.clone_from(&work);
                    if takes_demand {
                        message.work.models.clone_from(&models);
                    }
                }
                Link::Relays | Link::Relayed => {}
            }
            if link == Link::FromRelay {
                let summaries = self.demand.relayed(now, |run| self.gossip.is_reached(run));
                message
                    .summaries
                    .extend(summaries.map(|summary| summary.strip(takes_demand)));
            }
            if link == Link::Relays {
                let summary = summary.clone();
                let summary = summary.map(|summary| summary.strip(takes_demand));
                message.summaries.extend(summary);
            }
            out.push(Command::Gossip { to, message });
        }
    }

    /// What this gateway answers to a message: a digest of the endpoints that it knows, and those
    /// whose heartbeats it misses.
    #[must_use]
    pub fn answer(&self, now: Instant) -> Answer {
        Answer {
            digest: self.registry.digest(),
            missed: self.registry.missed(now),
        }
    }

    /// Compares the answer of another gateway with what this one knows.
    pub(super) fn compare(&mut self, now: Instant, gateway: SocketAddr, answer: &Answer) {
        let agrees = answer.digest == self.registry.digest();
        let missed = answer.missed.iter().copied();
        let missed = missed.filter(|&start| !self.registry.renewals(now, &[start]).is_empty());
        let revision = self.registry.revision();
        self.gossip
            .compare(now, gateway, agrees, revision, missed.collect());
    }

    /// The work of the gateways of this data centre that this one hears.
    fn summary(&self, now: Instant, work: &Work) -> Summary {
        let mut own = work.clone();
        own.models = self.demand.local(now);
        let data_centre = self.setup.data_centre.clone();
        self.demand
            .summarize(now, data_centre, own, self.gossip.near_runs())
    }

    /// Applies a message of the gateway whose process has the run `from`.
    pub(super) fn receive_gossip<S>(
        &mut self,
        now: Instant,
        from: u64,
        message: &Message,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let sender = self.gossip.data_centre(from);
        let is_far = sender.is_some_and(|sender| *sender != self.setup.data_centre);
        let source = if is_far { Source::Far } else { Source::Near };
        // A relay sends its work within the summary.
        let is_relay = is_far && !message.summaries.is_empty();
        if !is_relay {
            self.demand.receive(now, from, &message.work);
        }
        for statement in &message.work.limits {
            self.limits.apply(now, statement);
        }
        for summary in &message.summaries {
            let mut summary = summary.clone();
            if is_far {
                summary.members.push(from);
            }
            for statement in &summary.work.limits {
                self.limits.apply(now, statement);
            }
            self.gossip
                .cover(now, from, &summary.data_centre, &summary.members);
            self.demand
                .receive_summary(now, is_far.then_some(from), summary);
        }
        for rumor in &message.rumors {
            self.receive_rumor(now, rumor, source, out);
        }
        // The rumors tell which of the endpoints did not crash.
        self.receive_evidence(now, &message.evidence, out);
    }
}
