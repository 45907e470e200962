//! What a gateway asks of the stewards beside engines.

use std::net::SocketAddr;
use std::time::Duration;

use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::placement::Step;
use nutmegyoke_core::process::registry::Announcement;
use nutmegyoke_core::process::steward::Directive;
use nutmegyoke_core::version::routing::Pool;
use nutmegyoke_wire::connection::convert::strings;
use nutmegyoke_wire::process::work;

use super::Gateway;
use crate::process::{Dialect, Event};

/// How long a steward may take until it has begun to load a model: the models
/// that make way wait for the requests that use them.
const PLACE_TIMEOUT: Duration = Duration::from_secs(20);

impl<C: Clock + 'static, D: Dialect> Gateway<C, D> {
    /// Has the steward beside `endpoint` change which models its engine holds.
    /// Returns whether it does.
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
        let steward = SocketAddr::new(endpoint.address.ip(), self.steward_port);
        let asked = async {
            let client = self.stewards.get(steward).await?;
            let mut request = client.order_request();
            request.get().set_term(term);
            work::write_directive(&directive, request.get().init_directive());
            let response = request.send().promise.await?;
            capnp::Result::Ok(response.get()?.get_accepted())
        };
        let answer = compio::time::timeout(PLACE_TIMEOUT, asked).await;
        let (accepted, why) = match answer {
            Ok(Ok(accepted)) => (accepted, String::new()),
            Ok(Err(error)) => (false, error.to_string()),
            Err(elapsed) => (false, elapsed.to_string()),
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

    /// Has the steward beside `endpoint` see to it that the engine holds an adapter. Returns the
    /// adapters that the engine holds then, `None` if the steward didn't answer.
    pub async fn prepare(
        &self,
        endpoint: &Announcement,
        model: &str,
        adapter: &str,
        slots: u32,
    ) -> Option<Vec<String>> {
        let steward = SocketAddr::new(endpoint.address.ip(), self.steward_port);
        let asked = async {
            let client = self.stewards.get(steward).await?;
            let mut request = client.prepare_request();
            request.get().set_endpoint(&endpoint.id);
            request.get().set_model(model);
            request.get().set_adapter(adapter);
            request.get().set_slots(slots);
            let response = request.send().promise.await?;
            strings(response.get()?.get_adapters())
        };
        match asked.await {
            Ok(adapters) => Some(adapters),
            Err(error) => {
                let why = error.to_string();
                Event::StewardSilent {
                    address: steward,
                    why: &why,
                }
                .log();
                None
            }
        }
    }
}
