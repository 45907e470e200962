//! The capnp interfaces that other processes call.
//!
//! * `scheduler`: agents report their demand and receive orders from the planner;
//! * `control`: heartbeats, and entries' claims;
//! * `replica`: messages and forwarded proposals of other replicas.

use std::rc::Rc;

use capnp::capability::FromClientHook;
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::control::replica::Change;
use nutmegyoke_core::process::control::{Command, Event as Input};
use nutmegyoke_core::version::Configuration;
use nutmegyoke_wire::connection::convert::text;
use nutmegyoke_wire::connection::link_capnp::control;
use nutmegyoke_wire::connection::order_capnp::scheduler;
use nutmegyoke_wire::connection::replica_capnp::replica;
use nutmegyoke_wire::process::{member, replica as message, update};
use nutmegyoke_wire::request as wire;
use nutmegyoke_wire::version::{acceptance, document, lists};

use super::proposal::FORWARD_TIMEOUT;
use super::{Control, proposal};

/// Serves the calls of other processes. A separate type, because capnp takes ownership
/// of it.
pub struct Server<C: Clock + 'static>(pub Rc<Control<C>>);

fn no_leader() -> capnp::Error {
    capnp::Error::failed("no control replica leads at the moment".to_owned())
}

impl<C: Clock + 'static> scheduler::Server for Server<C> {
    async fn report(
        self: Rc<Self>,
        params: scheduler::ReportParams,
        results: scheduler::ReportResults,
    ) -> capnp::Result<()> {
        self.0.update_planner();
        self.0.planner.report(&params, results).await
    }
}

impl<C: Clock + 'static> control::Server for Server<C> {
    async fn exchange(
        self: Rc<Self>,
        params: control::ExchangeParams,
        mut results: control::ExchangeResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let member = member::read(params.get_member()?)?;
        let known = update::read_known(params.get_known()?)?;
        let mut mailbox = self.0.driver.open();
        self.0.driver.feed(Input::Heartbeat {
            call: mailbox.number(),
            member: &member,
            known,
        });
        if let Some(Command::AnswerHeartbeat { update, .. }) = mailbox.next().await {
            update::write(&update, results.get().init_news());
            return Ok(());
        }
        let exchanged =
            self.0
                .call_leader(self.0.peers.small(), FORWARD_TIMEOUT, |leader| async move {
                    let mut request = leader.cast_to::<control::Client>().exchange_request();
                    request.get().set_member(params.get_member()?)?;
                    request.get().set_known(params.get_known()?)?;
                    request.send().promise.await
                });
        let response = exchanged.await.ok_or_else(no_leader)?;
        results.get().set_news(response.get()?.get_news()?)
    }

    async fn claim(
        self: Rc<Self>,
        params: control::ClaimParams,
        mut results: control::ClaimResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let name = wire::claim::read_name(params.get_name()?)?;
        let claim = proposal::Claim {
            name: &name,
            holder: wire::id::read(params.get_holder()?),
            digest: params.get_digest(),
        };
        let outcome = self.0.propose(&claim).await.ok_or_else(no_leader)?;
        wire::claim::write_outcome(&outcome, results.get().init_outcome());
        Ok(())
    }

    async fn conclude(
        self: Rc<Self>,
        params: control::ConcludeParams,
        _: control::ConcludeResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let name = wire::claim::read_name(params.get_name()?)?;
        let conclude = proposal::Conclude {
            name: &name,
            holder: wire::id::read(params.get_holder()?),
            verdict: wire::verdict::read(params.get_verdict()?)?,
            vm: text(params.get_vm())?,
        };
        self.0.propose(&conclude).await.ok_or_else(no_leader)
    }
}

impl<C: Clock + 'static> replica::Server for Server<C> {
    async fn deliver(
        self: Rc<Self>,
        params: replica::DeliverParams,
        _: replica::DeliverResults,
    ) -> capnp::Result<()> {
        let message = message::read(params.get()?.get_message()?)?;
        self.0.driver.feed(Input::Received { message: &message });
        Ok(())
    }

    async fn apply(
        self: Rc<Self>,
        params: replica::ApplyParams,
        mut results: replica::ApplyResults,
    ) -> capnp::Result<()> {
        let lists = lists::read(params.get()?.get_lists()?)?;
        let opened = Configuration::open(lists);
        let configuration = opened.map_err(|fault| capnp::Error::failed(fault.to_string()))?;
        let outcome = self.0.propose(&proposal::Apply(&configuration)).await;
        let outcome = outcome.ok_or_else(no_leader)?;
        acceptance::write(outcome, results.get().init_acceptance());
        Ok(())
    }

    async fn wish(
        self: Rc<Self>,
        params: replica::WishParams,
        _: replica::WishResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let name = text(params.get_name())?;
        let change = if params.get_remove() {
            Change::Remove(name)
        } else {
            Change::Add(name)
        };
        self.0
            .propose(&proposal::Membership(change))
            .await
            .ok_or_else(no_leader)
    }

    async fn publish(
        self: Rc<Self>,
        params: replica::PublishParams,
        mut results: replica::PublishResults,
    ) -> capnp::Result<()> {
        let published = document::read(params.get()?.get_document()?)?;
        let number = self.0.propose(&proposal::Publish(&published)).await;
        let number = number.ok_or_else(no_leader)?;
        results.get().set_published(number.is_some());
        results.get().set_number(number.unwrap_or(0));
        Ok(())
    }

    async fn read(
        self: Rc<Self>,
        _: replica::ReadParams,
        mut results: replica::ReadResults,
    ) -> capnp::Result<()> {
        let number = self
            .0
            .propose(&proposal::Newest)
            .await
            .ok_or_else(no_leader)?;
        results.get().set_published(number.is_some());
        results.get().set_number(number.unwrap_or(0));
        Ok(())
    }

    async fn fetch(
        self: Rc<Self>,
        params: replica::FetchParams,
        mut results: replica::FetchResults,
    ) -> capnp::Result<()> {
        let above = params.get()?.get_above();
        let held = self.0.document();
        let now = self.0.driver.clock().now();
        if let Some(held) = held.filter(|held| held.number > above)
            && self.0.uploads.begin(now, held.source.len())
        {
            document::write(&held, results.get().init_document());
        }
        Ok(())
    }

    async fn status(
        self: Rc<Self>,
        _: replica::StatusParams,
        mut results: replica::StatusResults,
    ) -> capnp::Result<()> {
        results.get().set_json(&self.0.local_status().encode());
        Ok(())
    }
}
