//! The storage of a journal: a file on a disk, none at all ([`Discard`]), or a fake in tests.

use std::io;

/// A file owned by a journal. Synced data survives a crash of the process and the VM.
pub trait Medium {
    /// Reads the whole file; empty if there is no file.
    fn read(&mut self) -> impl Future<Output = io::Result<Vec<u8>>>;

    /// Writes `bytes` at `offset`, the end of the file, and syncs them.
    fn append(&mut self, offset: u64, bytes: Vec<u8>) -> impl Future<Output = io::Result<()>>;

    /// Atomically replaces the whole file with `bytes`, synced.
    fn replace(&mut self, bytes: Vec<u8>) -> impl Future<Output = io::Result<()>>;

    /// Truncates the file to `length` bytes and syncs it.
    fn truncate(&mut self, length: u64) -> impl Future<Output = io::Result<()>>;
}

/// Discards all writes, for a replica without a data folder: its state is lost when the
/// process ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Discard;

impl Medium for Discard {
    async fn read(&mut self) -> io::Result<Vec<u8>> {
        Ok(Vec::new())
    }

    async fn append(&mut self, _: u64, _: Vec<u8>) -> io::Result<()> {
        Ok(())
    }

    async fn replace(&mut self, _: Vec<u8>) -> io::Result<()> {
        Ok(())
    }

    async fn truncate(&mut self, _: u64) -> io::Result<()> {
        Ok(())
    }
}
