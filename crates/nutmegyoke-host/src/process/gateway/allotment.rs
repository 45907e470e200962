//! Lends units of tenants' allotments to other gateways, and borrows from them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::allotment::{Ask, Loan};
use nutmegyoke_core::process::gateway::allotment::{Borrowing, Command, Event as Input};
use nutmegyoke_core::process::gateway::{Command as Decision, Event as Fed};
use nutmegyoke_core::version::routing::Allotment;
use nutmegyoke_wire::connection::convert::{milliseconds, text};
use nutmegyoke_wire::connection::mesh_capnp::gateway;

use super::Gateway;
use super::gossip::OWNER_TIMEOUT;
use crate::process::{Codec, Event};

impl<C: Clock + 'static, D: Codec> Gateway<C, D> {
    /// Executes a background command about allotments.
    pub(super) fn execute(self: Rc<Self>, command: Command) {
        match command {
            Command::Borrow { borrowing } => {
                // Not part of the request's own task: if its client leaves, the units still count.
                compio::runtime::spawn(async move { self.borrow(&borrowing).await }).detach();
            }
            Command::AskOwnership { tenant, witness } => {
                compio::runtime::spawn(async move { self.ask_ownership(&tenant, witness).await })
                    .detach();
            }
            // The others are for a mailbox.
            Command::Lend { .. } | Command::ConfirmOwnership { .. } | Command::Rejected { .. } => {}
        }
    }

    /// Answers a call of another gateway, which asks for units or about the owner of a tenant.
    pub(super) async fn answer_borrower(
        &self,
        params: &gateway::BorrowParams,
        mut results: gateway::BorrowResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let tenant = text(params.get_tenant())?;
        let from = text(params.get_from())?.parse();
        let from = from.map_err(|_| capnp::Error::failed("not an address".to_owned()))?;
        let mut mailbox = self.driver.open();
        let call = mailbox.number();
        if params.get_units() == 0 {
            self.feed(Input::OwnershipAsked {
                call,
                tenant,
                gateway: from,
            });
            let answer = mailbox.next().await;
            if let Some(Decision::Allotment(Command::ConfirmOwnership { confirmed, .. })) = answer {
                results.get().set_granted(u64::from(confirmed));
            }
            return Ok(());
        }
        self.feed(Input::LoanAsked {
            call,
            ask: Ask {
                tenant,
                allotment: Allotment {
                    rate: params.get_units_per_second(),
                    burst: params.get_burst(),
                    ..Allotment::default()
                },
                units: params.get_units(),
                extra: params.get_extra(),
                from,
            },
        });
        let answer = mailbox.next().await;
        if let Some(Decision::Allotment(Command::Lend { loan, .. })) = answer {
            let (granted, retry_after) = match loan {
                Loan::Granted { units } => (units, Duration::ZERO),
                Loan::Denied { retry_after } => (0, retry_after),
            };
            results.get().set_granted(granted);
            results.get().set_retry_after_ms(milliseconds(retry_after));
        }
        Ok(())
    }

    /// Asks the owner of a tenant for units of its allotment, and feeds its answer.
    async fn borrow(&self, borrowing: &Borrowing) {
        let Borrowing {
            ref tenant, owner, ..
        } = *borrowing;
        let from = SocketAddr::new(self.member.address.ip(), self.gossip_port);
        let answered = self
            .gateways
            .ask(owner, OWNER_TIMEOUT, |client| async move {
                let mut request = client.borrow_request();
                request.get().set_tenant(&tenant.name);
                request.get().set_units(borrowing.units);
                request.get().set_extra(borrowing.extra);
                request.get().set_units_per_second(tenant.allotment.rate);
                request.get().set_burst(tenant.allotment.burst);
                request.get().set_from(from.to_string());
                let response = request.send().promise.await?;
                let results = response.get()?;
                let granted = results.get_granted();
                Ok(if granted > 0 {
                    Loan::Granted { units: granted }
                } else {
                    let retry_after = Duration::from_millis(results.get_retry_after_ms());
                    Loan::Denied { retry_after }
                })
            })
            .await;
        if let Err(failure) = &answered {
            let why = failure.to_string();
            let tenant = &tenant.name;
            let event = Event::OwnerSilent {
                tenant,
                owner,
                why: &why,
            };
            self.log_sampled(&event, false);
        }
        let loan = answered.ok();
        self.feed(Input::Lent { borrowing, loan });
    }

    /// Asks another gateway whether it takes this one for the owner of a tenant, and feeds its
    /// answer.
    async fn ask_ownership(&self, tenant: &str, witness: SocketAddr) {
        let from = SocketAddr::new(self.member.address.ip(), self.gossip_port);
        // Not logged: gossip to a gateway that is gone fails as well.
        let answered = self
            .gateways
            .ask(witness, OWNER_TIMEOUT, |client| async move {
                let mut request = client.borrow_request();
                request.get().set_tenant(tenant);
                request.get().set_from(from.to_string());
                let response = request.send().promise.await?;
                Ok(response.get()?.get_granted() > 0)
            });
        let confirmed = answered.await.ok();
        let answer = Input::OwnershipConfirmed { tenant, confirmed };
        self.feed(answer);
    }

    fn feed(&self, event: Input<'_>) {
        self.driver.feed(Fed::Allotment(event));
    }
}
