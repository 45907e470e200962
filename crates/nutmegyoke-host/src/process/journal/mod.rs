//! The journal of a control replica.
//!
//! One file holds frames ([`frame`]): a record, its length and checksums. Each
//! batch is appended as one frame and synced before it is reported. A batch
//! with a snapshot replaces the file by a new one, so that it never grows far
//! beyond the state. [`folder`] is the file on a disk; tests use a fake.

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
    /// The length of what is synced, in bytes.
    length: u64,
    /// Whether something may stand behind that length.
    dirty: bool,
}

impl<M: Medium> Journal<M> {
    /// Opens the journal, or creates it for the new replica `fresh`.
    ///
    /// A torn last frame is cut: its batch was never reported as synced.
    ///
    /// # Errors
    ///
    /// The medium fails, or a frame before the last is damaged.
    pub async fn open(mut medium: M, fresh: Id) -> Result<(Self, Recovered<Store>), Failure> {
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
            id: id.unwrap_or(fresh),
            length,
            dirty: length < bytes.len() as u64,
        };
        journal
            .clean()
            .await
            .map_err(|source| Failure::Write { source })?;
        if id.is_none() {
            journal.create().await?;
        }
        Ok((journal, recovered))
    }

    /// The replica whose journal it is.
    #[must_use]
    pub fn id(&self) -> Id {
        self.id
    }

    /// The length of the journal, in bytes.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Writes a batch and syncs it. After a failure nothing of it counts, and
    /// the same batch may be tried again.
    ///
    /// # Errors
    ///
    /// The disk is full, see [`Failure::is_full`], or fails.
    pub async fn append(&mut self, batch: &Batch<Store>) -> Result<(), Failure> {
        let frame = frame::encode(&record::encode(self.id, batch));
        let length = frame.len() as u64;
        if batch.snapshot.is_some() {
            let replaced = self.medium.replace(frame).await;
            replaced.map_err(|source| Failure::Write { source })?;
            self.length = length;
            self.dirty = false;
            return Ok(());
        }
        self.clean()
            .await
            .map_err(|source| Failure::Write { source })?;
        self.dirty = true;
        let written = self.medium.append(self.length, frame).await;
        written.map_err(|source| Failure::Write { source })?;
        self.length += length;
        self.dirty = false;
        Ok(())
    }

    /// Records the id of a new replica.
    async fn create(&mut self) -> Result<(), Failure> {
        let batch = Batch {
            ticket: 0,
            vote: Vote::default(),
            snapshot: None,
            entries: Vec::new(),
        };
        let frame = frame::encode(&record::encode(self.id, &batch));
        self.length = frame.len() as u64;
        let created = self.medium.replace(frame).await;
        created.map_err(|source| Failure::Write { source })
    }

    /// Cuts what a failed write left behind the last synced frame.
    async fn clean(&mut self) -> std::io::Result<()> {
        if self.dirty {
            self.medium.truncate(self.length).await?;
            self.dirty = false;
        }
        Ok(())
    }
}
