//! Control VMs with data folders, each run by its own process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use nutmegyoke_wire::process::Status;
use tempfile::TempDir;

use super::{Daemon, free_address};

/// The time within which a group must recover from a fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A group of control VMs that replicate the log.
pub struct Replicas {
    folder: TempDir,
    /// The VMs, in the order of their names.
    pub vms: Vec<Vm>,
}

/// A control VM, whose process may be stopped.
pub struct Vm {
    /// The name in the settings.
    pub name: String,
    /// The address for other processes.
    pub listen: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    daemon: Option<Daemon>,
}

impl Replicas {
    /// Spawns a group of `count` VMs and waits until all of them vote.
    pub fn spawn(count: usize) -> Self {
        let vms = (1..=count).map(|number| Vm {
            name: format!("control-{number}"),
            listen: free_address(),
            operators: free_address(),
            daemon: None,
        });
        let mut replicas = Self {
            folder: TempDir::new().unwrap(),
            vms: vms.collect(),
        };
        for vm in 0..count {
            replicas.start(vm);
        }
        replicas.wait_for_voters();
        replicas
    }

    /// Returns the path of a VM's data folder.
    pub fn data_folder(&self, vm: usize) -> PathBuf {
        self.folder.path().join(&self.vms[vm].name)
    }

    /// Writes the settings file of a VM and returns its path.
    pub fn write_settings(&self, vm: usize) -> PathBuf {
        let peers = self.vms.iter();
        let peers: Vec<String> = peers
            .map(|vm| format!("{} {}", vm.name, vm.listen))
            .collect();
        let Vm {
            name,
            listen,
            operators,
            ..
        } = &self.vms[vm];
        let text = format!(
            "[process]\nrole = control\nname = {name}\ndata-centre = alp-a\n\
             operators = {operators}\nlisten = {listen}\n\
             [control]\ndata = {}\npeers = {}\nelection-timeout-ms = 500\n",
            self.data_folder(vm).display(),
            peers.join(", ")
        );
        let path = self.folder.path().join(format!("{name}.ini"));
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Starts a VM's process on the data folder that it has.
    pub fn start(&mut self, vm: usize) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoked"));
        command.arg("--settings").arg(self.write_settings(vm));
        self.vms[vm].daemon = Some(Daemon::spawn(command, "NY0100"));
    }

    /// Kills a VM's process with SIGKILL.
    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].daemon = None;
    }

    /// Kills a VM's process and removes its data folder.
    pub fn wipe(&mut self, vm: usize) {
        self.kill(vm);
        std::fs::remove_dir_all(self.data_folder(vm)).unwrap();
    }

    /// Runs the command-line tool against a VM.
    pub fn run_tool(&self, vm: usize, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoke"));
        command.args(arguments);
        command.args(["--control", &self.vms[vm].operators.to_string()]);
        command.output().unwrap()
    }

    /// Applies the demo's lists as configuration `number`.
    pub fn apply(&self, vm: usize, number: u64) -> Output {
        let number = number.to_string();
        let plans = ["--plans", "examples/demo/plans.ini"];
        let grants = ["--grants", "examples/demo/grants.ini"];
        let arguments = [&["apply", "--number", &number], &plans[..], &grants[..]];
        self.run_tool(vm, &arguments.concat())
    }

    /// Returns the status that a VM reports, `None` if it does not answer.
    pub fn status(&self, vm: usize) -> Option<Status> {
        self.vms[vm].daemon.as_ref()?;
        let output = self.run_tool(vm, &["status", "--json"]);
        Status::decode(&output.stdout).ok()
    }

    /// Waits until a VM that knows a leader reports an expected status, and returns it.
    pub fn wait_for_status(&self, is_expected: impl Fn(&Status) -> bool) -> Status {
        let start = Instant::now();
        let mut last = None;
        while start.elapsed() < RECOVERY_TIMEOUT {
            for vm in 0..self.vms.len() {
                let status = self.status(vm);
                if let Some(status) = &status
                    && status.leader.is_some()
                    && is_expected(status)
                {
                    return status.clone();
                }
                last = status.or(last);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        panic!("the group did not recover, last status: {last:#?}");
    }

    /// Waits until every VM's replica votes and has caught up.
    pub fn wait_for_voters(&self) -> Status {
        self.wait_for_status(|status| {
            let is_current = |replica: &nutmegyoke_wire::process::status::Replica| {
                replica.voter && replica.lag == Some(0)
            };
            status.replicas.len() == self.vms.len() && status.replicas.iter().all(is_current)
        })
    }

    /// Returns the index of the VM whose replica leads.
    pub fn leader(&self) -> usize {
        let leader = self.wait_for_status(|_| true).leader;
        let mut names = self.vms.iter().map(|vm| Some(vm.name.clone()));
        names.position(|name| name == leader).unwrap()
    }
}
