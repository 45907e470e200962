//! Executes the state machine's background commands: sends messages to other replicas,
//! writes the journal and wakes [`Control::changed`](super::Control::changed).

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use nutmegyoke_core::process::control::replica::{Batch, Message};
use nutmegyoke_core::process::control::{Command, Event as Input, Store};
use nutmegyoke_core::process::{self as decision, Clock};
use nutmegyoke_wire::connection::convert::milliseconds;
use nutmegyoke_wire::connection::replica_capnp::replica;
use nutmegyoke_wire::process::replica as wire;

use super::Peers;
use crate::connection::link::transfer_time;
use crate::connection::pool;
use crate::process::journal::{Failure, Journal, Medium};
use crate::process::{Driver, Event};

/// How long the receiver of a message may take to acknowledge it, which it does at once, besides
/// the time of the transfer.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// How often a message is sent: once more, on a new connection, if the first is silent.
const SENDS_PER_MESSAGE: usize = 2;

/// The delay before a write is retried on a full disk.
const DISK_FULL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Executes commands until the process ends.
pub async fn run<C, M>(
    driver: Rc<Driver<decision::Control, C>>,
    mut background: mpsc::UnboundedReceiver<Command>,
    peers: Rc<Peers>,
    journal: Journal<M>,
    (failure_sender, mut change_sender): (oneshot::Sender<Failure>, mpsc::Sender<()>),
) where
    C: Clock + 'static,
    M: Medium + 'static,
{
    let (batches, queue) = mpsc::unbounded();
    compio::runtime::spawn(write_journal(driver, queue, journal, failure_sender)).detach();
    let unacknowledged = Rc::new(Unacknowledged::default());
    while let Some(command) = background.next().await {
        match command {
            Command::Send { address, message } => {
                let (peers, unacknowledged) = (Rc::clone(&peers), Rc::clone(&unacknowledged));
                compio::runtime::spawn(send(peers, unacknowledged, address, message)).detach();
            }
            Command::Persist { batch } => {
                // The journal task ends only when the disk fails.
                let _ = batches.unbounded_send(batch);
            }
            Command::Notify => {
                // A full channel already wakes the watcher.
                let _ = change_sender.try_send(());
            }
            Command::Reseated { name } => Event::VoterReseated { name: &name }.log(),
            Command::LeaseLost {
                unacknowledged_bytes,
                late,
            } => Event::LeaseLost {
                unacknowledged_bytes,
                late_ms: milliseconds(late),
            }
            .log(),
            _ => {}
        }
    }
}

/// The bytes that were sent and are not acknowledged. A small message follows those to the same
/// replica on its connection; a large one shares the link of this process with all large ones.
#[derive(Debug, Default)]
struct Unacknowledged {
    small: RefCell<HashMap<SocketAddr, usize>>,
    large: Cell<usize>,
}

impl Unacknowledged {
    /// Adds a message of `size` bytes and returns how many have to be sent until it has arrived.
    fn add(&self, address: SocketAddr, size: usize) -> usize {
        if Peers::is_large(size) {
            self.large.set(self.large.get() + size);
            return self.large.get();
        }
        let mut small = self.small.borrow_mut();
        let total = small.entry(address).or_default();
        *total += size;
        *total
    }

    /// Removes a message of `size` bytes, acknowledged or given up.
    fn remove(&self, address: SocketAddr, size: usize) {
        if Peers::is_large(size) {
            self.large.set(self.large.get().saturating_sub(size));
            return;
        }
        let mut small = self.small.borrow_mut();
        if let Some(total) = small.get_mut(&address) {
            *total = total.saturating_sub(size);
            if *total == 0 {
                small.remove(&address);
            }
        }
    }
}

/// Sends a message, and once more if its connection is silent.
async fn send(
    peers: Rc<Peers>,
    unacknowledged: Rc<Unacknowledged>,
    address: SocketAddr,
    message: Message<Store>,
) {
    let size = message.size();
    let pool = peers.for_size(size);
    let timeout = SEND_TIMEOUT + transfer_time(unacknowledged.add(address, size));
    for _ in 0..SENDS_PER_MESSAGE {
        let delivery = pool.call(address, timeout, |client: replica::Client| {
            let mut request = client.deliver_request();
            wire::write(&message, request.get().init_message());
            async move { request.send().promise.await.map(drop) }
        });
        // The machine tolerates messages that arrive twice, and repeats lost ones.
        if !matches!(delivery.await, Err(pool::Failure::Unanswered { .. })) {
            break;
        }
    }
    unacknowledged.remove(address, size);
}

/// Writes batches in order. While one is synced, the machine collects the next.
async fn write_journal<C, M>(
    driver: Rc<Driver<decision::Control, C>>,
    mut queue: mpsc::UnboundedReceiver<Batch<Store>>,
    mut journal: Journal<M>,
    failure_sender: oneshot::Sender<Failure>,
) where
    C: Clock + 'static,
    M: Medium,
{
    while let Some(batch) = queue.next().await {
        while let Err(failure) = journal.append(&batch).await {
            let why = failure.to_string();
            if !failure.is_full() {
                Event::JournalFailed { why: &why }.log();
                let _ = failure_sender.send(failure);
                return;
            }
            Event::DiskFull { why: &why }.log();
            driver.feed(Input::DiskFull);
            compio::time::sleep(DISK_FULL_RETRY_DELAY).await;
        }
        let ticket = batch.ticket;
        driver.feed(Input::Synced { ticket });
    }
}
