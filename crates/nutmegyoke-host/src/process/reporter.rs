//! Reports an agent's engines to control's leader and takes its orders.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use futures_channel::mpsc;
use futures_util::future::select;
use futures_util::{StreamExt, pin_mut};
use nutmegyoke_core::process::Member;
use nutmegyoke_core::process::order::{Fence, Order};
use nutmegyoke_core::process::report::{Deduplicator, Report};
use nutmegyoke_wire::connection::link_capnp::control;
use nutmegyoke_wire::connection::order_capnp::scheduler;
use nutmegyoke_wire::process::{order, report};

use super::heartbeat::PERIOD;
use crate::connection::Pool;

/// How long the leader may take to answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// A process that reports engines.
pub trait Governor {
    /// The process.
    fn member(&self) -> Member;
    /// What it reports, whole.
    fn reports(&self) -> Vec<Report>;
    /// Takes the leader's orders, all newer than `seal`.
    fn order(&self, seal: Fence, orders: &[Order]);
}

/// Reports as long as the process lives.
#[derive(Debug)]
pub struct Reporter {
    hurry: mpsc::Sender<()>,
}

/// Why a report was not answered.
#[derive(Debug, Display, Error, From)]
enum Failure {
    #[display("cannot connect: {_0}")]
    Dial(io::Error),
    #[display("call failed: {_0}")]
    Call(capnp::Error),
    #[display("no answer in time")]
    Timeout(compio::time::Elapsed),
    #[display("another process leads")]
    #[from(ignore)]
    Follower,
}

impl Reporter {
    /// Spawns the task that reports to the leader among `control`.
    pub fn spawn<G: Governor + 'static>(governor: Rc<G>, control: Vec<SocketAddr>) -> Self {
        let (hurry, hurried) = mpsc::channel(0);
        compio::runtime::spawn(run(governor, control, hurried)).detach();
        Self { hurry }
    }

    /// Reports now, because something changed.
    pub fn hurry(&self) {
        // A full channel means that a report is about to be sent anyway.
        let _ = self.hurry.clone().try_send(());
    }
}

async fn run<G: Governor>(
    governor: Rc<G>,
    control: Vec<SocketAddr>,
    mut hurried: mpsc::Receiver<()>,
) {
    let pool = Rc::new(Pool::default());
    let mut feed = Deduplicator::default();
    let mut current = 0;
    loop {
        let reports = governor.reports();
        if !reports.is_empty() {
            let reports = feed.deduplicate(reports);
            let told = tell(&*governor, &pool, control[current], &reports).await;
            if !matches!(told, Ok(Told { whole: false })) {
                feed.reset();
            }
            if told.is_err() {
                current = (current + 1) % control.len();
            }
        }
        let pause = compio::time::sleep(PERIOD);
        pin_mut!(pause);
        select(pause, hurried.next()).await;
    }
}

/// How the leader took a report.
struct Told {
    /// Whether the next report has to be whole.
    whole: bool,
}

async fn tell<G: Governor>(
    governor: &G,
    pool: &Rc<Pool<control::Client>>,
    address: SocketAddr,
    reports: &[Report],
) -> Result<Told, Failure> {
    let client = pool.get(address).await?;
    let client: scheduler::Client = capnp::capability::FromClientHook::new(client.client.hook);
    let member = governor.member();
    let mut request = client.report_request();
    let mut params = request.get();
    params.set_vm(&member.vm.name);
    params.set_data_centre(member.data_centre.as_str());
    let mut list = params.init_reports(u32::try_from(reports.len()).unwrap_or(u32::MAX));
    for (index, row) in (0..).zip(reports) {
        report::write(row, list.reborrow().get(index));
    }
    let response = compio::time::timeout(TIMEOUT, request.send().promise).await??;
    let answer = response.get()?;
    if !answer.get_leader() {
        return Err(Failure::Follower);
    }
    let orders = answer.get_orders()?.iter().map(order::read);
    let orders = orders.collect::<capnp::Result<Vec<Order>>>()?;
    governor.order(order::read_fence(answer.get_seal()?), &orders);
    Ok(Told {
        whole: answer.get_whole(),
    })
}
