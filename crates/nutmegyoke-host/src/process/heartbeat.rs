//! Sends periodic heartbeats to control and applies the updates in its answers.
//!
//! A heartbeat describes the process and states which configuration and which revision of
//! the directory it has. The answer contains the changes since then.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use futures_channel::mpsc;
use futures_util::StreamExt;
use futures_util::future::select;
use futures_util::pin_mut;
use nutmegyoke_core::process::Member;
use nutmegyoke_core::process::update::{Known, Update};
use nutmegyoke_core::version::Configuration;
use nutmegyoke_wire::connection::link_capnp::control;
use nutmegyoke_wire::process::{member, update};

use super::Event;
use crate::connection::{Pool, pool};

/// The period of heartbeats.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// The time after which a heartbeat without an answer has failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A process that sends heartbeats and applies the updates in the answers.
pub trait Subscriber {
    /// The description of the process, which heartbeats contain.
    fn member(&self) -> Member;
    /// The versions of the configuration and the directory that it has.
    fn known(&self) -> Known;
    /// The configuration in force in the process, which updates are based on.
    fn configuration(&self) -> Rc<Configuration>;
    /// Applies an update from control.
    fn apply(&self, update: &Update);
}

/// The task that sends heartbeats until the process ends.
#[derive(Debug)]
pub struct Heartbeat {
    wake: mpsc::Sender<()>,
}

impl Heartbeat {
    /// Spawns the task, which sends heartbeats to one of the addresses in `control`
    /// and moves on to the next address after a failure.
    pub fn spawn<S: Subscriber + 'static>(subscriber: Rc<S>, control: Vec<SocketAddr>) -> Self {
        let (wake, woken) = mpsc::channel(0);
        compio::runtime::spawn(run(subscriber, control, woken)).detach();
        Self { wake }
    }

    /// Sends the next heartbeat early, because something changed.
    pub fn wake(&self) {
        // If the channel is full, a heartbeat is already due.
        let _ = self.wake.clone().try_send(());
    }
}

/// Why a heartbeat failed.
#[derive(Debug, Display, Error, From)]
enum Failure {
    #[display("call to control failed: {_0}")]
    Call(pool::Failure),
    #[display("the answer of control is malformed: {_0}")]
    Answer(capnp::Error),
    #[display("the update from control does not fit this process's configuration: {_0}")]
    #[from(ignore)]
    Update(capnp::Error),
}

async fn run<S: Subscriber>(
    subscriber: Rc<S>,
    control: Vec<SocketAddr>,
    mut woken: mpsc::Receiver<()>,
) {
    let pool = Rc::new(Pool::default());
    let mut current = 0;
    let mut connected = None;
    let mut full = false;
    loop {
        let address = control[current];
        let result = send(&*subscriber, &pool, address, full).await;
        // After an update whose changes don't apply to this process's configuration, the
        // next one has to contain the full configuration.
        full = matches!(result, Err(Failure::Update(_)));
        match result {
            Ok(()) => {
                if connected != Some(address) {
                    connected = Some(address);
                    Event::ControlFound { address }.log();
                }
            }
            Err(failure) => {
                if connected.take().is_some() {
                    let why = format!("{address}: {failure}");
                    Event::ControlLost { why: &why }.log();
                }
                current = (current + 1) % control.len();
            }
        }
        let period = compio::time::sleep(HEARTBEAT_PERIOD);
        pin_mut!(period);
        select(period, woken.next()).await;
    }
}

/// Sends a heartbeat and applies the answer. With `full`, it reports no configuration as
/// known, so that the answer contains the full one in place of changes.
async fn send<S: Subscriber>(
    subscriber: &S,
    pool: &Rc<Pool<control::Client>>,
    address: SocketAddr,
    full: bool,
) -> Result<(), Failure> {
    let mut known = subscriber.known();
    if full {
        known.configuration = 0;
    }
    let response = pool.call(address, CALL_TIMEOUT, |client| {
        let mut request = client.exchange_request();
        let mut params = request.get();
        member::write(&subscriber.member(), params.reborrow().init_member());
        update::write_known(known, params.init_known());
        request.send().promise
    });
    let response = response.await?;
    let update = update::read(response.get()?.get_news()?, &subscriber.configuration());
    let update = update.map_err(Failure::Update)?;
    subscriber.apply(&update);
    Ok(())
}
