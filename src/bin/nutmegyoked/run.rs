//! Runs one role until the process is asked to stop.

use std::io;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error, From};
use futures_util::future::{Either, select};
use futures_util::pin_mut;
use nutmegyoke_core::process::clock::System;
use nutmegyoke_host::process::{self, Agent, Control, Entry, signal};
use nutmegyoke_wire::process::settings::Own;
use nutmegyoke_wire::process::{Settings, ini};
use prometheus::Registry;

use super::{EXIT_START, EXIT_USAGE};

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
}

impl Failure {
    /// The exit code that scripts see.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Read { .. } | Self::Settings(_) => EXIT_USAGE,
            Self::Start(_) | Self::Signal(_) => EXIT_START,
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
    let registry = Registry::new();
    match &settings.own {
        Own::Entry(own) => {
            let entry = Entry::spawn(&settings, own, System, &registry).await?;
            signal::stop().await?;
            entry.drain().await;
        }
        Own::Agent => {
            let agent = Agent::spawn(&settings, System, &registry).await?;
            signal::stop().await?;
            agent.drain().await;
        }
        Own::Control(own) => {
            let control = Control::spawn(&settings, own, System, &registry).await?;
            run_control(&control).await?;
        }
    }
    Ok(())
}

/// Runs until the process is asked to stop or its disk fails.
async fn run_control(control: &Control<System>) -> Result<(), Failure> {
    let (stop, failed) = (signal::stop(), control.failed());
    pin_mut!(stop, failed);
    match select(stop, failed).await {
        Either::Left((stopped, _)) => {
            stopped?;
            control.drain().await;
            Ok(())
        }
        Either::Right((source, _)) => Err(Failure::Start(process::Failure::Journal { source })),
    }
}
