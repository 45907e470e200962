//! The journal of a replica, which restores its state after a restart.
//!
//! The journal is one file of frames ([`frame`]): a record with its length and
//! checksums. Each batch is appended as one frame and synced before it is
//! reported to the state machine as synced. A batch with a snapshot replaces the
//! whole file, so that the file never grows far beyond the state. [`folder`]
//! stores the file on a disk; tests use a fake.

pub mod failure;
pub mod folder;
pub mod frame;
pub mod medium;

pub use failure::Failure;
pub use folder::Folder;
pub use medium::Medium;

use nutmegyoke_core::process::control::Store;
use nutmegyoke_core::process::control::replica::{Batch, Id, Recovered, Vote};
use nutmegyoke_wire::process::record;

/// An open journal.
#[derive(Debug)]
pub struct Journal<M> {
    medium: M,
    id: Id,
    /// The length of the synced frames, in bytes.
    length: u64,
    /// Whether the file may hold bytes of a failed write after that length.
    dirty: bool,
    /// Whether there is a file. If there is none, the disk was full when the journal was opened.
    created: bool,
}

impl<M: Medium> Journal<M> {
    /// Opens the journal, or creates it with the id `new_id`.
    ///
    /// A torn last frame is truncated: its batch was never reported as synced. If the disk is full,
    /// that waits for the first batch, as the creation does.
    ///
    /// # Errors
    ///
    /// The medium fails, a frame before the last is damaged, or a record can't be decoded.
    pub async fn open(mut medium: M, new_id: Id) -> Result<(Self, Recovered<Store>), Failure> {
        let bytes = medium
            .read()
            .await
            .map_err(|source| Failure::Read { source })?;
        let mut recovered = Recovered::default();
        let mut id = None;
        let mut frames = frame::Frames::open(&bytes);
        while let Some(payload) = frames.read()? {
            let offset = frames.offset();
            let record = record::decode(payload);
            let record = record.map_err(|source| Failure::Record { offset, source })?;
            id = Some(record.id);
            recovered.vote = record.vote;
            if let Some(snapshot) = record.snapshot {
                recovered.snapshot = Some(snapshot);
                recovered.entries.clear();
            }
            recovered.entries.extend(record.entries);
        }
        let length = frames.offset();
        let mut journal = Self {
            medium,
            id: id.unwrap_or(new_id),
            length,
            dirty: length < bytes.len() as u64,
            created: id.is_some(),
        };
        let prepared = if journal.created {
            let truncated = journal.truncate_unsynced().await;
            truncated.map_err(|source| Failure::Write { source })
        } else {
            journal.create().await
        };
        match prepared {
            Err(failure) if !failure.is_full() => Err(failure),
            _ => Ok((journal, recovered)),
        }
    }

    /// The id of the replica that owns the journal.
    #[must_use]
    pub fn id(&self) -> Id {
        self.id
    }

    /// The length of the journal, in bytes.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Writes a batch and syncs it. After a failure no part of the batch is
    /// recovered, and the same batch can be retried.
    ///
    /// # Errors
    ///
    /// The disk is full, see [`Failure::is_full`], or has failed.
    pub async fn append(&mut self, batch: &Batch<Store>) -> Result<(), Failure> {
        let frame = frame::encode(&record::encode(self.id, batch));
        let length = frame.len() as u64;
        if batch.snapshot.is_some() || !self.created {
            return self.replace(frame).await;
        }
        self.truncate_unsynced()
            .await
            .map_err(|source| Failure::Write { source })?;
        self.dirty = true;
        let written = self.medium.append(self.length, frame).await;
        written.map_err(|source| Failure::Write { source })?;
        self.length += length;
        self.dirty = false;
        Ok(())
    }

    /// Creates the file with the id of a new replica.
    async fn create(&mut self) -> Result<(), Failure> {
        let batch = Batch {
            ticket: 0,
            vote: Vote::default(),
            snapshot: None,
            entries: Vec::new(),
        };
        self.replace(frame::encode(&record::encode(self.id, &batch)))
            .await
    }

    /// Replaces the whole file by one frame.
    async fn replace(&mut self, frame: Vec<u8>) -> Result<(), Failure> {
        let length = frame.len() as u64;
        let replaced = self.medium.replace(frame).await;
        replaced.map_err(|source| Failure::Write { source })?;
        self.length = length;
        self.dirty = false;
        self.created = true;
        Ok(())
    }

    /// Truncates what a failed write left after the last synced frame.
    async fn truncate_unsynced(&mut self) -> std::io::Result<()> {
        if self.dirty {
            self.medium.truncate(self.length).await?;
            self.dirty = false;
        }
        Ok(())
    }
}
