//! Changes proposed to the replicated log, and other calls that only the leader can answer.
//!
//! Every process with a replica accepts them. If its replica doesn't lead, the process
//! forwards them to the leader, and retries during an election. All of them are idempotent,
//! so a call whose answer was lost can be repeated.

use std::rc::Rc;
use std::time::Duration;

use capnp::capability::FromClientHook;
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::control::replica::Change as MembershipChange;
use nutmegyoke_core::process::control::{Acceptance, Command, Event as Input, Store};
use nutmegyoke_core::request::{Id, Verdict, claim};
use nutmegyoke_core::version::{Configuration, Document};
use nutmegyoke_wire::connection::replica_capnp::replica;
use nutmegyoke_wire::request as wire;
use nutmegyoke_wire::version::{acceptance, document, lists};

use super::{Control, unix_millis};
use crate::connection::Pool;
use crate::connection::link::transfer_time;

/// How long a proposal is retried before it fails.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(8);

/// How long a proposal about routing is retried: its callers try another gateway after a
/// second.
const ROUTING_TIMEOUT: Duration = Duration::from_millis(900);

/// A large proposal is transferred to the leader, and from there to the other replicas.
const TRANSFERS_PER_PROPOSAL: u32 = 2;

/// The delay between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long the leader may take to answer a forwarded proposal, or another forwarded call.
pub(super) const FORWARD_TIMEOUT: Duration = Duration::from_secs(3);

/// How long the leader may take to answer a forwarded proposal about routing, besides the time of
/// the transfer: half of [`ROUTING_TIMEOUT`], so that there is time for another try on a new
/// connection.
const ROUTING_FORWARD_TIMEOUT: Duration = Duration::from_millis(450);

/// A change proposed to the replicated log, or another call for the leader, with its answer.
pub trait Proposal {
    /// The leader's answer.
    type Answer;

    /// How long the proposal is retried before it fails, besides the time of the transfers.
    const TIMEOUT: Duration = PROPOSAL_TIMEOUT;

    /// How long the leader may take to answer if it is another process, besides the time of the
    /// transfer.
    const FORWARD_TIMEOUT: Duration = FORWARD_TIMEOUT;

    /// The approximate size of a proposal that may be large, in bytes.
    fn size(&self) -> usize {
        0
    }

    /// Builds the event that makes the proposal to this process's state machine. The answer
    /// goes to the mailbox with the number `call`.
    fn event<C: Clock>(&self, call: u64, clock: &C) -> Input<'_>;

    /// Extracts the answer from `command`; `None` if the leader has to be asked instead.
    fn answer(command: Command) -> Option<Self::Answer>;

    /// Forwards the proposal to the leader.
    fn forward(
        &self,
        leader: &replica::Client,
    ) -> impl Future<Output = capnp::Result<Self::Answer>>;
}

impl<C: Clock + 'static> Control<C> {
    /// Proposes to the leader, which is this process or another, and returns its answer;
    /// `None` if there was none within [`Proposal::TIMEOUT`].
    pub(super) async fn propose<P: Proposal>(&self, proposal: &P) -> Option<P::Answer> {
        self.pending.set(self.pending.get() + 1);
        let timeout = P::TIMEOUT + transfer_time(proposal.size()) * TRANSFERS_PER_PROPOSAL;
        let answer = compio::time::timeout(timeout, self.retry_until_answered(proposal)).await;
        self.pending.set(self.pending.get() - 1);
        answer.ok()
    }

    async fn retry_until_answered<P: Proposal>(&self, proposal: &P) -> P::Answer {
        loop {
            let mut mailbox = self.driver.open();
            let event = proposal.event(mailbox.number(), self.driver.clock());
            self.driver.feed(event);
            if let Some(answer) = mailbox.next().await.and_then(P::answer) {
                return answer;
            }
            let forward = |leader: replica::Client| async move { proposal.forward(&leader).await };
            let timeout = P::FORWARD_TIMEOUT + transfer_time(proposal.size());
            let peers = self.peers.for_size(proposal.size());
            if let Some(answer) = self.call_leader(peers, timeout, forward).await {
                return answer;
            }
            compio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Makes a call to the leader on one of these connections; `None` if the leader is not known
    /// or is this process, or the call fails.
    pub(super) async fn call_leader<R, F>(
        &self,
        peers: &Rc<Pool<replica::Client>>,
        timeout: Duration,
        call: impl FnOnce(replica::Client) -> F,
    ) -> Option<R>
    where
        F: Future<Output = capnp::Result<R>>,
    {
        let address = {
            let machine = self.driver.machine();
            let replica = machine.replica();
            let leader = replica.leader().filter(|peer| peer.id != replica.id())?;
            leader.seed.address
        };
        peers.call(address, timeout, call).await.ok()
    }
}

/// Submits a configuration.
pub struct Apply<'a>(pub &'a Rc<Configuration>);

impl Proposal for Apply<'_> {
    type Answer = Acceptance;

    fn size(&self) -> usize {
        Store::configuration_size(self.0)
    }

    fn event<C: Clock>(&self, call: u64, _: &C) -> Input<'_> {
        Input::Submitted {
            call,
            configuration: self.0,
        }
    }

    fn answer(command: Command) -> Option<Acceptance> {
        match command {
            Command::AnswerConfiguration { acceptance, .. } => Some(acceptance),
            _ => None,
        }
    }

    async fn forward(&self, leader: &replica::Client) -> capnp::Result<Acceptance> {
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

    const TIMEOUT: Duration = ROUTING_TIMEOUT;
    const FORWARD_TIMEOUT: Duration = ROUTING_FORWARD_TIMEOUT;

    fn size(&self) -> usize {
        self.0.source.len()
    }

    fn event<C: Clock>(&self, call: u64, _: &C) -> Input<'_> {
        Input::Published {
            call,
            document: self.0,
        }
    }

    fn answer(command: Command) -> Option<Option<u64>> {
        match command {
            Command::AnswerDocument { number, .. } => Some(number),
            _ => None,
        }
    }

    async fn forward(&self, leader: &replica::Client) -> capnp::Result<Option<u64>> {
        let mut request = leader.publish_request();
        document::write(self.0, request.get().init_document());
        let response = request.send().promise.await?;
        let response = response.get()?;
        Ok(response.get_published().then_some(response.get_number()))
    }
}

/// Reads the number of the newest routing document.
pub struct Newest;

impl Proposal for Newest {
    type Answer = Option<u64>;

    const TIMEOUT: Duration = ROUTING_TIMEOUT;
    const FORWARD_TIMEOUT: Duration = ROUTING_FORWARD_TIMEOUT;

    fn event<C: Clock>(&self, call: u64, _: &C) -> Input<'_> {
        Input::Read { call }
    }

    fn answer(command: Command) -> Option<Option<u64>> {
        Publish::answer(command)
    }

    async fn forward(&self, leader: &replica::Client) -> capnp::Result<Option<u64>> {
        let response = leader.read_request().send().promise.await?;
        let response = response.get()?;
        Ok(response.get_published().then_some(response.get_number()))
    }
}

/// Requests a claim: the exclusive right of the request `holder` to run under an idempotency
/// key.
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
            unix_ms: unix_millis(clock),
        }
    }

    fn answer(command: Command) -> Option<claim::Outcome> {
        match command {
            Command::AnswerClaim { outcome, .. } => Some(outcome),
            _ => None,
        }
    }

    async fn forward(&self, leader: &replica::Client) -> capnp::Result<claim::Outcome> {
        let mut request = leader.clone().cast_to::<ControlClient>().claim_request();
        let mut params = request.get();
        wire::claim::write_name(self.name, params.reborrow().init_name());
        wire::id::write(self.holder, params.reborrow().init_holder());
        params.set_digest(self.digest);
        let response = request.send().promise.await?;
        wire::claim::read_outcome(response.get()?.get_outcome()?)
    }
}

/// Records the end of a claimed request.
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
        matches!(command, Command::AnswerRecorded { .. }).then_some(())
    }

    async fn forward(&self, leader: &replica::Client) -> capnp::Result<()> {
        let mut request = leader.clone().cast_to::<ControlClient>().conclude_request();
        let mut params = request.get();
        wire::claim::write_name(self.name, params.reborrow().init_name());
        wire::id::write(self.holder, params.reborrow().init_holder());
        wire::verdict::write(self.verdict, params.reborrow().init_verdict());
        params.set_vm(self.vm);
        request.send().promise.await?;
        Ok(())
    }
}

/// Changes the membership of the replicas: adds or removes the replica of a VM.
pub struct Membership<'a>(pub MembershipChange<'a>);

impl Proposal for Membership<'_> {
    type Answer = ();

    fn event<C: Clock>(&self, call: u64, _: &C) -> Input<'_> {
        Input::MembershipProposed {
            call,
            change: self.0,
        }
    }

    fn answer(command: Command) -> Option<()> {
        matches!(command, Command::AnswerMembership { .. }).then_some(())
    }

    async fn forward(&self, leader: &replica::Client) -> capnp::Result<()> {
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

/// The interface of a control process that serves all other processes.
type ControlClient = nutmegyoke_wire::connection::link_capnp::control::Client;
