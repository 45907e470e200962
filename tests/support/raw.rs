//! A fleet of control, agent and entry, before a scripted endpoint on a raw socket.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use nutmegyoke_core::process::endpoint::{Endpoint, Holding, Phase};
use nutmegyoke_wire::process::Announcement;

use super::fleet::{Entry, Fleet};
use super::free_address;
use super::gateway::{call, poll_until};
use super::scripted::{GRANTS, PLANS};
use super::upstream::{Action, Answer, Upstream, exchange};

/// How often the endpoint is announced; the agent drops it after several times this.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// A fleet whose service `desk` has one endpoint.
pub struct RawFleet {
    pub fleet: Fleet,
    /// An entry that takes long bodies.
    pub entry: Entry,
    pub upstream: Upstream,
}

impl RawFleet {
    /// Spawns the fleet and an endpoint with this action, and waits until requests reach it.
    pub fn spawn(action: Action) -> Self {
        let fleet = Fleet::spawn();
        let entry = fleet.spawn_entry_with("entry-2", "memory-mb = 96", "body-bytes = 8000000\n");
        assert!(fleet.apply_lists(1, PLANS, GRANTS).status.success());
        let upstream = Upstream::spawn(free_address(), action);
        announce(upstream.address, fleet.agent_operators);
        let this = Self {
            fleet,
            entry,
            upstream,
        };
        poll_until(
            || this.request("GET", "", ""),
            |_| !this.upstream.received().is_empty(),
        );
        this
    }

    /// Sends a caller's request to the service.
    pub fn request(&self, method: &str, headers: &str, body: &str) -> Answer {
        exchange(
            self.entry.callers,
            request_bytes(method, headers, body).as_bytes(),
        )
    }
}

/// The bytes of a caller's request to the service.
pub fn request_bytes(method: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} /services/desk/bookings HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-key\r\n\
         {headers}Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
}

/// Announces an endpoint of the service to an agent until the test ends.
fn announce(address: SocketAddr, agent: SocketAddr) {
    let announcement = Announcement {
        capacity: None,
        address,
        endpoint: Endpoint {
            name: "raw".to_owned(),
            holding: Holding::Service {
                service: "desk".into(),
            },
            slots: 64,
            phase: Phase::Ready,
        },
    };
    let body = announcement.encode();
    std::thread::spawn(move || {
        // The agent ends with the test.
        while TcpStream::connect(agent).is_ok() {
            call(agent, "POST", "/v1/endpoints", &body);
            std::thread::sleep(ANNOUNCE_INTERVAL);
        }
    });
}
