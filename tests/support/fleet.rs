//! A small fleet, each part its own process; endpoints stand in the test's own thread.

use std::net::SocketAddr;
use std::process::Command;

use tempfile::TempDir;

use super::{Daemon, free_address};

/// A fleet with its settings in a temporary folder.
pub struct Fleet {
    folder: TempDir,
    /// Where callers reach the entry.
    pub callers: SocketAddr,
    /// Where operators reach the control process.
    pub operators: SocketAddr,
    /// Where endpoints announce themselves to the agent.
    pub announce: SocketAddr,
    /// The control process.
    pub control: Daemon,
    /// The agent.
    pub agent: Daemon,
    /// The entry.
    pub entry: Daemon,
    control_listen: SocketAddr,
}

impl Fleet {
    /// Spawns one process of each role.
    pub fn spawn() -> Self {
        let folder = TempDir::new().unwrap();
        let [callers, operators, announce, listen, control] = [(); 5].map(|()| free_address());
        let common = |role: &str, operators: SocketAddr| {
            format!(
                "[process]\nrole = {role}\nname = {role}-1\ndata-centre = alp-a\n\
                 operators = {operators}\n"
            )
        };
        let text = format!("{}listen = {control}\n", common("control", operators));
        let control_process = spawn(&folder, "control", &text);
        let text = common("agent", announce);
        let text = format!("{text}listen = {listen}\ncontrol = {control}\n");
        let agent = spawn(&folder, "agent", &text);
        let text = common("entry", free_address());
        let text = format!("{text}control = {control}\n[entry]\ncallers = {callers}\n");
        let entry = spawn(&folder, "entry", &text);
        Self {
            folder,
            callers,
            operators,
            announce,
            control: control_process,
            agent,
            entry,
            control_listen: control,
        }
    }

    /// Spawns one more agent, with lines added to its settings; returns where
    /// endpoints announce themselves to it.
    pub fn add_agent(&self, name: &str, more: &str) -> (Daemon, SocketAddr) {
        let (announce, listen) = (free_address(), free_address());
        let text = format!(
            "[process]\nrole = agent\nname = {name}\ndata-centre = alp-a\n\
             operators = {announce}\nlisten = {listen}\ncontrol = {}\n{more}",
            self.control_listen
        );
        (spawn(&self.folder, name, &text), announce)
    }

    /// Runs the command-line tool against the control process.
    pub fn tool(&self, verb: &str, options: &[&str]) -> std::process::Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoke"));
        command.args([verb, "--control", &self.operators.to_string()]);
        command.args(options).output().unwrap()
    }

    /// Applies the demo's lists under `number` with the command-line tool.
    pub fn apply(&self, number: u64) -> std::process::Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoke"));
        command.args(["apply", "--control", &self.operators.to_string()]);
        command.args(["--number", &number.to_string()]);
        command.args(["--plans", "examples/demo/plans.ini"]);
        command.args(["--grants", "examples/demo/grants.ini"]);
        command.output().unwrap()
    }

    /// Applies lists of the test's own.
    pub fn apply_lists(&self, number: u64, plans: &str, grants: &str) -> std::process::Output {
        let [plans_path, grants_path] = ["plans.ini", "grants.ini"].map(|name| {
            let path = self.folder.path().join(name);
            path.to_str().unwrap().to_owned()
        });
        std::fs::write(&plans_path, plans).unwrap();
        std::fs::write(&grants_path, grants).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoke"));
        command.args(["apply", "--control", &self.operators.to_string()]);
        command.args(["--number", &number.to_string()]);
        command.args(["--plans", &plans_path, "--grants", &grants_path]);
        command.output().unwrap()
    }

    /// Spawns one more entry, called `name`.
    pub fn spawn_entry(&self, name: &str) -> Entrance {
        let (operators, callers) = (free_address(), free_address());
        let text = format!(
            "[process]\nrole = entry\nname = {name}\ndata-centre = alp-a\n\
             operators = {operators}\ncontrol = {}\n[entry]\ncallers = {callers}\n",
            self.control_listen
        );
        Entrance {
            daemon: spawn(&self.folder, name, &text),
            callers,
            operators,
        }
    }

    /// Starts a process again with the settings that it had under `name`.
    pub fn restart(folder: &std::path::Path, name: &str) -> Daemon {
        let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoked"));
        command
            .arg("--settings")
            .arg(folder.join(format!("{name}.ini")));
        Daemon::spawn(command, "NY0100")
    }

    /// The folder of the settings files.
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }
}

/// An entry.
pub struct Entrance {
    /// The process.
    pub daemon: Daemon,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
}

/// An agent without control.
pub struct Lone {
    _folder: TempDir,
    /// Where entries reach it.
    pub listen: SocketAddr,
    /// Where endpoints announce themselves.
    pub operators: SocketAddr,
    /// The process.
    pub agent: Daemon,
}

impl Lone {
    /// Spawns the agent; its control process is at an address where none listens.
    pub fn spawn() -> Self {
        let folder = TempDir::new().unwrap();
        let [listen, operators, control] = [(); 3].map(|()| free_address());
        let text = format!(
            "[process]\nrole = agent\nname = agent-1\ndata-centre = alp-a\n\
             operators = {operators}\nlisten = {listen}\ncontrol = {control}\n"
        );
        let agent = spawn(&folder, "agent", &text);
        Self {
            _folder: folder,
            listen,
            operators,
            agent,
        }
    }
}

fn spawn(folder: &TempDir, role: &str, settings: &str) -> Daemon {
    let path = folder.path().join(format!("{role}.ini"));
    std::fs::write(&path, settings).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoked"));
    command.arg("--settings").arg(path);
    Daemon::spawn(command, "NY0100")
}
