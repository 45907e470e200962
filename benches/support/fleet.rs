//! A fleet with one process of each role and a stand-in engine.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::Command;

use tempfile::TempDir;

use super::Process;

const API_KEY: &str = "bench-key";

const PLANS: &str = "[plan bench]\ncustomer = bench\nkey = bench-key\n\
    requests-per-second = 1000000\nconcurrency = 100000\ntokens-per-minute = 1000000000000\n\
    first-token-ms = 1000\nbetween-tokens-ms = 50\ndeadline-ms = 30000\n";

const GRANTS: &str = "[model price-ml]\nmemory-mb = 7000\nplans = bench\n";

/// The running processes, which stop when the fleet is dropped.
pub struct Fleet {
    _folder: TempDir,
    /// The address at which the entry serves clients.
    pub entry_address: SocketAddr,
    /// The address at which the engine serves.
    pub engine_address: SocketAddr,
    pub control_process: Process,
    pub agent_process: Process,
    pub entry_process: Process,
    _engine_process: Process,
}

/// The API key of the plan, sent as a bearer token.
pub fn api_key() -> &'static str {
    API_KEY
}

/// A loopback address whose IP is derived from the process ID, so that benches that run at
/// the same time do not share ports.
fn address(port: u16) -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 128 + high % 64, middle, low), port))
}

/// Whether a process of the fleet runs under callgrind, as `BENCH_PROFILE` requests.
pub fn is_profiled() -> bool {
    std::env::var_os("BENCH_PROFILE").is_some()
}

impl Fleet {
    /// Spawns the processes and applies the plans and grants. `engine_command` returns the
    /// command that starts an engine, given the agent's address. The engine prints its address.
    pub fn spawn(engine_command: impl Fn(SocketAddr) -> Command) -> Self {
        let folder = TempDir::new().expect("the temporary folder can be created");
        let [
            entry_address,
            control_operators,
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
            process_section("control", control_operators)
        );
        let control_process = spawn_daemon(&folder, "control", &settings);
        let settings = process_section("agent", agent_operators);
        let settings = format!("{settings}listen = {agent_listen}\ncontrol = {control_listen}\n");
        let agent_process = spawn_daemon(&folder, "agent", &settings);
        let settings = process_section("entry", entry_operators);
        let settings =
            format!("{settings}control = {control_listen}\n[entry]\ncallers = {entry_address}\n");
        let entry_process = spawn_daemon(&folder, "entry", &settings);
        apply_lists(&folder, control_operators);
        let (engine_process, line) = Process::spawn(engine_command(agent_operators), "engine ");
        let engine_address = line.trim_start_matches("engine ").parse();
        Self {
            _folder: folder,
            entry_address,
            engine_address: engine_address.expect("the engine prints its address"),
            control_process,
            agent_process,
            entry_process,
            _engine_process: engine_process,
        }
    }
}

/// Spawns the daemon with `settings` and waits until it is ready. Runs it under callgrind if
/// `BENCH_PROFILE` names its role.
fn spawn_daemon(folder: &TempDir, role: &str, settings: &str) -> Process {
    let path = folder.path().join(format!("{role}.ini"));
    std::fs::write(&path, settings).expect("the settings file can be written");
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

/// Applies the plans and grants with the command-line tool. `operators` is control's address for
/// operators.
fn apply_lists(folder: &TempDir, operators: SocketAddr) {
    let plans = folder.path().join("plans.ini");
    let grants = folder.path().join("grants.ini");
    std::fs::write(&plans, PLANS).expect("the file of plans can be written");
    std::fs::write(&grants, GRANTS).expect("the file of grants can be written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoke"));
    command.args(["apply", "--control", &operators.to_string()]);
    command.args(["--number", "1", "--plans"]).arg(plans);
    let status = command.arg("--grants").arg(grants).status();
    assert!(
        status
            .expect("the command-line tool can be started")
            .success()
    );
}
