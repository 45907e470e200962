//! The settings file of a process, in INI format.
//!
//! ```ini
//! [process]
//! role = entry
//! name = entry-1
//! data-centre = alp-a
//! operators = 127.0.0.1:8471
//! control = 127.0.0.1:8480, 127.0.0.1:8481
//!
//! [entry]
//! callers = 127.0.0.1:8470
//! ```

pub mod gateway;
pub mod steward;

use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use nutmegyoke_core::process::DataCentre;
use nutmegyoke_core::process::control::replica::Seed;
use nutmegyoke_core::process::member::Role;

pub use gateway::Gateway;
pub use steward::Steward;

use super::Planner;
use super::ini::{Fault, File, Section};

/// The default maximum size of a request body at an entry, in bytes.
pub const DEFAULT_MAX_BODY_BYTES: usize = 1024 * 1024;

/// The default election timeout of control processes and gateways.
pub const DEFAULT_ELECTION_TIMEOUT: Duration = Duration::from_secs(1);

/// The election timeouts that the settings may ask for.
const ELECTION_TIMEOUT_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_mins(1);

/// Describes a valid address in faults.
const ADDRESS_FORMAT: &str = "an IP address and port, such as 127.0.0.1:8470";

const BOOLEAN_FORMAT: &str = "true or false";

/// The checked settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the VM, unique in the fleet.
    pub name: String,
    /// The data centre that the VM is in.
    pub data_centre: DataCentre,
    /// The address for other processes of the fleet; in an entry, the one for callers.
    pub listen: SocketAddr,
    /// The IP address at which other processes reach this one, by default that of `listen`.
    /// Another one may forward connections to it.
    pub advertise: IpAddr,
    /// The address for operators: metrics, health checks and the command-line tool.
    pub operators: SocketAddr,
    /// The addresses of the control processes.
    pub control: Vec<SocketAddr>,
    /// How long a stopping process waits for the requests in flight; `None` for no limit.
    pub drain_limit: Option<Duration>,
    /// The memory of the machine, in bytes; `None` if it is not stated.
    pub memory: Option<usize>,
    /// The file descriptors that the process may open; `None` if it is not stated.
    pub descriptors: Option<usize>,
    /// The settings of the process's role.
    pub role_settings: RoleSettings,
    /// The settings of the planner, which only control runs; other roles keep the defaults.
    pub planner: Planner,
}

/// The role of a process and its settings.
#[derive(Clone, Debug, PartialEq)]
pub enum RoleSettings {
    /// Admits and routes requests of callers.
    Entry(Entry),
    /// Forwards the requests of entries to the endpoints of its VM.
    Agent,
    /// Holds a replica of the fleet's durable state and answers heartbeats.
    Control(Control),
    /// Passes requests of clients through to services unchanged.
    Gateway(Box<Gateway>),
    /// Loads and unloads models and adapters on the engine of its VM.
    Steward(Steward),
}

/// The settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The longest request body that is accepted, in bytes.
    pub body_bytes: usize,
}

/// The settings of a control process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Control {
    /// The data folder; `None` keeps the state in memory only.
    pub data: Option<PathBuf>,
    /// All control VMs of the fleet, this one included; empty if it is the only one.
    pub peers: Vec<Seed>,
    /// How long a replica waits for a message of the leader before it starts an election.
    pub election_timeout: Duration,
}

impl Default for Control {
    fn default() -> Self {
        Self {
            data: None,
            peers: Vec::new(),
            election_timeout: DEFAULT_ELECTION_TIMEOUT,
        }
    }
}

impl Settings {
    /// Parses and checks a settings file; faults refer to it as `name`.
    ///
    /// # Errors
    ///
    /// The first fault in the file.
    pub fn parse(name: &str, text: &str) -> Result<Self, Fault> {
        let file = File::parse(name, text)?;
        let process = file.section("process")?;
        let role: Role = process.required("role", "entry, agent, control, gateway or steward")?;
        let control = read_addresses(&process, "control")?;
        if control.is_empty() && matches!(role, Role::Entry | Role::Agent) {
            let problem = "is missing: add the addresses of the control processes".to_owned();
            return Err(process.fault("control", problem));
        }
        let data_centre: String = process.required("data-centre", "the data centre's name")?;
        let role_settings = match role {
            Role::Entry => RoleSettings::Entry(read_entry(file.section("entry")?)?),
            Role::Agent => RoleSettings::Agent,
            Role::Control => RoleSettings::Control(read_control(&file, &process)?),
            Role::Gateway => {
                let listen = process.required("listen", ADDRESS_FORMAT)?;
                RoleSettings::Gateway(Box::new(Gateway::read(file.section("gateway")?, listen)?))
            }
            Role::Steward => RoleSettings::Steward(Steward::read(file.section("steward")?)?),
        };
        let listen = match &role_settings {
            RoleSettings::Entry(entry) => entry.callers,
            _ => process.required("listen", ADDRESS_FORMAT)?,
        };
        let settings = Self {
            name: process.required("name", "the name of the VM")?,
            data_centre: data_centre.as_str().into(),
            listen,
            advertise: process
                .optional("advertise", "an IP address, such as 127.0.0.1")?
                .unwrap_or(listen.ip()),
            operators: process.required("operators", ADDRESS_FORMAT)?,
            control,
            drain_limit: read_drain_limit(&process)?,
            memory: read_limit(&process, "memory-mb", MIN_MEMORY_MB)?
                .map(|megabytes| megabytes.saturating_mul(1024 * 1024)),
            descriptors: read_limit(&process, "descriptors", MIN_DESCRIPTORS)?,
            role_settings,
            planner: read_planner(&file)?,
        };
        process.finish()?;
        check_sections(&file, role)?;
        Ok(settings)
    }
}

impl Settings {
    /// The address at which other processes reach this one.
    #[must_use]
    pub fn advertised(&self) -> SocketAddr {
        SocketAddr::new(self.advertise, self.listen.port())
    }
}

/// The longest drain limit, 30 days. No supervisor waits longer, and times that far ahead stay
/// within the range of the clock.
const MAX_DRAIN_LIMIT: Duration = Duration::from_hours(30 * 24);

/// The least memory of a machine. The process itself needs most of it.
const MIN_MEMORY_MB: usize = 80;

/// The fewest file descriptors of a process. Its listeners, journal and connections to other
/// processes need some tens.
const MIN_DESCRIPTORS: usize = 128;

/// Reads the time after which a stop cuts off what is in flight. It may have a fraction.
fn read_drain_limit(process: &Section<'_>) -> Result<Option<Duration>, Fault> {
    let expected = "a number of seconds";
    let seconds: Option<f64> = process.optional("drain-limit-s", expected)?;
    let Some(seconds) = seconds else {
        return Ok(None);
    };
    let limit = Duration::try_from_secs_f64(seconds).ok();
    let limit = limit.filter(|&limit| limit <= MAX_DRAIN_LIMIT);
    let fault = || {
        let max = MAX_DRAIN_LIMIT.as_secs();
        let problem = format!("is not between 0 and {max}: write {expected}");
        process.fault("drain-limit-s", problem)
    };
    limit.map(Some).ok_or_else(fault)
}

/// Reads a limit of the machine, which is at least `min`.
fn read_limit(
    process: &Section<'_>,
    key: &'static str,
    min: usize,
) -> Result<Option<usize>, Fault> {
    let limit: Option<usize> = process.optional(key, "a whole number")?;
    if limit.is_some_and(|limit| limit < min) {
        let problem = format!("is too low: write at least {min}");
        return Err(process.fault(key, problem));
    }
    Ok(limit)
}

fn read_planner(file: &File<'_>) -> Result<Planner, Fault> {
    let section = file.sections().find(|section| section.name == "planner");
    section.map_or(Ok(Planner::default()), Planner::read)
}

fn read_entry(section: Section<'_>) -> Result<Entry, Fault> {
    let entry = Entry {
        callers: section.required("callers", ADDRESS_FORMAT)?,
        body_bytes: section
            .optional("body-bytes", "a number of bytes")?
            .unwrap_or(DEFAULT_MAX_BODY_BYTES),
    };
    section.finish()?;
    Ok(entry)
}

fn read_control(file: &File<'_>, process: &Section<'_>) -> Result<Control, Fault> {
    if !file.sections().any(|section| section.name == "control") {
        return Ok(Control::default());
    }
    let section = file.section("control")?;
    let data: Option<String> = section.optional("data", "the path of a folder")?;
    let election_timeout = read_election_timeout(&section)?;
    let peers = read_peers(&section)?;
    let name: String = process.required("name", "the name of the VM")?;
    if !peers.is_empty() && peers.iter().all(|seed| seed.name != name) {
        let problem = format!(
            "does not list this VM: add `{name} IP:PORT`, and use the same list on every control VM"
        );
        return Err(section.fault("peers", problem));
    }
    section.finish()?;
    Ok(Control {
        data: data.map(PathBuf::from),
        peers,
        election_timeout,
    })
}

fn read_election_timeout(section: &Section<'_>) -> Result<Duration, Fault> {
    let milliseconds: Option<u64> = section.optional("election-timeout-ms", "milliseconds")?;
    let timeout = milliseconds.map_or(DEFAULT_ELECTION_TIMEOUT, Duration::from_millis);
    if !ELECTION_TIMEOUT_RANGE.contains(&timeout) {
        let problem = "is not valid: write 100 to 60000 milliseconds".to_owned();
        return Err(section.fault("election-timeout-ms", problem));
    }
    Ok(timeout)
}

fn read_peers(section: &Section<'_>) -> Result<Vec<Seed>, Fault> {
    let names = section.names("peers")?;
    let seeds = names.iter().map(|text| {
        let seed = text.split_once(' ').and_then(|(name, address)| {
            Some(Seed {
                name: name.to_owned(),
                address: address.trim().parse().ok()?,
                observer: false,
            })
        });
        seed.ok_or_else(|| {
            let problem = format!("`{text}` is not valid: write NAME IP:PORT, separated by commas");
            section.fault("peers", problem)
        })
    });
    seeds.collect()
}

fn read_addresses(section: &Section<'_>, key: &'static str) -> Result<Vec<SocketAddr>, Fault> {
    section
        .names(key)?
        .iter()
        .map(|name| {
            name.parse().map_err(|_| {
                let problem = format!("`{name}` is not valid: write {ADDRESS_FORMAT}");
                section.fault(key, problem)
            })
        })
        .collect()
}

/// Checks that the file has no sections of other roles.
fn check_sections(file: &File<'_>, role: Role) -> Result<(), Fault> {
    let role_name = role.to_string();
    let unknown = file
        .sections()
        .filter(|section| role != Role::Control || section.name != "planner")
        .find(|section| section.name != "process" && section.name != role_name);
    match unknown {
        Some(section) => {
            Err(section.unknown_section(&format!("[process] and [{role_name}] for this role")))
        }
        None => Ok(()),
    }
}
