//! Connects to an endpoint whose connections broke, to tell a crash from other failures.

use std::io::ErrorKind;

use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::gateway::Event as Input;
use nutmegyoke_core::process::registry::Announcement;

use super::Gateway;
use crate::connection::upstream::Upstream;
use crate::process::Codec;

impl<C: Clock + 'static, D: Codec> Gateway<C, D> {
    /// Connects to `endpoint` and feeds the state machine whether it refused. A connection
    /// joins the idle ones.
    pub(super) async fn probe(&self, endpoint: &Announcement) {
        let dialled = Upstream::dial(endpoint.address).await;
        // A timeout shows no crash: the network may be at fault.
        let refused = dialled
            .as_ref()
            .is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused);
        if let Ok(upstream) = dialled {
            self.upstreams
                .put(self.driver.clock().now(), upstream, None);
        }
        self.driver.feed(Input::Probed {
            endpoint: &endpoint.id,
            started_ms: endpoint.stamp.started_ms,
            refused,
        });
    }
}
