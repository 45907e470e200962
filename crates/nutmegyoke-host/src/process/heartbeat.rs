//! Tells control that this process lives, and learns what changed.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use futures_channel::mpsc;
use futures_util::StreamExt;
use futures_util::future::select;
use futures_util::pin_mut;
use nutmegyoke_core::process::Member;
use nutmegyoke_core::process::news::{Known, News};
use nutmegyoke_core::version::Configuration;
use nutmegyoke_wire::connection::link_capnp::control;
use nutmegyoke_wire::process::{member, update};

use super::Event;
use crate::connection::Pool;

/// The time between two heartbeats.
pub const PERIOD: Duration = Duration::from_secs(1);

/// How long control may take to answer one.
const TIMEOUT: Duration = Duration::from_secs(2);

/// A process that sends heartbeats and learns from the answers.
pub trait Learner {
    /// What the process tells of itself.
    fn member(&self) -> Member;
    /// What it knows already.
    fn known(&self) -> Known;
    /// The configuration in force in it.
    fn configuration(&self) -> Rc<Configuration>;
    /// Takes in what it did not know.
    fn learn(&self, news: &News);
}

/// Sends heartbeats as long as the process lives.
#[derive(Debug)]
pub struct Heartbeat {
    hurry: mpsc::Sender<()>,
}

impl Heartbeat {
    /// Spawns the task that sends heartbeats to one of `control`.
    pub fn spawn<L: Learner + 'static>(learner: Rc<L>, control: Vec<SocketAddr>) -> Self {
        let (hurry, hurried) = mpsc::channel(0);
        compio::runtime::spawn(run(learner, control, hurried)).detach();
        Self { hurry }
    }

    /// Sends the next heartbeat now, because something changed.
    pub fn hurry(&self) {
        // A full channel means that a heartbeat is about to be sent anyway.
        let _ = self.hurry.clone().try_send(());
    }
}

/// Why a heartbeat was not answered.
#[derive(Debug, Display, Error, From)]
enum Failure {
    #[display("cannot connect: {_0}")]
    Dial(io::Error),
    #[display("call failed: {_0}")]
    Call(capnp::Error),
    #[display("what control teaches does not fit: {_0}")]
    #[from(ignore)]
    Lesson(capnp::Error),
    #[display("no answer in time")]
    Timeout(compio::time::Elapsed),
}

async fn run<L: Learner>(
    learner: Rc<L>,
    control: Vec<SocketAddr>,
    mut hurried: mpsc::Receiver<()>,
) {
    let pool = Rc::new(Pool::default());
    let mut current = 0;
    let mut found = None;
    let mut whole = false;
    loop {
        let address = control[current];
        let beaten = beat(&*learner, &pool, address, whole).await;
        // Changes that don't fit the own configuration are not asked for twice.
        whole = matches!(beaten, Err(Failure::Lesson(_)));
        match beaten {
            Ok(()) => {
                if found != Some(address) {
                    found = Some(address);
                    Event::ControlFound { address }.log();
                }
            }
            Err(failure) => {
                if found.take().is_some() {
                    let why = format!("{address}: {failure}");
                    Event::ControlLost { why: &why }.log();
                }
                current = (current + 1) % control.len();
            }
        }
        let pause = compio::time::sleep(PERIOD);
        pin_mut!(pause);
        select(pause, hurried.next()).await;
    }
}

async fn beat<L: Learner>(
    learner: &L,
    pool: &Rc<Pool<control::Client>>,
    address: SocketAddr,
    whole: bool,
) -> Result<(), Failure> {
    let client = pool.get(address).await?;
    let mut request = client.exchange_request();
    let mut params = request.get();
    member::write(&learner.member(), params.reborrow().init_member());
    let mut known = learner.known();
    if whole {
        known.configuration = 0;
    }
    update::write_known(known, params.init_known());
    let response = compio::time::timeout(TIMEOUT, request.send().promise).await??;
    let news = update::read(response.get()?.get_news()?, &learner.configuration());
    let news = news.map_err(Failure::Lesson)?;
    learner.learn(&news);
    Ok(())
}
