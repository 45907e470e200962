//! Calls of a gateway to the stewards of engines.

use std::net::SocketAddr;
use std::time::Duration;

use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::placement::Step;
use nutmegyoke_core::process::registry::Announcement;
use nutmegyoke_core::process::steward::{Answer, Ask, Directive};
use nutmegyoke_core::version::routing::Pool;
use nutmegyoke_wire::connection::convert::{milliseconds, strings};
use nutmegyoke_wire::process::work;

use super::Gateway;
use crate::process::{Codec, Event};

/// How long a steward may take to start loading a model. It first unloads other models,
/// which waits for the requests that use them.
const PLACE_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a steward may take to answer whether there is room for a request. It needs one
/// report of its engine, a few milliseconds.
const ADMIT_TIMEOUT: Duration = Duration::from_millis(100);

impl<C: Clock + 'static, D: Codec> Gateway<C, D> {
    /// Asks the steward of `endpoint` to change the models on its engine. Returns whether
    /// the steward accepted.
    pub(super) async fn place(
        &self,
        endpoint: &Announcement,
        term: u64,
        step: &Step,
        pool: &Pool,
    ) -> bool {
        let Some(engine) = &pool.engine else {
            return false;
        };
        let sizes = engine.models.iter();
        let directive = Directive {
            endpoint: endpoint.id.clone(),
            unload: step.unload.iter().map(ToString::to_string).collect(),
            load: step.load.to_string(),
            memory_mb: engine.models_mb(),
            sizes: sizes.map(|row| (row.model.to_string(), row.mb)).collect(),
        };
        Event::Placing {
            endpoint: &endpoint.id,
            term,
            load: step.load.as_str(),
            unload: &directive.unload,
            share: step.share,
            copies: step.copies,
        }
        .log();
        let steward_address = SocketAddr::new(endpoint.address.ip(), self.steward_port);
        let call = self
            .stewards
            .call(steward_address, PLACE_TIMEOUT, |client| {
                let mut request = client.order_request();
                request.get().set_term(term);
                work::write_directive(&directive, request.get().init_directive());
                async move { Ok(request.send().promise.await?.get()?.get_accepted()) }
            });
        let (accepted, why) = match call.await {
            Ok(accepted) => (accepted, String::new()),
            Err(failure) => (false, failure.to_string()),
        };
        Event::Placed {
            endpoint: &endpoint.id,
            term,
            load: step.load.as_str(),
            unload: &directive.unload,
            accepted,
            why: &why,
        }
        .log();
        accepted
    }

    /// Asks the steward of `endpoint` whether there is room for a request. If the call failed
    /// or took too long, logs why and returns `None`.
    pub async fn ask_admission(&self, endpoint: &Announcement, ask: &Ask<'_>) -> Option<Answer> {
        let steward_address = SocketAddr::new(endpoint.address.ip(), self.steward_port);
        let narrow = |tokens: u64| u32::try_from(tokens).unwrap_or(u32::MAX);
        // A busy steward may take longer, so its connection is kept.
        let call = self.stewards.ask(steward_address, ADMIT_TIMEOUT, |client| {
            let mut request = client.admit_request();
            request.get().set_endpoint(&endpoint.id);
            request.get().set_started_ms(endpoint.stamp.started_ms);
            request.get().set_request(ask.request);
            request.get().set_tenant(ask.tenant);
            request.get().set_priority(ask.priority);
            request.get().set_uncached(narrow(ask.uncached));
            request.get().set_tokens(narrow(ask.tokens));
            request.get().set_limit_ms(milliseconds(ask.limit));
            request.get().set_due_ms(milliseconds(ask.due));
            request.get().set_gap_ms(ask.gap.map_or(0, milliseconds));
            request.get().set_slots(ask.slots);
            async move {
                let response = request.send().promise.await?;
                let results = response.get()?;
                Ok(Answer {
                    admitted: results.get_admitted(),
                    start: Duration::from_millis(results.get_start_ms()),
                    ahead: results.get_ahead(),
                    running: results.get_running(),
                    waiting: results.get_waiting(),
                })
            }
        });
        match call.await {
            Ok(answer) => Some(answer),
            Err(error) => {
                let why = error.to_string();
                Event::AdmissionUnanswered {
                    address: steward_address,
                    why: &why,
                }
                .log();
                None
            }
        }
    }

    /// Asks the steward of `endpoint` to load an adapter on its engine. Returns the adapters
    /// that the engine holds afterwards; if the call failed, or took longer than `timeout`,
    /// logs why and returns `None`.
    pub async fn prepare(
        &self,
        endpoint: &Announcement,
        model: &str,
        adapter: &str,
        adapter_capacity: u32,
        timeout: Duration,
    ) -> Option<Vec<String>> {
        let steward_address = SocketAddr::new(endpoint.address.ip(), self.steward_port);
        let call = self.stewards.call(steward_address, timeout, |client| {
            let mut request = client.prepare_request();
            request.get().set_endpoint(&endpoint.id);
            request.get().set_model(model);
            request.get().set_adapter(adapter);
            request.get().set_slots(adapter_capacity);
            async move { strings(request.send().promise.await?.get()?.get_adapters()) }
        });
        match call.await {
            Ok(adapters) => Some(adapters),
            Err(error) => {
                let why = error.to_string();
                Event::StewardSilent {
                    address: steward_address,
                    why: &why,
                }
                .log();
                None
            }
        }
    }
}
