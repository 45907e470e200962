//! What a gateway asks of the replica beside it.

use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::StreamExt;
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::control::Event as Input;
use nutmegyoke_core::version::{Document, Model};

use super::{Control, HAND_OVER, proposal};

impl<C: Clock + 'static> Control<C> {
    /// Publishes a routing document. Returns the number of the one that is in
    /// force then, `None` if no leader answered.
    pub async fn publish(&self, document: &Rc<Document>) -> Option<u64> {
        self.ask(&proposal::Publish(document)).await.flatten()
    }

    /// The number of the newest routing document, confirmed by the leader;
    /// `None` if no leader answered.
    pub async fn newest_number(&self) -> Option<Option<u64>> {
        self.ask(&proposal::Newest).await
    }

    /// The routing document that this replica knows of.
    #[must_use]
    pub fn document(&self) -> Option<Rc<Document>> {
        self.driver.machine().document().cloned()
    }

    /// The demand for models that was recorded last, in prompt tokens per second.
    #[must_use]
    pub fn demand(&self) -> Rc<[(Model, f64)]> {
        Rc::clone(&self.driver.machine().replica().state().demand)
    }

    /// Records the demand for models, if this replica leads.
    pub fn record_demand(&self, demand: &Rc<[(Model, f64)]>) {
        // Nobody waits: what gets lost is recorded anew a few seconds later.
        let call = self.driver.open().number();
        self.driver.feed(Input::Weighed { call, demand });
    }

    /// The term in which this replica leads, if it does.
    #[must_use]
    pub fn leading_term(&self) -> Option<u64> {
        self.driver.machine().leading()
    }

    /// Where the processes that hold a replica are reached.
    #[must_use]
    pub fn peers(&self) -> Vec<SocketAddr> {
        let machine = self.driver.machine();
        let peers = machine.replica().membership().peers.iter();
        peers.map(|peer| peer.seed.address).collect()
    }

    /// Waits until the routing document, the membership or the own leadership has changed.
    pub async fn changed(&self) {
        let next =
            std::future::poll_fn(|context| self.changes.borrow_mut().poll_next_unpin(context));
        if next.await.is_none() {
            // The carrier runs as long as the process.
            std::future::pending::<()>().await;
        }
    }

    /// Takes over the VMs by which to join the fleet.
    pub fn set_contacts(&self, contacts: &[SocketAddr]) {
        self.driver.feed(Input::Contacted { contacts });
    }

    /// Hands leadership over.
    pub async fn resign(&self) {
        self.driver.feed(Input::Resigned);
        // The message that hands over has to leave first.
        compio::time::sleep(HAND_OVER).await;
    }
}
