//! Announces an endpoint to its agent, as long as the endpoint lives.

use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use nutmegyoke_wire::process::Announcement;

/// The time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// An endpoint that can say what it is now.
pub trait Announcer {
    /// What the endpoint tells of itself.
    fn announcement(&self) -> Announcement;
}

/// Spawns the task that announces `endpoint` to the agent at `agent`.
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
        // A lost announcement is made good by the next one.
        let _ = send(&client, agent, body).await;
        compio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn send(client: &cyper::Client, agent: SocketAddr, body: Vec<u8>) -> cyper::Result<()> {
    let request = client.post(format!("http://{agent}/v1/endpoints"))?;
    request.body(body).send().await?.bytes().await?;
    Ok(())
}
