//! Reloads the settings file on SIGHUP and when its content changes.

use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::time::Duration;

use nutmegyoke_host::process::{Event, signal};
use nutmegyoke_wire::process::Settings;

/// The interval at which the file is checked for changes, in case no SIGHUP is sent.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// The settings file of a running process.
#[derive(Debug)]
pub struct Watcher {
    path: PathBuf,
    /// The text of the settings that were loaded last.
    loaded_text: RefCell<String>,
}

impl Watcher {
    /// Creates a watcher of the file at `path`, which was loaded with `text`.
    pub fn open(path: &Path, text: String) -> Self {
        Self {
            path: path.to_owned(),
            loaded_text: RefCell::new(text),
        }
    }

    /// Calls `on_reload` with the settings after every SIGHUP and every change of the file.
    /// Invalid settings are not passed on; they are logged at every poll until they are valid
    /// again.
    pub async fn run(&self, on_reload: impl Fn(&Settings)) {
        let poll = async {
            loop {
                compio::time::sleep(POLL_INTERVAL).await;
                let text = std::fs::read_to_string(&self.path);
                if text.is_ok_and(|text| text != *self.loaded_text.borrow()) {
                    self.reload(&on_reload);
                }
            }
        };
        let reload_signals = async {
            if let Err(error) = signal::on_hangup(|| self.reload(&on_reload)).await {
                let message = format!(
                    "cannot install the SIGHUP handler: {error}; settings are reloaded only when the file changes"
                );
                Event::Reloaded { why: &message }.log();
            }
        };
        futures_util::join!(poll, reload_signals);
    }

    fn reload(&self, on_reload: &impl Fn(&Settings)) {
        let read = std::fs::read_to_string(&self.path).map_err(|error| error.to_string());
        let parsed = read.and_then(|text| {
            let name = self.path.display().to_string();
            let settings = Settings::parse(&name, &text).map_err(|fault| fault.to_string())?;
            *self.loaded_text.borrow_mut() = text;
            Ok(settings)
        });
        match parsed {
            Ok(settings) => {
                Event::Reloaded { why: "" }.log();
                on_reload(&settings);
            }
            Err(message) => Event::Reloaded { why: &message }.log(),
        }
    }
}
