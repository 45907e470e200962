//! The calls of a gateway to the replica in its own process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::control::Event as Input;
use nutmegyoke_core::version::{Document, Model};

use nutmegyoke_wire::connection::replica_capnp::replica;
use nutmegyoke_wire::version::document;

use super::{Control, HANDOVER_DELAY, proposal};

/// How long another process may take to send its routing document, whose size is not known
/// before. The next one is asked sooner, if there is one.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

impl<C: Clock + 'static> Control<C> {
    /// Publishes a routing document. Returns the number of the document in force
    /// afterwards, `None` if no leader answered.
    pub async fn publish(&self, document: &Rc<Document>) -> Option<u64> {
        self.propose(&proposal::Publish(document)).await.flatten()
    }

    /// The number of the newest routing document, confirmed by the leader; the outer
    /// `None` if no leader answered, the inner one if none has been published.
    pub async fn newest_number(&self) -> Option<Option<u64>> {
        self.propose(&proposal::Newest).await
    }

    /// The newest routing document that this replica has applied.
    #[must_use]
    pub fn document(&self) -> Option<Rc<Document>> {
        self.driver.machine().document().cloned()
    }

    /// Fetches the routing document of the process with a replica at `address`; `None` if its
    /// number is not above `above`, or if there is no answer.
    pub async fn fetch_document(&self, address: SocketAddr, above: u64) -> Option<Rc<Document>> {
        let fetch = |client| fetch_document(client, above);
        let fetched = self.peers.call(address, FETCH_TIMEOUT, fetch).await;
        fetched.ok().flatten()
    }

    /// Fetches the routing document of the leader, like [`Control::fetch_document`].
    pub async fn fetch_leader_document(&self, above: u64) -> Option<Rc<Document>> {
        let fetch = |client| fetch_document(client, above);
        self.call_leader(FETCH_TIMEOUT, fetch).await.flatten()
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

    /// Waits for the next change of the routing document, the membership or this replica's
    /// leadership.
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
