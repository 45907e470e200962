//! Calls that only the leader can answer.
//!
//! Any control process takes them. One that does not lead passes them on, and
//! tries again while an election is under way. All of them are idempotent, so
//! a call whose answer was lost may be made again.

use std::rc::Rc;
use std::time::Duration;

use capnp::capability::FromClientHook;
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::control::replica::Change as MembershipChange;
use nutmegyoke_core::process::control::{Acceptance, Command, Event as Input};
use nutmegyoke_core::request::{Id, Verdict, claim};
use nutmegyoke_core::version::{Configuration, Document};
use nutmegyoke_wire::connection::replica_capnp::replica;
use nutmegyoke_wire::request as wire;
use nutmegyoke_wire::version::{acceptance, document, lists};

use super::{Control, wall};

/// How long a call is tried before it fails.
const PATIENCE: Duration = Duration::from_secs(8);

/// How long a call about routing is tried: its callers go elsewhere after a second.
const ROUTING_PATIENCE: Duration = Duration::from_millis(900);

/// The pause before a call is tried again.
const PAUSE: Duration = Duration::from_millis(50);

/// How long the leader may take to answer a call that was passed on.
const TIMEOUT: Duration = Duration::from_secs(3);

/// A call that only the leader can answer.
pub trait Proposal {
    /// What the caller learns.
    type Answer;

    /// How long the call is tried before it fails.
    const PATIENCE: Duration = PATIENCE;

    /// The event for the own machine.
    fn event<C: Clock>(&self, call: u64, clock: &C) -> Input<'_>;

    /// The answer, if `command` is one.
    fn answer(command: Command) -> Option<Self::Answer>;

    /// Makes the call at the leader.
    fn pass(&self, leader: &replica::Client) -> impl Future<Output = capnp::Result<Self::Answer>>;
}

impl<C: Clock + 'static> Control<C> {
    /// Gets the answer from the leader, this process or another.
    pub(super) async fn ask<A: Proposal>(&self, ask: &A) -> Option<A::Answer> {
        self.pending.set(self.pending.get() + 1);
        let answer = compio::time::timeout(A::PATIENCE, self.insist(ask)).await;
        self.pending.set(self.pending.get() - 1);
        answer.ok()
    }

    async fn insist<A: Proposal>(&self, ask: &A) -> A::Answer {
        loop {
            let mut mailbox = self.driver.open();
            let event = ask.event(mailbox.number(), self.driver.clock());
            self.driver.feed(event);
            if let Some(answer) = mailbox.next().await.and_then(A::answer) {
                return answer;
            }
            if let Some(leader) = self.leader().await {
                let passed = compio::time::timeout(TIMEOUT, ask.pass(&leader)).await;
                if let Ok(Ok(answer)) = passed {
                    return answer;
                }
            }
            compio::time::sleep(PAUSE).await;
        }
    }

    /// The link to the leader, if it is known and another process.
    pub(super) async fn leader(&self) -> Option<replica::Client> {
        let address = {
            let machine = self.driver.machine();
            let replica = machine.replica();
            let leader = replica.leader().filter(|peer| peer.id != replica.id())?;
            leader.seed.address
        };
        self.peers.get(address).await.ok()
    }
}

/// Submits a configuration.
pub struct Apply<'a>(pub &'a Rc<Configuration>);

impl Proposal for Apply<'_> {
    type Answer = Acceptance;

    fn event<C: Clock>(&self, call: u64, _: &C) -> Input<'_> {
        Input::Applied {
            call,
            configuration: self.0,
        }
    }

    fn answer(command: Command) -> Option<Acceptance> {
        match command {
            Command::Answer { acceptance, .. } => Some(acceptance),
            _ => None,
        }
    }

    async fn pass(&self, leader: &replica::Client) -> capnp::Result<Acceptance> {
        let mut request = leader.apply_request();
        lists::write(self.0.lists(), request.get().init_lists());
        let response = request.send().promise.await?;
        acceptance::read(response.get()?.get_acceptance()?)
    }
}

/// Publishes a routing document.
pub struct Publish<'a>(pub &'a Rc<Document>);

impl Proposal for Publish<'_> {
    type Answer = Option<u64>;

    const PATIENCE: Duration = ROUTING_PATIENCE;

    fn event<C: Clock>(&self, call: u64, _: &C) -> Input<'_> {
        Input::Published {
            call,
            document: self.0,
        }
    }

    fn answer(command: Command) -> Option<Option<u64>> {
        match command {
            Command::Tell { number, .. } => Some(number),
            _ => None,
        }
    }

    async fn pass(&self, leader: &replica::Client) -> capnp::Result<Option<u64>> {
        let mut request = leader.publish_request();
        document::write(self.0, request.get().init_document());
        let response = request.send().promise.await?;
        let response = response.get()?;
        Ok(response.get_published().then_some(response.get_number()))
    }
}

/// Asks for the number of the newest routing document.
pub struct Newest;

impl Proposal for Newest {
    type Answer = Option<u64>;

    const PATIENCE: Duration = ROUTING_PATIENCE;

    fn event<C: Clock>(&self, call: u64, _: &C) -> Input<'_> {
        Input::Read { call }
    }

    fn answer(command: Command) -> Option<Option<u64>> {
        Publish::answer(command)
    }

    async fn pass(&self, leader: &replica::Client) -> capnp::Result<Option<u64>> {
        let response = leader.read_request().send().promise.await?;
        let response = response.get()?;
        Ok(response.get_published().then_some(response.get_number()))
    }
}

/// Asks for a claim.
pub struct Claim<'a> {
    pub name: &'a claim::Name,
    pub holder: Id,
    pub digest: u64,
}

impl Proposal for Claim<'_> {
    type Answer = claim::Outcome;

    fn event<C: Clock>(&self, call: u64, clock: &C) -> Input<'_> {
        Input::Claimed {
            call,
            name: self.name,
            holder: self.holder,
            digest: self.digest,
            wall: wall(clock),
        }
    }

    fn answer(command: Command) -> Option<claim::Outcome> {
        match command {
            Command::Judge { outcome, .. } => Some(outcome),
            _ => None,
        }
    }

    async fn pass(&self, leader: &replica::Client) -> capnp::Result<claim::Outcome> {
        let mut request = leader.clone().cast_to::<Offered>().claim_request();
        let mut params = request.get();
        wire::claim::write_name(self.name, params.reborrow().init_name());
        wire::id::write(self.holder, params.reborrow().init_holder());
        params.set_digest(self.digest);
        let response = request.send().promise.await?;
        wire::claim::read_outcome(response.get()?.get_outcome()?)
    }
}

/// Tells how a claimed request ended.
pub struct Conclude<'a> {
    pub name: &'a claim::Name,
    pub holder: Id,
    pub verdict: Verdict,
    pub vm: &'a str,
}

impl Proposal for Conclude<'_> {
    type Answer = ();

    fn event<C: Clock>(&self, call: u64, _: &C) -> Input<'_> {
        Input::Concluded {
            call,
            name: self.name,
            holder: self.holder,
            verdict: self.verdict,
            vm: self.vm,
        }
    }

    fn answer(command: Command) -> Option<()> {
        matches!(command, Command::Record { .. }).then_some(())
    }

    async fn pass(&self, leader: &replica::Client) -> capnp::Result<()> {
        let mut request = leader.clone().cast_to::<Offered>().conclude_request();
        let mut params = request.get();
        wire::claim::write_name(self.name, params.reborrow().init_name());
        wire::id::write(self.holder, params.reborrow().init_holder());
        wire::verdict::write(self.verdict, params.reborrow().init_verdict());
        params.set_vm(self.vm);
        request.send().promise.await?;
        Ok(())
    }
}

/// Changes which VMs hold replicas.
pub struct Change<'a>(pub MembershipChange<'a>);

impl Proposal for Change<'_> {
    type Answer = ();

    fn event<C: Clock>(&self, call: u64, _: &C) -> Input<'_> {
        Input::Wished {
            call,
            change: self.0,
        }
    }

    fn answer(command: Command) -> Option<()> {
        matches!(command, Command::Grant { .. }).then_some(())
    }

    async fn pass(&self, leader: &replica::Client) -> capnp::Result<()> {
        let mut request = leader.wish_request();
        let (name, remove) = match self.0 {
            MembershipChange::Add(name) => (name, false),
            MembershipChange::Remove(name) => (name, true),
        };
        request.get().set_name(name);
        request.get().set_remove(remove);
        request.send().promise.await?;
        Ok(())
    }
}

/// What a control process offers to all others.
type Offered = nutmegyoke_wire::connection::link_capnp::control::Client;
