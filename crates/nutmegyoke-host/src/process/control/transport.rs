//! Carries out what the machine asks for in the background: messages to other
//! replicas, and writing the journal.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use nutmegyoke_core::process::control::replica::{Batch, Message};
use nutmegyoke_core::process::control::{Command, Event as Input, Store};
use nutmegyoke_core::process::{self as decision, Clock};
use nutmegyoke_wire::connection::replica_capnp::replica;
use nutmegyoke_wire::process::replica as wire;

use crate::connection::Pool;
use crate::process::journal::{Failure, Journal, Medium};
use crate::process::{Driver, Event};

/// How long a message may take; lost ones are sent again by the machine.
const TIMEOUT: Duration = Duration::from_secs(3);

/// The pause after which a full disk is tried again.
const FULL_PAUSE: Duration = Duration::from_millis(500);

/// Runs until the process ends.
pub async fn run<C, M>(
    driver: Rc<Driver<decision::Control, C>>,
    mut background: mpsc::UnboundedReceiver<Command>,
    pool: Rc<Pool<replica::Client>>,
    journal: Journal<M>,
    (failed, mut changed): (oneshot::Sender<Failure>, mpsc::Sender<()>),
) where
    C: Clock + 'static,
    M: Medium + 'static,
{
    let (batches, queue) = mpsc::unbounded();
    compio::runtime::spawn(write(driver, queue, journal, failed)).detach();
    while let Some(command) = background.next().await {
        match command {
            Command::Send { address, message } => {
                compio::runtime::spawn(send(Rc::clone(&pool), address, message)).detach();
            }
            Command::Persist { batch } => {
                // The writer ends only when the disk has failed.
                let _ = batches.unbounded_send(batch);
            }
            Command::Changed => {
                // A full channel means that the watcher is about to look anyway.
                let _ = changed.try_send(());
            }
            _ => {}
        }
    }
}

async fn send(pool: Rc<Pool<replica::Client>>, address: SocketAddr, message: Message<Store>) {
    let sent = async {
        let client = pool.get(address).await.ok()?;
        let mut request = client.deliver_request();
        wire::write(&message, request.get().init_message());
        request.send().promise.await.ok()
    };
    // What is lost on the way is sent again at the next heartbeat.
    let _ = compio::time::timeout(TIMEOUT, sent).await;
}

/// Writes one batch after the other; while one is synced the machine gathers the next.
async fn write<C, M>(
    driver: Rc<Driver<decision::Control, C>>,
    mut queue: mpsc::UnboundedReceiver<Batch<Store>>,
    mut journal: Journal<M>,
    failed: oneshot::Sender<Failure>,
) where
    C: Clock + 'static,
    M: Medium,
{
    while let Some(batch) = queue.next().await {
        while let Err(failure) = journal.append(&batch).await {
            let why = failure.to_string();
            if !failure.is_full() {
                Event::JournalFailed { why: &why }.log();
                let _ = failed.send(failure);
                return;
            }
            Event::DiskFull { why: &why }.log();
            driver.feed(Input::Stalled);
            compio::time::sleep(FULL_PAUSE).await;
        }
        let ticket = batch.ticket;
        driver.feed(Input::Synced { ticket });
    }
}
