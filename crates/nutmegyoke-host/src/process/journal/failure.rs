//! The failures of opening and writing a journal.

use std::io;
use std::path::PathBuf;

use derive_more::{Display, Error};

/// A failure of the journal. The message says what to do about it.
#[derive(Debug, Display, Error)]
pub enum Failure {
    /// The data folder can't be used.
    #[display("data folder {}: {source}; set `data` in [control] or [gateway] to a folder that this process may write", path.display())]
    Folder { path: PathBuf, source: io::Error },
    /// Another process has locked the data folder.
    #[display("data folder {} is in use by another process: stop that one, or set `data` in [control] or [gateway] to another folder", path.display())]
    Locked { path: PathBuf },
    /// The journal can't be read.
    #[display("cannot read the journal: {source}; check the disk of the data folder")]
    Read { source: io::Error },
    /// The journal can't be written.
    #[display("cannot write the journal: {source}; check the disk of the data folder")]
    Write { source: io::Error },
    /// A frame other than the last is damaged.
    #[display(
        "the journal is damaged at byte {offset}, and records follow: the disk lost data that was \
         acknowledged. Move the data folder away and start again with an empty one; the replica \
         then joins anew, see docs/OPERATIONS.md"
    )]
    Damaged { offset: u64 },
    /// A frame is intact, but this version can't decode its record.
    #[display(
        "the journal's record at byte {offset} cannot be read by this version: {source}; start the \
         version that wrote it"
    )]
    Record { offset: u64, source: capnp::Error },
}

impl Failure {
    /// Whether a write failed because the disk is full, so that it may succeed later.
    #[must_use]
    pub fn is_full(&self) -> bool {
        let Self::Write { source } = self else {
            return false;
        };
        matches!(
            source.kind(),
            io::ErrorKind::StorageFull
                | io::ErrorKind::QuotaExceeded
                | io::ErrorKind::FileTooLarge
                | io::ErrorKind::WriteZero
        )
    }
}
