//! Forwards an operator's withdrawal of endpoints to their agent.
//!
//! The agent has the authority over its endpoints, so it applies the withdrawal and
//! keeps it in memory; a restarted agent offers its endpoints again.

use std::rc::Rc;
use std::time::Duration;

use crate::connection::Upload;
use derive_more::{Display, Error, From};
use http_body_util::{BodyExt, Limited};
use hyper::{Request, Response, StatusCode};
use nutmegyoke_core::process::Member;
use nutmegyoke_core::process::member::Role;
use nutmegyoke_wire::connection::link_capnp::agent;
use nutmegyoke_wire::process::Withdrawal;

use super::operators::respond;
use crate::connection::{Pool, pool};
use crate::request::Body;

/// The maximum size of a withdrawal, in bytes of JSON.
const MAX_WITHDRAWAL_BYTES: usize = 64 * 1024;

/// The time after which a call to an agent without an answer has failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a call to an agent failed.
#[derive(Debug, Display, Error, From)]
enum Failure {
    #[display("call failed: {_0}")]
    Call(pool::Failure),
    #[display("the answer is malformed: {_0}")]
    Answer(capnp::Error),
}

/// Answers an operator's request; `member` looks up the process on the VM of that name.
pub async fn handle(
    request: Request<Upload>,
    agents: &Rc<Pool<agent::Client>>,
    member: impl Fn(&str) -> Option<Member>,
) -> Response<Body> {
    let body = Limited::new(request.into_body(), MAX_WITHDRAWAL_BYTES);
    let Ok(body) = body.collect().await else {
        return answer(StatusCode::BAD_REQUEST, "the body broke off or is too long");
    };
    let withdrawal = match Withdrawal::decode(&body.to_bytes()) {
        Ok(withdrawal) => withdrawal,
        Err(error) => return answer(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let vm = &withdrawal.vm;
    let Some(member) = member(vm) else {
        let why = format!("no VM `{vm}` is listed: look at `nutmegyoke status`");
        return answer(StatusCode::NOT_FOUND, &why);
    };
    if member.role != Role::Agent {
        let why = format!("`{vm}` is no agent: send SIGTERM to its process to stop it gracefully");
        return answer(StatusCode::CONFLICT, &why);
    }
    match forward(agents, &member, &withdrawal).await {
        Ok(true) => answer(StatusCode::OK, "done"),
        Ok(false) => {
            let why = format!("`{vm}` has no such endpoint: look at `nutmegyoke status --json`");
            answer(StatusCode::NOT_FOUND, &why)
        }
        Err(failure) => {
            let why = format!("the agent on `{vm}`: {failure}; send it again");
            answer(StatusCode::BAD_GATEWAY, &why)
        }
    }
}

/// Calls the agent. Returns whether it has such an endpoint.
async fn forward(
    agents: &Rc<Pool<agent::Client>>,
    member: &Member,
    withdrawal: &Withdrawal,
) -> Result<bool, Failure> {
    let response = agents.call(member.address, CALL_TIMEOUT, |client| {
        let mut request = client.withdraw_request();
        let mut params = request.get();
        params.set_endpoint(withdrawal.endpoint.as_deref().unwrap_or(""));
        params.set_withdrawn(withdrawal.withdrawn);
        request.send().promise
    });
    let response = response.await?;
    Ok(response.get()?.get_known())
}

fn answer(status: StatusCode, text: &str) -> Response<Body> {
    respond(status, "text/plain", text.as_bytes().to_vec())
}
