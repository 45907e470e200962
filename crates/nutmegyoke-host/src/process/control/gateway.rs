//! The calls of a gateway to the replica in its own process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::control::Event as Input;
use nutmegyoke_core::process::control::replica::Change;
use nutmegyoke_core::version::{Document, Model};

use nutmegyoke_wire::connection::replica_capnp::replica;
use nutmegyoke_wire::version::document;

use super::{Control, HANDOVER_DELAY, Peers, proposal};
use crate::process::Event;

/// How long another process may take to send its routing document, whose size is not known
/// before.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a stopping replica may take to leave the membership.
pub(crate) const LEAVE_TIMEOUT: Duration = Duration::from_millis(400);

impl<C: Clock + 'static> Control<C> {
    /// Publishes a routing document. Returns the number of the document in force
    /// afterwards, `None` if no leader answered.
    pub async fn publish(&self, document: &Rc<Document>) -> Option<u64> {
        let known = self.document().map(|document| document.number);
        let is_known = known.is_some_and(|known| document.number <= known);
        if is_known || Peers::is_large(document.source.len()) {
            // An operator sends a document again until it is acknowledged. The leader may have it.
            let newest = self.newest_number().await?;
            if is_known || newest.is_some_and(|newest| document.number <= newest) {
                return newest;
            }
        }
        self.propose(&proposal::Publish(document)).await.flatten()
    }

    /// The number of the newest routing document, confirmed by the leader; the outer
    /// `None` if no leader answered, the inner one if none has been published.
    pub async fn newest_number(&self) -> Option<Option<u64>> {
        self.propose(&proposal::Newest).await
    }

    /// The number of a routing document, 0 if there is none, and a time at which it was the newest:
    /// `since` or later if the leader's messages arrive here, else that of a question to the
    /// leader. `None` if no leader answered.
    pub async fn newest_since(&self, since: Instant) -> Option<(u64, Instant)> {
        let now = self.driver.clock().now();
        let current_at = self.driver.machine().replica().current_at(now);
        if let Some(at) = current_at.filter(|&at| since <= at) {
            let number = self.document().map_or(0, |document| document.number);
            return Some((number, at));
        }
        let newest = self.newest_number().await?;
        Some((newest.unwrap_or(0), now))
    }

    /// The newest routing document that this replica has applied.
    #[must_use]
    pub fn document(&self) -> Option<Rc<Document>> {
        self.driver.machine().document().cloned()
    }

    /// Fetches the routing document of the process with a replica at `address`; `None` if its
    /// number is not above `above`, or if there is no answer.
    ///
    /// The leader isn't asked while its messages arrive: it sends the document to one replica
    /// after the other, and its link would be busy if all of them fetched it.
    pub async fn fetch_document(&self, address: SocketAddr, above: u64) -> Option<Rc<Document>> {
        if self.hears_leader() && self.leader_address() == Some(address) {
            return None;
        }
        let fetch = |client| fetch_document(client, above);
        let peers = self.peers.large();
        let fetched = peers.call(address, FETCH_TIMEOUT, fetch).await;
        fetched.ok().flatten()
    }

    /// Whether the replicated log brings documents that this replica lacks.
    #[must_use]
    pub fn hears_leader(&self) -> bool {
        let now = self.driver.clock().now();
        self.driver.machine().replica().hears_leader(now)
    }

    /// The address of the leader's replica, if the leader is known.
    #[must_use]
    pub fn leader_address(&self) -> Option<SocketAddr> {
        let machine = self.driver.machine();
        machine.replica().leader().map(|peer| peer.seed.address)
    }

    /// Fetches the routing document of the leader, like [`Control::fetch_document`].
    pub async fn fetch_leader_document(&self, above: u64) -> Option<Rc<Document>> {
        let fetch = |client| fetch_document(client, above);
        let peers = self.peers.large();
        let fetched = self.call_leader(peers, FETCH_TIMEOUT, fetch).await;
        fetched.flatten()
    }

    /// The last recorded demand for models, in prompt tokens per second.
    #[must_use]
    pub fn demand(&self) -> Rc<[(Model, f64)]> {
        Rc::clone(&self.driver.machine().replica().state().demand)
    }

    /// Records the demand for models, if this replica leads.
    pub fn record_demand(&self, demand: &Rc<[(Model, f64)]>) {
        // The answer is ignored: a lost record is followed by a new one a few seconds later.
        let call = self.driver.open().number();
        self.driver.feed(Input::DemandMeasured { call, demand });
    }

    /// The current term, if this replica leads it.
    #[must_use]
    pub fn leading_term(&self) -> Option<u64> {
        self.driver.machine().leading_term()
    }

    /// The addresses of all processes with a replica, this one included.
    #[must_use]
    pub fn peers(&self) -> Vec<SocketAddr> {
        let machine = self.driver.machine();
        let peers = machine.replica().membership().peers.iter();
        peers.map(|peer| peer.seed.address).collect()
    }

    /// The names of the replicas that vote, in order.
    #[must_use]
    pub fn voters(&self) -> Vec<String> {
        let machine = self.driver.machine();
        let voters = machine.replica().membership().voters();
        let mut names: Vec<String> = voters.map(|peer| peer.seed.name.clone()).collect();
        names.sort();
        names
    }

    /// Waits for the next change of the routing document, the membership or the leader.
    pub async fn changed(&self) {
        let next =
            std::future::poll_fn(|context| self.changes.borrow_mut().poll_next_unpin(context));
        if next.await.is_none() {
            // The sender is dropped only when the process ends.
            std::future::pending::<()>().await;
        }
    }

    /// Replaces the addresses through which this replica joins the fleet.
    pub fn set_contacts(&self, contacts: &[SocketAddr]) {
        self.driver.feed(Input::ContactsChanged { contacts });
    }

    /// Leaves the membership, if the fleet tolerates more failures without this replica. Called
    /// last before the process ends: a replica that is no member receives no documents.
    pub async fn leave(&self) {
        if !self.driver.machine().replica().should_leave() {
            return;
        }
        let change = proposal::Membership(Change::Remove(&self.member.vm.name));
        let leaving = Box::pin(self.propose(&change));
        let left = compio::time::timeout(LEAVE_TIMEOUT, leaving).await;
        let left = matches!(left, Ok(Some(())));
        Event::VoterLeft { left }.log();
    }

    /// Hands leadership over to another replica, if this one leads. A control process that
    /// stops calls this too.
    pub async fn step_down(&self) {
        self.driver.feed(Input::Stopping);
        // The handover message must be sent before the process ends.
        compio::time::sleep(HANDOVER_DELAY).await;
    }
}

async fn fetch_document(
    client: replica::Client,
    above: u64,
) -> capnp::Result<Option<Rc<Document>>> {
    let mut request = client.fetch_request();
    request.get().set_above(above);
    let response = request.send().promise.await?;
    let response = response.get()?;
    if !response.has_document() {
        return Ok(None);
    }
    document::read(response.get_document()?).map(Some)
}
