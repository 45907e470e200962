//! Announces an endpoint to its agent, as long as the endpoint lives.

use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use nutmegyoke_wire::process::Announcement;

/// The time between two announcements.
const PERIOD: Duration = Duration::from_secs(1);

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
        let text = endpoint.announcement().encode();
        drop(endpoint);
        // A lost announcement is made good by the next one.
        let _ = send(&client, agent, text).await;
        compio::time::sleep(PERIOD).await;
    }
}

async fn send(client: &cyper::Client, agent: SocketAddr, text: Vec<u8>) -> cyper::Result<()> {
    let request = client.post(format!("http://{agent}/v1/endpoints"))?;
    request.body(text).send().await?.bytes().await?;
    Ok(())
}
