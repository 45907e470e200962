//! Asks stewards and other gateways about a request before it is sent.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::Either;
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::gateway::resumption::{self, Places};
use nutmegyoke_core::process::gateway::{Command, Event as Input};
use nutmegyoke_core::process::origin::Stream;
use nutmegyoke_core::process::registry::Announcement;
use nutmegyoke_core::process::steward::Ask;
use nutmegyoke_core::version::Service;

use super::handle::Handle;
use super::race;
use crate::process::{Admission, Codec};

/// How long the steward beside an engine may take to load an adapter. Loading one takes
/// 10 ms, and proportionally longer while others are being loaded.
const PREPARE_TIMEOUT: Duration = Duration::from_millis(600);

/// Asks the steward or the gateway that `question` is for, and returns the state machine's next
/// command. `id` is the client's id of the request.
pub async fn ask<C: Clock + 'static, D: Codec>(
    handle: &mut Handle<C, D>,
    id: Option<&str>,
    question: Command,
) -> Option<Command> {
    match question {
        Command::Prepare {
            endpoint,
            model,
            adapter,
            adapter_capacity,
            ..
        } => prepare(handle, &endpoint, &model, &adapter, adapter_capacity).await,
        Command::AskAdmission {
            endpoint,
            caller,
            priority,
            uncached,
            tokens,
            limit,
            due,
            gap,
            slots,
            ..
        } => {
            let ask = Ask {
                request: id.unwrap_or_default(),
                tenant: caller.tenant().map_or("", |tenant| &tenant.name),
                priority,
                uncached,
                tokens,
                limit,
                due,
                gap,
                slots,
            };
            ask_admission(handle, &endpoint, &ask).await
        }
        Command::Admit {
            owner,
            endpoint,
            rate,
            max_wait,
            ..
        } => ask_permit(handle, owner, &endpoint, rate, max_wait).await,
        Command::Resumption(resumption::Command::Recall {
            places,
            stream,
            service,
            horizon,
            ..
        }) => recall_origin(handle, &places, stream, &service, horizon).await,
        _ => handle.next().await,
    }
}

/// Asks the steward of an engine to load an adapter, and returns the next command.
async fn prepare<C: Clock + 'static, D: Codec>(
    handle: &mut Handle<C, D>,
    endpoint: &Announcement,
    model: &str,
    adapter: &str,
    adapter_capacity: u32,
) -> Option<Command> {
    let gateway = Rc::clone(handle.gateway());
    let asked_at = gateway.driver().clock().now();
    let prepared = gateway.prepare(endpoint, model, adapter, adapter_capacity, PREPARE_TIMEOUT);
    match race(handle, prepared).await {
        Either::Left(adapters) => {
            let adapters = adapters.as_deref();
            let name = format!("{model}/{adapter}");
            let loaded = adapters.is_some_and(|names| names.contains(&name));
            handle.log_prepared(&endpoint.id, &name, asked_at, loaded);
            let call = handle.number();
            handle.feed(Input::Prepared { call, adapters });
            handle.next().await
        }
        Either::Right(command) => command,
    }
}

/// Asks the steward of an engine whether there is room for the request, and returns the next
/// command.
async fn ask_admission<C: Clock + 'static, D: Codec>(
    handle: &mut Handle<C, D>,
    endpoint: &Announcement,
    ask: &Ask<'_>,
) -> Option<Command> {
    let gateway = Rc::clone(handle.gateway());
    // A request without an id is counted until its admission expires.
    let unnamed = format!("-{:x}-{}", gateway.run_id(), handle.number());
    let ask = Ask {
        request: if ask.request.is_empty() {
            &unnamed
        } else {
            ask.request
        },
        ..*ask
    };
    let asked = gateway.ask_admission(endpoint, &ask);
    match race(handle, asked).await {
        Either::Left(answer) => {
            gateway.count_admission(match &answer {
                Some(answer) if answer.admitted => Admission::Admitted,
                Some(_) => Admission::Declined,
                None => Admission::Silent,
            });
            handle.feed(Input::AdmissionAnswered {
                call: handle.number(),
                answer: answer.as_ref(),
            });
            handle.next().await
        }
        Either::Right(command) => command,
    }
}

/// Asks the owner of an endpoint to admit the request, and returns the next command.
async fn ask_permit<C: Clock + 'static, D: Codec>(
    handle: &mut Handle<C, D>,
    owner: SocketAddr,
    endpoint: &str,
    rate: f64,
    max_wait: Duration,
) -> Option<Command> {
    let gateway = Rc::clone(handle.gateway());
    let asked = gateway.ask_permit(owner, endpoint, rate, max_wait);
    match race(handle, asked).await {
        Either::Left(permit) => {
            handle.feed(Input::Admitted {
                call: handle.number(),
                owner,
                permit,
            });
            handle.next().await
        }
        Either::Right(command) => command,
    }
}

/// Asks which build began the stream that the request goes on with, and returns the next command.
async fn recall_origin<C: Clock + 'static, D: Codec>(
    handle: &mut Handle<C, D>,
    places: &Places,
    stream: Stream,
    service: &Service,
    horizon: Duration,
) -> Option<Command> {
    let gateway = Rc::clone(handle.gateway());
    let asked = gateway.recall_origin(places, stream, service, horizon);
    match race(handle, asked).await {
        Either::Left(answers) => {
            let call = handle.number();
            handle.log_recalled(&answers);
            let answers = answers.as_slice();
            handle.feed(Input::Resumption(resumption::Event::Recalled {
                call,
                answers,
            }));
            handle.next().await
        }
        Either::Right(command) => command,
    }
}
