//! Control VMs with data folders, each a process of its own.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use nutmegyoke_wire::process::Status;
use tempfile::TempDir;

use super::{Daemon, free_address};

/// How long a group may take to repair itself.
const REPAIR_TIMEOUT: Duration = Duration::from_secs(30);

const PERIOD: Duration = Duration::from_millis(50);

/// A group of control VMs.
pub struct Replicas {
    folder: TempDir,
    /// The VMs, in the order of their names.
    pub vms: Vec<Vm>,
}

/// A control VM.
pub struct Vm {
    /// The name in the settings.
    pub name: String,
    /// Where other processes reach it.
    pub listen: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
    daemon: Option<Daemon>,
}

impl Replicas {
    /// Spawns a group of `count` and waits until all vote.
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

    /// The data folder of a VM.
    pub fn data(&self, vm: usize) -> PathBuf {
        self.folder.path().join(&self.vms[vm].name)
    }

    /// The settings file of a VM.
    pub fn settings(&self, vm: usize) -> PathBuf {
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
            self.data(vm).display(),
            peers.join(", ")
        );
        let path = self.folder.path().join(format!("{name}.ini"));
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Starts a VM's process with what its disk holds.
    pub fn start(&mut self, vm: usize) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoked"));
        command.arg("--settings").arg(self.settings(vm));
        self.vms[vm].daemon = Some(Daemon::spawn(command, "NY0100"));
    }

    /// Kills a VM's process with SIGKILL.
    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].daemon = None;
    }

    /// Kills a VM's process and empties its disk.
    pub fn wipe(&mut self, vm: usize) {
        self.kill(vm);
        std::fs::remove_dir_all(self.data(vm)).unwrap();
    }

    /// Runs the tool against the VM `vm`.
    pub fn tool(&self, vm: usize, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoke"));
        command.args(arguments);
        command.args(["--control", &self.vms[vm].operators.to_string()]);
        command.output().unwrap()
    }

    /// Applies the demo's lists under `number`.
    pub fn apply(&self, vm: usize, number: u64) -> Output {
        let number = number.to_string();
        let plans = ["--plans", "examples/demo/plans.ini"];
        let grants = ["--grants", "examples/demo/grants.ini"];
        let arguments = [&["apply", "--number", &number], &plans[..], &grants[..]];
        self.tool(vm, &arguments.concat())
    }

    /// The status that the VM `vm` tells, if its process runs.
    pub fn status(&self, vm: usize) -> Option<Status> {
        self.vms[vm].daemon.as_ref()?;
        let output = self.tool(vm, &["status", "--json"]);
        Status::decode(&output.stdout).ok()
    }

    /// Waits until the leader's status fits and returns it.
    pub fn wait_for(&self, fits: impl Fn(&Status) -> bool) -> Status {
        let start = Instant::now();
        let mut last = None;
        while start.elapsed() < REPAIR_TIMEOUT {
            for vm in 0..self.vms.len() {
                let status = self.status(vm);
                if let Some(status) = &status
                    && status.leader.is_some()
                    && fits(status)
                {
                    return status.clone();
                }
                last = status.or(last);
            }
            std::thread::sleep(PERIOD);
        }
        panic!("the group did not repair itself: {last:#?}");
    }

    /// Waits until every VM's replica votes and lags behind by nothing.
    pub fn wait_for_voters(&self) -> Status {
        self.wait_for(|status| {
            let current = |replica: &nutmegyoke_wire::process::status::Replica| {
                replica.voter && replica.lag == Some(0)
            };
            status.replicas.len() == self.vms.len() && status.replicas.iter().all(current)
        })
    }

    /// The VM whose replica leads.
    pub fn leader(&self) -> usize {
        let leader = self.wait_for(|_| true).leader;
        let mut names = self.vms.iter().map(|vm| Some(vm.name.clone()));
        names.position(|name| name == leader).unwrap()
    }
}
