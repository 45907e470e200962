//! The stand-in engine, which runs in a process of its own, started from the bench's own
//! executable.

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use nutmegyoke_standin::engine::Behaviour;
use nutmegyoke_standin::{Engine, announcer};

/// The number of requests that the engine runs at once.
pub const SLOTS: u32 = 32;

/// The address of the agent, if this process was started with [`command`].
pub fn agent_argument() -> Option<SocketAddr> {
    let arguments: Vec<String> = std::env::args().collect();
    let index = arguments
        .iter()
        .position(|argument| argument == "--engine")?;
    arguments.get(index + 1)?.parse().ok()
}

/// The command that starts the engine and announces it to `agent`.
pub fn command(agent: SocketAddr) -> Command {
    let mut command =
        Command::new(std::env::current_exe().expect("the path of the executable is known"));
    command.args(["--engine", &agent.to_string()]);
    command
}

/// Runs the stand-in engine until the process is killed. Prints its address first.
pub async fn serve(agent: SocketAddr) {
    let engine = Engine::bind(Behaviour {
        name: "engine-1".to_owned(),
        models: vec!["price-ml"],
        slots: SLOTS,
        token_interval: Duration::ZERO,
    });
    let engine = engine.await.expect("the engine binds a port");
    println!("engine {}", engine.address());
    announcer::spawn(&engine, agent);
    std::future::pending::<()>().await;
}
