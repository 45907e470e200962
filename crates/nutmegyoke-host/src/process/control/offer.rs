//! The interface that other processes call.

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

use super::{Control, ask};

/// Serves a control process's calls; a type of its own because capnp owns it.
pub struct Offer<C: Clock + 'static>(pub Rc<Control<C>>);

fn unavailable() -> capnp::Error {
    capnp::Error::failed("no control replica leads at the moment".to_owned())
}

impl<C: Clock + 'static> scheduler::Server for Offer<C> {
    async fn report(
        self: Rc<Self>,
        params: scheduler::ReportParams,
        results: scheduler::ReportResults,
    ) -> capnp::Result<()> {
        self.0.schedule();
        self.0.scheduling.report(&params, results).await
    }
}

impl<C: Clock + 'static> control::Server for Offer<C> {
    async fn exchange(
        self: Rc<Self>,
        params: control::ExchangeParams,
        mut results: control::ExchangeResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let told = member::read(params.get_member()?)?;
        let known = update::read_known(params.get_known()?)?;
        let mut mailbox = self.0.driver.open();
        self.0.driver.feed(Input::Heartbeat {
            call: mailbox.number(),
            member: &told,
            known,
        });
        if let Some(Command::AnswerHeartbeat { update, .. }) = mailbox.next().await {
            update::write(&update, results.get().init_news());
            return Ok(());
        }
        let leader = self.0.leader().await.ok_or_else(unavailable)?;
        let mut request = leader.cast_to::<control::Client>().exchange_request();
        request.get().set_member(params.get_member()?)?;
        request.get().set_known(params.get_known()?)?;
        let response = request.send().promise.await?;
        results.get().set_news(response.get()?.get_news()?)
    }

    async fn claim(
        self: Rc<Self>,
        params: control::ClaimParams,
        mut results: control::ClaimResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let name = wire::claim::read_name(params.get_name()?)?;
        let claim = ask::Claim {
            name: &name,
            holder: wire::id::read(params.get_holder()?),
            digest: params.get_digest(),
        };
        let outcome = self.0.ask(&claim).await.ok_or_else(unavailable)?;
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
        let conclude = ask::Conclude {
            name: &name,
            holder: wire::id::read(params.get_holder()?),
            verdict: wire::verdict::read(params.get_verdict()?)?,
            vm: text(params.get_vm())?,
        };
        self.0.ask(&conclude).await.ok_or_else(unavailable)
    }
}

impl<C: Clock + 'static> replica::Server for Offer<C> {
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
        let outcome = self.0.ask(&ask::Apply(&configuration)).await;
        let outcome = outcome.ok_or_else(unavailable)?;
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
            .ask(&ask::Change(change))
            .await
            .ok_or_else(unavailable)
    }

    async fn publish(
        self: Rc<Self>,
        params: replica::PublishParams,
        mut results: replica::PublishResults,
    ) -> capnp::Result<()> {
        let published = document::read(params.get()?.get_document()?)?;
        let number = self.0.ask(&ask::Publish(&published)).await;
        let number = number.ok_or_else(unavailable)?;
        results.get().set_published(number.is_some());
        results.get().set_number(number.unwrap_or(0));
        Ok(())
    }

    async fn read(
        self: Rc<Self>,
        _: replica::ReadParams,
        mut results: replica::ReadResults,
    ) -> capnp::Result<()> {
        let number = self.0.ask(&ask::Newest).await.ok_or_else(unavailable)?;
        results.get().set_published(number.is_some());
        results.get().set_number(number.unwrap_or(0));
        Ok(())
    }

    async fn status(
        self: Rc<Self>,
        _: replica::StatusParams,
        mut results: replica::StatusResults,
    ) -> capnp::Result<()> {
        results.get().set_json(&self.0.own_status().encode());
        Ok(())
    }
}
