//! Reads the settings again when they change.

use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::time::Duration;

use nutmegyoke_host::process::{Event, signal};
use nutmegyoke_wire::process::Settings;

/// How often it is looked whether the file has changed without a signal.
const LOOK_PERIOD: Duration = Duration::from_secs(5);

/// The settings file of a running process.
#[derive(Debug)]
pub struct Watch {
    path: PathBuf,
    text: RefCell<String>,
}

impl Watch {
    /// Opens the watch over the file that held `text`.
    pub fn open(path: &Path, text: String) -> Self {
        Self {
            path: path.to_owned(),
            text: RefCell::new(text),
        }
    }

    /// Calls `take` with the settings after every SIGHUP and every change.
    pub async fn run(&self, take: impl Fn(&Settings)) {
        let look = async {
            loop {
                compio::time::sleep(LOOK_PERIOD).await;
                let text = std::fs::read_to_string(&self.path);
                if text.is_ok_and(|text| text != *self.text.borrow()) {
                    self.reload(&take);
                }
            }
        };
        let hangups = async {
            if let Err(error) = signal::on_hangup(|| self.reload(&take)).await {
                let why = format!("cannot wait for signals: {error}");
                Event::Reloaded { why: &why }.log();
            }
        };
        futures_util::join!(look, hangups);
    }

    fn reload(&self, take: &impl Fn(&Settings)) {
        let read = std::fs::read_to_string(&self.path).map_err(|error| error.to_string());
        let parsed = read.and_then(|text| {
            let name = self.path.display().to_string();
            let settings = Settings::parse(&name, &text).map_err(|fault| fault.to_string())?;
            *self.text.borrow_mut() = text;
            Ok(settings)
        });
        match parsed {
            Ok(settings) => {
                Event::Reloaded { why: "" }.log();
                take(&settings);
            }
            Err(why) => Event::Reloaded { why: &why }.log(),
        }
    }
}
