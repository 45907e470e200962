//! Gossip between gateways about endpoints, and the background commands of a gateway's state
//! machine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_channel::mpsc;
use futures_util::StreamExt;
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::gateway::{Command, Event as Input, Message, resumption};
use nutmegyoke_core::process::throttle::Permit;
use nutmegyoke_wire::connection::convert::{milliseconds, text};
use nutmegyoke_wire::connection::mesh_capnp::gateway;
use nutmegyoke_wire::process::gossip;

use super::{Gateway, telemetry};
use crate::connection::link;
use crate::connection::listener::{Accepted, Serve};
use crate::process::{Codec, Event};

/// How long another gateway may take to acknowledge a gossip message, or a steward to note
/// that an adapter is in use.
const RPC_TIMEOUT: Duration = Duration::from_millis(800);

/// How long the owner of an endpoint or a tenant may take to answer. It decides at once, so this is the
/// time that a request loses if the owner is gone.
pub(super) const OWNER_TIMEOUT: Duration = Duration::from_millis(150);

/// The longest message of another gateway, in bytes. One of 340 gateways about 3,800 engines has
/// 1 MB.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// The bytes of a word, in which the sizes of messages are counted.
const BYTES_PER_WORD: u64 = 8;

/// Serves connections from other gateways, which send their gossip on them.
pub struct Service<C: Clock + 'static, D: Codec>(pub Rc<Gateway<C, D>>);

/// Receives gossip. A separate type, because capnp takes ownership of it.
struct Server<C: Clock + 'static, D: Codec>(Rc<Gateway<C, D>>);

impl<C: Clock + 'static, D: Codec> Serve for Service<C, D> {
    async fn serve(self: Rc<Self>, accepted: Accepted) {
        let server: gateway::Client = capnp_rpc::new_client(Server(Rc::clone(&self.0)));
        let peer = accepted.peer;
        if let Err(error) = link::serve(accepted, server.client, MAX_MESSAGE_BYTES).await {
            let why = error.to_string();
            Event::ConnectionFailed { peer, why: &why }.log();
        }
    }
}

impl<C: Clock + 'static, D: Codec> gateway::Server for Server<C, D> {
    async fn spread(
        self: Rc<Self>,
        params: gateway::SpreadParams,
        mut results: gateway::SpreadResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let message = &gossip::read(params)?;
        let from = params.get_from();
        let gateway = text(params.get_address())?.parse();
        if let (Ok(gateway), true) = (gateway.clone(), params.has_data_centre()) {
            self.0.driver.feed(Input::Introduced {
                gateway,
                run: from,
                data_centre: &text(params.get_data_centre())?.into(),
            });
        }
        self.0.driver.feed(Input::Gossiped { from, message });
        if let Ok(gateway) = gateway {
            let number = params.get_document();
            self.0.driver.feed(Input::DocumentHeard { gateway, number });
        }
        let answer = self.0.driver.machine().answer(self.0.driver.clock().now());
        gossip::write_answer(&answer, results.get());
        results.get().set_run(self.0.member.vm.run_id());
        results
            .get()
            .set_document(self.0.driver.machine().document());
        Ok(())
    }

    async fn admit(
        self: Rc<Self>,
        params: gateway::AdmitParams,
        mut results: gateway::AdmitResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let mut mailbox = self.0.driver.open();
        self.0.driver.feed(Input::PermitAsked {
            call: mailbox.number(),
            endpoint: text(params.get_endpoint())?,
            rate: params.get_requests_per_second(),
            max_wait: Duration::from_millis(params.get_wait_ms()),
        });
        if let Some(Command::Permit { permit, .. }) = mailbox.next().await {
            let (granted, wait) = match permit {
                Permit::Granted { wait } => (true, wait),
                Permit::Denied { retry_after } => (false, retry_after),
            };
            results.get().set_granted(granted);
            results.get().set_wait_ms(milliseconds(wait));
        }
        Ok(())
    }

    async fn borrow(
        self: Rc<Self>,
        params: gateway::BorrowParams,
        results: gateway::BorrowResults,
    ) -> capnp::Result<()> {
        self.0.answer_borrower(&params, results).await
    }

    async fn note_origin(
        self: Rc<Self>,
        params: gateway::NoteOriginParams,
        _: gateway::NoteOriginResults,
    ) -> capnp::Result<()> {
        self.0.receive_origin(&params)
    }

    async fn recall_origin(
        self: Rc<Self>,
        params: gateway::RecallOriginParams,
        results: gateway::RecallOriginResults,
    ) -> capnp::Result<()> {
        self.0.answer_recall(&params, results)
    }
}

impl<C: Clock + 'static, D: Codec> Gateway<C, D> {
    /// Asks the `owner` of an endpoint for a permit to send it a request; `None` if it does
    /// not answer in time.
    pub(crate) async fn ask_permit(
        &self,
        owner: SocketAddr,
        endpoint: &str,
        rate: f64,
        max_wait: Duration,
    ) -> Option<Permit> {
        // Not logged: gossip to a gateway that is gone fails as well, and replaces a connection
        // that is silent. A busy owner may take longer.
        let permit = self
            .gateways
            .ask(owner, OWNER_TIMEOUT, |client| async move {
                let mut request = client.admit_request();
                request.get().set_endpoint(endpoint);
                request.get().set_requests_per_second(rate);
                request.get().set_wait_ms(milliseconds(max_wait));
                let response = request.send().promise.await?;
                let results = response.get()?;
                let wait = Duration::from_millis(results.get_wait_ms());
                Ok(if results.get_granted() {
                    Permit::Granted { wait }
                } else {
                    Permit::Denied { retry_after: wait }
                })
            });
        permit.await.ok()
    }
}

/// Executes the state machine's background commands.
pub async fn run<C: Clock + 'static, D: Codec>(
    gateway: Rc<Gateway<C, D>>,
    mut background: mpsc::UnboundedReceiver<Command>,
) {
    while let Some(command) = background.next().await {
        let gateway = Rc::clone(&gateway);
        match command {
            Command::Gossip { to, message } => {
                compio::runtime::spawn(send_gossip(gateway, to, message)).detach();
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
                adapter_capacity,
            } => {
                compio::runtime::spawn(async move {
                    // The request doesn't depend on the result. A steward that isn't reached
                    // may evict the adapter while it is in use.
                    let _ = gateway
                        .prepare(&endpoint, &model, &adapter, adapter_capacity, RPC_TIMEOUT)
                        .await;
                })
                .detach();
            }
            Command::Allotment(command) => gateway.execute(command),
            Command::Resumption(resumption::Command::Note {
                places,
                stream,
                build,
            }) => gateway.note_origin(&places, stream, build),
            Command::Fetch {
                gateway: from,
                above,
            } => {
                compio::runtime::spawn(async move { gateway.fetch_document(from, above).await })
                    .detach();
            }
            Command::Confirm => {
                compio::runtime::spawn(async move {
                    let newest = gateway.confirm_document().await;
                    gateway.driver.feed(Input::Confirmed { newest });
                })
                .detach();
            }
            Command::RenewLease { since } => {
                compio::runtime::spawn(async move {
                    let newest = gateway.control.newest_since(since).await;
                    gateway.driver.feed(Input::LeaseAnswered { newest });
                })
                .detach();
            }
            Command::Probe { endpoint } => {
                compio::runtime::spawn(async move { gateway.probe(&endpoint).await }).detach();
            }
            Command::Record { demand } => gateway.control.record_demand(&demand),
            Command::CountRetry { verdict, allowed } => {
                if let Some(reason) = verdict.reason() {
                    if allowed {
                        gateway.metrics.count_retry(reason);
                    } else {
                        gateway.metrics.count_withheld_retry(reason);
                    }
                }
            }
            command => log_report(&gateway, &command),
        }
    }
}

/// Logs what a command reports; commands without a report are ignored.
fn log_report<C: Clock + 'static, D: Codec>(gateway: &Gateway<C, D>, command: &Command) {
    match command {
        &Command::ReportOutdated { number, newer, age } => {
            let age_ms = age.map(milliseconds);
            Event::DocumentOutdated {
                number,
                newer,
                age_ms,
            }
            .log();
        }
        Command::ReportCrash { crash } => telemetry::log_crash(crash),
        Command::ReportEjection { ejection } => gateway.log_ejection(ejection),
        Command::ReportLimit { endpoint, rate } => {
            Event::LimitChanged {
                id: endpoint,
                rate: *rate,
            }
            .log();
        }
        Command::ReportMalformedLimit { endpoint } => {
            let event = Event::LimitMalformed { id: endpoint };
            gateway.log_sampled(&event, false);
        }
        Command::ReportDeparture { endpoint } => {
            Event::EndpointLeaving { id: endpoint }.log();
        }
        Command::ReportPause { endpoint, pause } => {
            let pause_ms = milliseconds(*pause);
            let id = endpoint;
            gateway.log_sampled(&Event::EndpointPaused { id, pause_ms }, false);
        }
        Command::ReportMalformedSignal { endpoint } => {
            Event::SignalMalformed { id: endpoint }.log();
        }
        Command::ReportCulprit { culprit } => gateway.log_culprit(culprit),
        _ => {}
    }
}

async fn send_gossip<C: Clock + 'static, D: Codec>(
    gateway: Rc<Gateway<C, D>>,
    to: SocketAddr,
    message: Message,
) {
    let from = gateway.member.vm.run_id();
    let address = SocketAddr::new(gateway.member.address.ip(), gateway.gossip_port);
    let document = gateway.driver.machine().document();
    let (data_centre, metrics) = (&gateway.member.data_centre, &gateway.metrics);
    let delivery = gateway.gateways.call(to, RPC_TIMEOUT, |client| async move {
        let mut request = client.spread_request();
        request.get().set_from(from);
        request.get().set_address(address.to_string());
        request.get().set_document(document);
        gossip::write(&message, data_centre.as_str(), request.get());
        let size = request.get().into_reader().total_size()?;
        let bytes = size.word_count * BYTES_PER_WORD;
        metrics.count_gossip(message.link, bytes);
        let response = request.send().promise.await?;
        let results = response.get()?;
        let answer = gossip::read_answer(results)?;
        Ok((results.get_run(), results.get_document(), answer))
    });
    // The next message repeats everything that was not acknowledged.
    let answer = delivery.await.ok();
    let run = answer.as_ref().map(|&(run, ..)| run);
    gateway.driver.feed(Input::Delivered { to, run });
    if let Some((_, number, answer)) = answer {
        let (gateway_address, answer) = (to, &answer);
        gateway.driver.feed(Input::Answered {
            gateway: gateway_address,
            answer,
        });
        let heard = Input::DocumentHeard {
            gateway: to,
            number,
        };
        gateway.driver.feed(heard);
    }
}
