//! The stand-in engine, in a process of its own.

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use nutmegyoke_standin::engine::Behaviour;
use nutmegyoke_standin::{Engine, announcer};

/// Requests that the engine runs at once.
pub const SLOTS: u32 = 32;

/// The agent's address, if this process was started as the engine's.
pub fn agent_argument() -> Option<SocketAddr> {
    let arguments: Vec<String> = std::env::args().collect();
    let index = arguments
        .iter()
        .position(|argument| argument == "--engine")?;
    arguments.get(index + 1)?.parse().ok()
}

/// The command of the engine's process.
pub fn command(agent: SocketAddr) -> Command {
    let mut command = Command::new(std::env::current_exe().expect("a path"));
    command.args(["--engine", &agent.to_string()]);
    command
}

/// Runs the stand-in engine until the process is killed.
pub async fn serve(agent: SocketAddr) {
    let engine = Engine::bind(Behaviour {
        name: "engine-1".to_owned(),
        models: vec!["price-ml"],
        slots: SLOTS,
        token_interval: Duration::ZERO,
    });
    let engine = engine.await.expect("a port");
    println!("engine {}", engine.address());
    announcer::spawn(&engine, agent);
    std::future::pending::<()>().await;
}
