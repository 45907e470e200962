//! Reports an agent's engines to control's leader and applies the orders in its answers.
//!
//! Only the leader accepts reports, so the addresses of control are tried in turn until one
//! of them does.

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

use super::heartbeat::HEARTBEAT_PERIOD;
use crate::connection::{Pool, pool};

/// The time after which a report without an answer has failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A process that reports engines and carries out orders.
pub trait Source {
    /// The description of the process.
    fn member(&self) -> Member;
    /// The full reports of all its engines.
    fn reports(&self) -> Vec<Report>;
    /// Applies the leader's orders, all of which are newer than the fencing token `fence`.
    fn order(&self, fence: Fence, orders: &[Order]);
}

/// The task that sends reports until the process ends.
#[derive(Debug)]
pub struct Reporter {
    wake: mpsc::Sender<()>,
}

/// Why a report failed.
#[derive(Debug, Display, Error, From)]
enum Failure {
    #[display("call to control failed: {_0}")]
    Call(pool::Failure),
    #[display("the answer of control is malformed: {_0}")]
    Answer(capnp::Error),
    #[display("this control process does not lead")]
    #[from(ignore)]
    Follower,
}

impl Reporter {
    /// Spawns the task, which reports to the leader among the addresses in `control`.
    pub fn spawn<S: Source + 'static>(source: Rc<S>, control: Vec<SocketAddr>) -> Self {
        let (wake, woken) = mpsc::channel(0);
        compio::runtime::spawn(run(source, control, woken)).detach();
        Self { wake }
    }

    /// Sends the next report early, because something changed.
    pub fn wake(&self) {
        // If the channel is full, a report is already due.
        let _ = self.wake.clone().try_send(());
    }
}

async fn run<S: Source>(source: Rc<S>, control: Vec<SocketAddr>, mut woken: mpsc::Receiver<()>) {
    let pool = Rc::new(Pool::default());
    let mut deduplicator = Deduplicator::default();
    let mut current = 0;
    loop {
        let reports = source.reports();
        if !reports.is_empty() {
            let reports = deduplicator.deduplicate(reports);
            let result = send(&*source, &pool, control[current], &reports).await;
            if !matches!(result, Ok(Reply { full: false })) {
                deduplicator.reset();
            }
            if result.is_err() {
                current = (current + 1) % control.len();
            }
        }
        let period = compio::time::sleep(HEARTBEAT_PERIOD);
        pin_mut!(period);
        select(period, woken.next()).await;
    }
}

/// The leader's answer to a report, apart from its orders.
struct Reply {
    /// Whether the next report has to be full, not only the changes.
    full: bool,
}

/// Sends a report and applies the orders of the answer.
async fn send<S: Source>(
    source: &S,
    pool: &Rc<Pool<control::Client>>,
    address: SocketAddr,
    reports: &[Report],
) -> Result<Reply, Failure> {
    let member = source.member();
    let response = pool.call(address, CALL_TIMEOUT, |client| {
        let client: scheduler::Client = capnp::capability::FromClientHook::new(client.client.hook);
        let mut request = client.report_request();
        let mut params = request.get();
        params.set_vm(&member.vm.name);
        params.set_data_centre(member.data_centre.as_str());
        let mut list = params.init_reports(u32::try_from(reports.len()).unwrap_or(u32::MAX));
        for (index, row) in (0..).zip(reports) {
            report::write(row, list.reborrow().get(index));
        }
        request.send().promise
    });
    let response = response.await?;
    let answer = response.get()?;
    if !answer.get_leader() {
        return Err(Failure::Follower);
    }
    let orders = answer.get_orders()?.iter().map(order::read);
    let orders = orders.collect::<capnp::Result<Vec<Order>>>()?;
    source.order(order::read_fence(answer.get_seal()?), &orders);
    Ok(Reply {
        full: answer.get_whole(),
    })
}
