//! Announces an endpoint to its agent until the endpoint is dropped.

use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use nutmegyoke_wire::process::Announcement;

/// The interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// An endpoint that can be announced.
pub trait Announcer {
    /// The announcement with the endpoint's current state.
    fn announcement(&self) -> Announcement;
}

/// Spawns a task on the current event loop that announces `endpoint` to the agent at
/// the operators' address `agent`. The task ends when the endpoint is dropped.
pub fn spawn<A: Announcer + 'static>(endpoint: &Rc<A>, agent: SocketAddr) {
    compio::runtime::spawn(run(Rc::downgrade(endpoint), agent)).detach();
}

async fn run<A: Announcer>(endpoint: Weak<A>, agent: SocketAddr) {
    let Ok(client) = cyper::Client::new() else {
        return;
    };
    while let Some(endpoint) = endpoint.upgrade() {
        let body = endpoint.announcement().encode();
        drop(endpoint);
        // The next announcement makes up for one that failed.
        let _ = send(&client, agent, body).await;
        compio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn send(client: &cyper::Client, agent: SocketAddr, body: Vec<u8>) -> cyper::Result<()> {
    let request = client.post(format!("http://{agent}/v1/endpoints"))?;
    request.body(body).send().await?.bytes().await?;
    Ok(())
}
