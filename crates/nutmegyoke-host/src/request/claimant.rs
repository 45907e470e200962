//! Requests and concludes claims at the control processes, for an entry.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegyoke_core::request::claim::{Name, Outcome};
use nutmegyoke_core::request::{Id, Verdict};
use nutmegyoke_wire::connection::link_capnp::control;
use nutmegyoke_wire::request::{claim, id, verdict};

use crate::connection::{Pool, pool};

/// How long a control process may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How many times every control process is tried before a claim request fails.
const CLAIM_ROUNDS: usize = 2;

/// How many times every control process is tried before a conclusion is dropped. With
/// [`ROUND_DELAY`] between the rounds, that takes longer than an election and a restart.
const CONCLUDE_ROUNDS: usize = 60;

/// The delay between two rounds through the control processes.
const ROUND_DELAY: Duration = Duration::from_millis(500);

/// Calls the control process that answered last; after a failure, the next one.
pub struct Claimant {
    pool: Rc<Pool<control::Client>>,
    control: Vec<SocketAddr>,
    /// The index of the process to call next.
    current: Cell<usize>,
    pending: Cell<usize>,
}

impl Claimant {
    /// Opens a claimant that calls the control processes at the addresses `control`.
    #[must_use]
    pub fn open(control: &[SocketAddr]) -> Rc<Self> {
        Rc::new(Self {
            pool: Rc::default(),
            control: control.to_vec(),
            current: Cell::new(0),
            pending: Cell::new(0),
        })
    }

    /// The number of conclusions that control has not recorded yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.pending.get()
    }

    /// Requests a claim; returns `None` if no control process answered.
    pub async fn claim(&self, name: &Name, holder: Id, digest: u64) -> Option<Outcome> {
        for attempt in 0..self.control.len() * CLAIM_ROUNDS {
            self.delay_round(attempt).await;
            let call = self.call_claim(name, holder, digest);
            if let Ok(outcome) = call.await {
                return Some(outcome);
            }
            self.next_process();
        }
        None
    }

    /// Reports the verdict of a claim's holder, and retries until it is recorded.
    ///
    /// After `CONCLUDE_ROUNDS` failed rounds the claim stays open. Resends are then
    /// answered that the request may still be running, which is safe.
    pub async fn conclude(&self, name: &Name, holder: Id, verdict: Verdict, vm: &str) {
        self.pending.set(self.pending.get() + 1);
        for attempt in 0..self.control.len() * CONCLUDE_ROUNDS {
            self.delay_round(attempt).await;
            let call = self.call_conclude(name, holder, verdict, vm);
            if let Ok(()) = call.await {
                break;
            }
            self.next_process();
        }
        self.pending.set(self.pending.get() - 1);
    }

    /// Waits [`ROUND_DELAY`] before each round except the first.
    async fn delay_round(&self, attempt: usize) {
        if attempt > 0 && attempt.is_multiple_of(self.control.len()) {
            compio::time::sleep(ROUND_DELAY).await;
        }
    }

    /// Selects the next control process.
    fn next_process(&self) {
        self.current
            .set((self.current.get() + 1) % self.control.len());
    }

    async fn call_claim(
        &self,
        name: &Name,
        holder: Id,
        digest: u64,
    ) -> Result<Outcome, pool::Failure> {
        self.call(|client| async move {
            let mut request = client.claim_request();
            let mut params = request.get();
            claim::write_name(name, params.reborrow().init_name());
            id::write(holder, params.reborrow().init_holder());
            params.set_digest(digest);
            let response = request.send().promise.await?;
            claim::read_outcome(response.get()?.get_outcome()?)
        })
        .await
    }

    async fn call_conclude(
        &self,
        name: &Name,
        holder: Id,
        outcome: Verdict,
        vm: &str,
    ) -> Result<(), pool::Failure> {
        self.call(|client| async move {
            let mut request = client.conclude_request();
            let mut params = request.get();
            claim::write_name(name, params.reborrow().init_name());
            id::write(holder, params.reborrow().init_holder());
            verdict::write(outcome, params.reborrow().init_verdict());
            params.set_vm(vm);
            request.send().promise.await.map(drop)
        })
        .await
    }

    /// Calls the control process that is current.
    async fn call<R, F>(&self, call: impl FnOnce(control::Client) -> F) -> Result<R, pool::Failure>
    where
        F: Future<Output = capnp::Result<R>>,
    {
        let address = self.control[self.current.get()];
        self.pool.call(address, CALL_TIMEOUT, call).await
    }
}
