//! Runs one role until the process is asked to stop.

use std::io;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error, From};
use futures_util::future::{Either, select};
use futures_util::pin_mut;
use nutmegyoke_core::process::clock::System;
use nutmegyoke_host::process::shutdown::{self, Stop};
use nutmegyoke_host::process::{self, Agent, Control, Entry, Gateway, Steward};
use nutmegyoke_platform::{Engine, Platform};
use nutmegyoke_wire::process::settings::Own;
use nutmegyoke_wire::process::{Settings, ini};
use prometheus::Registry;

use super::watch::Watch;
use super::{EXIT_CUT_OFF, EXIT_START, EXIT_USAGE};

/// Why the daemon ends with an error.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// The settings file can't be read.
    #[display("{}: {source}; name a readable settings file", path.display())]
    #[from(ignore)]
    Read { path: PathBuf, source: io::Error },
    /// The settings are wrong.
    #[display("{_0}")]
    Settings(ini::Fault),
    /// The process can't start.
    #[display("{_0}")]
    Start(process::Failure),
    /// The signal handlers can't be installed.
    #[display("cannot wait for signals: {_0}")]
    Signal(io::Error),
    /// The process stopped before it was idle.
    #[display("stopped before it was idle: {cut_off} requests cut off")]
    #[from(ignore)]
    CutOff { cut_off: usize },
}

impl Failure {
    /// The exit code that scripts see.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Read { .. } | Self::Settings(_) => EXIT_USAGE,
            Self::Start(_) | Self::Signal(_) => EXIT_START,
            Self::CutOff { .. } => EXIT_CUT_OFF,
        }
    }
}

/// Runs the role that the settings file names.
///
/// # Errors
///
/// The settings are wrong or the process can't start.
pub async fn run(path: &Path) -> Result<(), Failure> {
    let text = std::fs::read_to_string(path).map_err(|source| Failure::Read {
        path: path.to_owned(),
        source,
    })?;
    let settings = Settings::parse(&path.display().to_string(), &text)?;
    process::log::open(&settings.name);
    let watch = Watch::open(path, text);
    let registry = Registry::new();
    let limit = settings.drain_limit;
    match &settings.own {
        Own::Entry(own) => {
            let entry = Entry::spawn(&settings, own, System, &registry).await?;
            let running =
                async { finish(shutdown::run(limit, || entry.in_flight(), entry.drain()).await?) };
            beside(running, watch.run(|_| {})).await
        }
        Own::Agent => {
            let agent = Agent::spawn(&settings, System, &registry).await?;
            let running =
                async { finish(shutdown::run(limit, || agent.in_flight(), agent.leave()).await?) };
            beside(running, watch.run(|_| {})).await
        }
        Own::Gateway(own) => {
            let spawned = Gateway::<_, Platform>::spawn(&settings, own, System, &registry);
            let gateway = spawned.await?;
            let running = async {
                let stopping = shutdown::run(limit, || gateway.in_flight(), gateway.drain());
                stop_or_fail(stopping, gateway.control()).await
            };
            beside(running, watch.run(|settings| gateway.reload(settings))).await
        }
        Own::Steward(own) => {
            let engine = Engine::open(own.engine, &settings.name);
            let engine = engine.map_err(|source| process::Failure::Client { source })?;
            let steward = Steward::spawn(&settings, engine, System, &registry).await?;
            let running = async {
                let stopping = shutdown::run(limit, || steward.in_flight(), steward.drain());
                finish(stopping.await?)
            };
            beside(running, watch.run(|_| {})).await
        }
        Own::Control(own) => {
            let control = Control::spawn(&settings, own, System, &registry).await?;
            let running = async {
                let stopping = shutdown::run(limit, || control.in_flight(), control.drain());
                stop_or_fail(stopping, &control).await
            };
            beside(running, watch.run(|_| {})).await
        }
    }
}

/// Runs `main` to its end, with `other` beside it as long as it takes.
async fn beside<T>(main: impl Future<Output = T>, other: impl Future<Output = ()>) -> T {
    pin_mut!(main, other);
    match select(main, other).await {
        Either::Left((done, _)) => done,
        Either::Right(((), main)) => main.await,
    }
}

/// Stops gracefully, or at once if the journal fails.
async fn stop_or_fail(
    stopping: impl Future<Output = io::Result<Stop>>,
    control: &Control<System>,
) -> Result<(), Failure> {
    let failed = control.journal_failed();
    pin_mut!(stopping, failed);
    match select(stopping, failed).await {
        Either::Left((stopped, _)) => finish(stopped?),
        Either::Right((source, _)) => Err(process::Failure::Journal { source }.into()),
    }
}

/// Turns the way a process stopped into its result.
pub fn finish(stop: Stop) -> Result<(), Failure> {
    match stop {
        Stop::Graceful => Ok(()),
        Stop::CutOff { cut_off } => Err(Failure::CutOff { cut_off }),
    }
}
