//! What gateways tell each other of endpoints.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpStream;
use futures_channel::mpsc;
use futures_util::StreamExt;
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::gateway::{Command, Event as Input, Work};
use nutmegyoke_core::process::registry::Rumor;
use nutmegyoke_wire::connection::mesh_capnp::gateway;
use nutmegyoke_wire::process::{rumor, work};

use super::Gateway;
use crate::connection::link;
use crate::connection::listener::Serve;
use crate::process::{Dialect, Event};

/// How long another gateway may take to acknowledge rumors.
const TIMEOUT: Duration = Duration::from_millis(800);

/// Takes in the rumors of other gateways.
pub struct Exchange<C: Clock + 'static, D: Dialect>(pub Rc<Gateway<C, D>>);

/// A type of its own because capnp owns it.
struct Offer<C: Clock + 'static, D: Dialect>(Rc<Gateway<C, D>>);

impl<C: Clock + 'static, D: Dialect> Serve for Exchange<C, D> {
    async fn serve(self: Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        let offer: gateway::Client = capnp_rpc::new_client(Offer(Rc::clone(&self.0)));
        if let Err(error) = link::serve(stream, offer.client).await {
            let why = error.to_string();
            Event::ConnectionFailed { peer, why: &why }.log();
        }
    }
}

impl<C: Clock + 'static, D: Dialect> gateway::Server for Offer<C, D> {
    async fn spread(
        self: Rc<Self>,
        params: gateway::SpreadParams,
        mut results: gateway::SpreadResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let rumors = rumor::read(params.get_rumors()?)?;
        let work = work::read(params.get_work()?)?;
        self.0.driver.feed(Input::Told {
            from: params.get_from(),
            rumors: &rumors,
            work: &work,
        });
        results.get().set_run(self.0.member.vm.run_id());
        Ok(())
    }
}

/// Carries out what the machine asks for in the background.
pub async fn run<C: Clock + 'static, D: Dialect>(
    gateway: Rc<Gateway<C, D>>,
    mut background: mpsc::UnboundedReceiver<Command>,
) {
    while let Some(command) = background.next().await {
        let gateway = Rc::clone(&gateway);
        match command {
            Command::Spread { to, rumors, work } => {
                compio::runtime::spawn(spread(gateway, to, rumors, work)).detach();
            }
            Command::Place {
                endpoint,
                term,
                step,
                pool,
            } => {
                compio::runtime::spawn(async move {
                    let accepted = gateway.place(&endpoint, term, &step, &pool).await;
                    gateway.driver.feed(Input::Placed {
                        endpoint: &endpoint.id,
                        model: &step.load,
                        accepted,
                    });
                })
                .detach();
            }
            Command::Touch {
                endpoint,
                model,
                adapter,
                slots,
            } => {
                compio::runtime::spawn(async move {
                    let told = gateway.prepare(&endpoint, &model, &adapter, slots);
                    // The request goes on without; the steward may evict the adapter early.
                    let _ = compio::time::timeout(TIMEOUT, told).await;
                })
                .detach();
            }
            Command::Record { demand } => gateway.control.record(&demand),
            Command::Retried { verdict, allowed } => {
                if let Some(reason) = verdict.reason() {
                    if allowed {
                        gateway.metrics.retried(reason);
                    } else {
                        gateway.metrics.withheld(reason);
                    }
                }
            }
            _ => {}
        }
    }
}

async fn spread<C: Clock + 'static, D: Dialect>(
    gateway: Rc<Gateway<C, D>>,
    to: SocketAddr,
    rumors: Vec<Rumor>,
    work: Work,
) {
    let sent = async {
        let client = gateway.gateways.get(to).await?;
        let mut request = client.spread_request();
        request.get().set_from(gateway.member.vm.run_id());
        rumor::write(&rumors, |length| request.get().init_rumors(length));
        work::write(&work, request.get().init_work());
        let response = request.send().promise.await?;
        capnp::Result::Ok(response.get()?.get_run())
    };
    let run = compio::time::timeout(TIMEOUT, sent).await;
    // What is lost on the way is sent again with the next message.
    let run = run.ok().and_then(Result::ok);
    gateway.driver.feed(Input::Spread { to, run });
}
