//! Runs the role given in the settings file until the process receives a signal to stop.
//!
//! Each role is a type of `nutmegyoke_host::process`, which holds its state. A change of the
//! settings file is checked and logged in every role, but only the gateway applies it.

use std::io;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error, From};
use futures_util::future::{Either, select};
use futures_util::pin_mut;
use nutmegyoke_host::process::clock::{Kernel, System};
use nutmegyoke_host::process::shutdown::{self, Stop};
use nutmegyoke_host::process::{self, Agent, Control, Entry, Gateway, Steward};
use nutmegyoke_platform::{Engine, Platform};
use nutmegyoke_wire::process::settings::RoleSettings;
use nutmegyoke_wire::process::{Settings, ini};
use prometheus::Registry;

use super::watch::Watcher;
use super::{EXIT_CUT_OFF, EXIT_FAILED, EXIT_USAGE};

/// An error that ends the daemon.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// The settings file cannot be read.
    #[display("cannot read {}: {source}; name a readable settings file", path.display())]
    #[from(ignore)]
    Read { path: PathBuf, source: io::Error },
    /// The settings are invalid.
    #[display("{_0}")]
    Settings(ini::Fault),
    /// The process cannot start, or its journal failed.
    #[display("{_0}")]
    Process(process::Failure),
    /// The signal handlers cannot be installed.
    #[display("cannot install the signal handlers: {_0}")]
    Signal(io::Error),
    /// The process stopped with requests in flight: the drain limit passed or a second signal
    /// arrived.
    #[display(
        "stopped before it was idle: {cut_off} requests in flight were cut off; to let them finish, \
         send no second signal, or raise `drain-limit-s`"
    )]
    #[from(ignore)]
    CutOff { cut_off: usize },
}

impl Failure {
    /// The exit code of the process, which scripts rely on.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Read { .. } | Self::Settings(_) => EXIT_USAGE,
            Self::Process(_) | Self::Signal(_) => EXIT_FAILED,
            Self::CutOff { .. } => EXIT_CUT_OFF,
        }
    }
}

/// Runs the role given in the settings file at `path`.
///
/// # Errors
///
/// The settings are invalid, the process cannot start, its journal failed, or requests
/// were cut off at the stop.
pub async fn run(path: &Path) -> Result<(), Failure> {
    let text = std::fs::read_to_string(path).map_err(|source| Failure::Read {
        path: path.to_owned(),
        source,
    })?;
    let settings = Settings::parse(&path.display().to_string(), &text)?;
    process::log::open(&settings.name);
    let watcher = Watcher::open(path, text);
    let registry = Registry::new();
    let drain_limit = settings.drain_limit;
    match &settings.role_settings {
        RoleSettings::Entry(role_settings) => {
            let entry =
                Entry::spawn(&settings, role_settings, System::open(Kernel), &registry).await?;
            let running = async {
                stop_result(shutdown::run(drain_limit, || entry.in_flight(), entry.drain()).await?)
            };
            run_alongside(running, watcher.run(|_| {})).await
        }
        RoleSettings::Agent => {
            let agent = Agent::spawn(&settings, System::open(Kernel), &registry).await?;
            let running = async {
                stop_result(shutdown::run(drain_limit, || agent.in_flight(), agent.leave()).await?)
            };
            run_alongside(running, watcher.run(|_| {})).await
        }
        RoleSettings::Gateway(role_settings) => {
            let spawned = Gateway::<_, Platform>::spawn(
                &settings,
                role_settings,
                System::open(Kernel),
                &registry,
            );
            let gateway = spawned.await?;
            let running = async {
                let draining = gateway.drain(drain_limit);
                let stopping = shutdown::run(drain_limit, || gateway.in_flight(), draining);
                stop_or_journal_failure(stopping, gateway.control()).await
            };
            run_alongside(running, watcher.run(|settings| gateway.reload(settings))).await
        }
        RoleSettings::Steward(role_settings) => {
            let engine = Engine::open(role_settings.engine, &settings.name);
            let engine = engine.map_err(|source| process::Failure::Client { source })?;
            let steward = Steward::spawn(
                &settings,
                role_settings,
                engine,
                System::open(Kernel),
                &registry,
            )
            .await?;
            let running = async {
                let stopping = shutdown::run(drain_limit, || steward.in_flight(), steward.drain());
                stop_result(stopping.await?)
            };
            run_alongside(running, watcher.run(|_| {})).await
        }
        RoleSettings::Control(role_settings) => {
            let control =
                Control::spawn(&settings, role_settings, System::open(Kernel), &registry).await?;
            let running = async {
                let stopping = shutdown::run(drain_limit, || control.in_flight(), control.drain());
                stop_or_journal_failure(stopping, &control).await
            };
            run_alongside(running, watcher.run(|_| {})).await
        }
    }
}

/// Runs `main` to completion, and `other` concurrently until then.
async fn run_alongside<T>(main: impl Future<Output = T>, other: impl Future<Output = ()>) -> T {
    pin_mut!(main, other);
    match select(main, other).await {
        Either::Left((done, _)) => done,
        Either::Right(((), main)) => main.await,
    }
}

/// Waits for the stop of the process, or returns an error as soon as the journal fails.
async fn stop_or_journal_failure(
    stopping: impl Future<Output = io::Result<Stop>>,
    control: &Control<System>,
) -> Result<(), Failure> {
    let failed = control.journal_failed();
    pin_mut!(stopping, failed);
    match select(stopping, failed).await {
        Either::Left((stopped, _)) => stop_result(stopped?),
        Either::Right((source, _)) => Err(process::Failure::Journal { source }.into()),
    }
}

/// Returns an error if the stop cut off requests.
pub fn stop_result(stop: Stop) -> Result<(), Failure> {
    match stop {
        Stop::Graceful => Ok(()),
        Stop::CutOff { cut_off } => Err(Failure::CutOff { cut_off }),
    }
}
