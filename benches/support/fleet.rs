//! One process of each role, with a stand-in engine in a process of its own.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::Command;

use tempfile::TempDir;

use super::Process;

const API_KEY: &str = "bench-key";

const PLANS: &str = "[plan bench]\ncustomer = bench\nkey = bench-key\n\
    requests-per-second = 1000000\nconcurrency = 100000\ntokens-per-minute = 1000000000000\n\
    first-token-ms = 1000\nbetween-tokens-ms = 50\ndeadline-ms = 30000\n";

const GRANTS: &str = "[model price-ml]\nmemory-mb = 7000\nplans = bench\n";

/// The fleet.
pub struct Fleet {
    _folder: TempDir,
    /// Where callers reach the entry.
    pub entry_address: SocketAddr,
    /// Where the engine serves.
    pub engine_address: SocketAddr,
    /// The control process.
    pub control_process: Process,
    /// The agent.
    pub agent_process: Process,
    /// The entry.
    pub entry_process: Process,
    _engine_process: Process,
}

/// The plan's bearer key.
pub fn api_key() -> &'static str {
    API_KEY
}

/// An address of an IP number that only this process uses.
fn address(port: u16) -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 128 + high % 64, middle, low), port))
}

/// Whether one of the processes runs under callgrind.
pub fn is_profiled() -> bool {
    std::env::var_os("BENCH_PROFILE").is_some()
}

impl Fleet {
    /// Spawns the processes and applies the lists. `engine` is the command of the engine's
    /// process: it prints where it serves.
    pub fn spawn(engine_command: impl Fn(SocketAddr) -> Command) -> Self {
        let folder = TempDir::new().expect("a folder");
        let [
            entry_address,
            operators,
            agent_operators,
            agent_listen,
            control_listen,
            entry_operators,
        ] = [1, 2, 3, 4, 5, 6].map(|port| address(20_000 + port));
        let process_section = |role: &str, operators: SocketAddr| {
            format!(
                "[process]\nrole = {role}\nname = {role}-1\ndata-centre = alp-a\n\
                 operators = {operators}\n"
            )
        };
        let settings = format!(
            "{}listen = {control_listen}\n",
            process_section("control", operators)
        );
        let control_process = spawn_daemon(&folder, "control", &settings);
        let settings = process_section("agent", agent_operators);
        let settings = format!("{settings}listen = {agent_listen}\ncontrol = {control_listen}\n");
        let agent_process = spawn_daemon(&folder, "agent", &settings);
        let settings = process_section("entry", entry_operators);
        let settings =
            format!("{settings}control = {control_listen}\n[entry]\ncallers = {entry_address}\n");
        let entry_process = spawn_daemon(&folder, "entry", &settings);
        apply_lists(&folder, operators);
        let (engine_process, line) = Process::spawn(engine_command(agent_operators), "engine ");
        let engine_address = line.trim_start_matches("engine ").parse();
        Self {
            _folder: folder,
            entry_address,
            engine_address: engine_address.expect("an address"),
            control_process,
            agent_process,
            entry_process,
            _engine_process: engine_process,
        }
    }
}

fn spawn_daemon(folder: &TempDir, role: &str, settings: &str) -> Process {
    let path = folder.path().join(format!("{role}.ini"));
    std::fs::write(&path, settings).expect("a file");
    let executable = env!("CARGO_BIN_EXE_nutmegyoked");
    let mut command =
        if std::env::var("BENCH_PROFILE").is_ok_and(|profiled_role| profiled_role == role) {
            let mut command = Command::new("valgrind");
            command.args(["--tool=callgrind", "--callgrind-out-file=callgrind.out"]);
            command.arg(executable);
            command
        } else {
            Command::new(executable)
        };
    command.arg("--settings").arg(path);
    Process::spawn(command, "NY0100").0
}

fn apply_lists(folder: &TempDir, operators: SocketAddr) {
    let plans = folder.path().join("plans.ini");
    let grants = folder.path().join("grants.ini");
    std::fs::write(&plans, PLANS).expect("a file");
    std::fs::write(&grants, GRANTS).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoke"));
    command.args(["apply", "--control", &operators.to_string()]);
    command.args(["--number", "1", "--plans"]).arg(plans);
    let status = command.arg("--grants").arg(grants).status();
    assert!(status.expect("the tool starts").success());
}
