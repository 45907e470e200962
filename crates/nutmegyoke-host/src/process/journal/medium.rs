//! Where a journal is written: one file on a disk, or a fake in tests.

use std::io;

/// A file that a journal owns. What is synced survives the process and the VM.
pub trait Medium {
    /// Reads the whole file; empty if there is none.
    fn read(&mut self) -> impl Future<Output = io::Result<Vec<u8>>>;

    /// Writes `bytes` at `offset`, the end, and syncs them.
    fn append(&mut self, offset: u64, bytes: Vec<u8>) -> impl Future<Output = io::Result<()>>;

    /// Replaces the whole file in one step, synced.
    fn replace(&mut self, bytes: Vec<u8>) -> impl Future<Output = io::Result<()>>;

    /// Cuts the file to `length` and syncs that.
    fn truncate(&mut self, length: u64) -> impl Future<Output = io::Result<()>>;
}

/// Keeps nothing: for a demo, whose state ends with its process.
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
