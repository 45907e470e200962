//! The data folder of a replica: the journal and a lock file.

use std::fs::TryLockError;
use std::io;
use std::path::{Path, PathBuf};

use compio::buf::BufResult;
use compio::fs::{File, OpenOptions};
use compio::io::AsyncWriteAtExt;

use super::{Failure, Medium};

const JOURNAL_FILE: &str = "journal";
const NEW_JOURNAL_FILE: &str = "journal.new";
const LOCK_FILE: &str = "lock";

/// A locked data folder. File operations run on compio's blocking pool.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    file: Option<File>,
    /// Holds the lock on the folder; dropping it releases the lock.
    _lock: std::fs::File,
}

impl Folder {
    /// Opens and locks the folder, creating it if necessary.
    ///
    /// # Errors
    ///
    /// The folder can't be used, or another process has locked it.
    pub fn open(path: &Path) -> Result<Self, Failure> {
        let failure = |source| Failure::Folder {
            path: path.to_owned(),
            source,
        };
        std::fs::create_dir_all(path).map_err(failure)?;
        // A full disk may refuse to truncate it.
        let mut options = std::fs::OpenOptions::new();
        options.write(true).create(true).truncate(false);
        let lock = options.open(path.join(LOCK_FILE)).map_err(failure)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(Failure::Locked {
                    path: path.to_owned(),
                });
            }
            Err(TryLockError::Error(source)) => return Err(failure(source)),
        }
        Ok(Self {
            path: path.to_owned(),
            file: None,
            _lock: lock,
        })
    }

    /// Returns the journal file, opened on first use.
    async fn file(&mut self) -> io::Result<&mut File> {
        if self.file.is_none() {
            let path = self.path.join(JOURNAL_FILE);
            self.file = Some(OpenOptions::new().write(true).open(path).await?);
        }
        self.file
            .as_mut()
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Syncs the folder itself, so that a rename in it survives a crash.
    async fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.path).await?.sync_all().await
    }
}

impl Medium for Folder {
    async fn read(&mut self) -> io::Result<Vec<u8>> {
        match compio::fs::read(self.path.join(JOURNAL_FILE)).await {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
            other => other,
        }
    }

    async fn append(&mut self, offset: u64, bytes: Vec<u8>) -> io::Result<()> {
        let file = self.file().await?;
        let BufResult(written, _) = file.write_all_at(bytes, offset).await;
        written?;
        file.sync_data().await
    }

    async fn replace(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        let path = self.path.join(NEW_JOURNAL_FILE);
        let mut file = File::create(&path).await?;
        let BufResult(written, _) = file.write_all_at(bytes, 0).await;
        written?;
        file.sync_all().await?;
        compio::fs::rename(&path, self.path.join(JOURNAL_FILE)).await?;
        self.sync_folder().await?;
        self.file = Some(file);
        Ok(())
    }

    async fn truncate(&mut self, length: u64) -> io::Result<()> {
        let file = self.file().await?;
        file.set_len(length).await?;
        file.sync_all().await
    }
}
