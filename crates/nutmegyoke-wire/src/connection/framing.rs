//! The boundaries of messages in a stream between processes, as Cap'n Proto frames them.

use derive_more::{Display, Error};

/// The most segments of a message; capnp itself accepts no more.
const MAX_SEGMENTS: usize = 512;

/// Follows the frames of a stream.
#[derive(Clone, Debug)]
pub struct Framing {
    max_bytes: usize,
    /// The part of a segment table that was received.
    table: Vec<u8>,
    progress: Progress,
}

/// How much of the message in progress is missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The length of the message whose table was received last, in bytes.
    pub message: usize,
    /// The bytes of it that are missing.
    pub left: usize,
    /// The bytes of the next table that were received.
    pub table: usize,
}

/// A message is longer than allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("a message is too long")]
pub struct TooLong;

impl Progress {
    /// Whether no part of a message is missing.
    #[must_use]
    pub fn is_between_messages(&self) -> bool {
        self.left == 0 && self.table == 0
    }
}

impl Framing {
    /// Opens the framing of a stream whose messages have `max_bytes` at most.
    #[must_use]
    pub fn open(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            table: Vec::new(),
            progress: Progress::default(),
        }
    }

    /// Follows the bytes that were received.
    ///
    /// # Errors
    ///
    /// A message is longer than allowed.
    pub fn feed(&mut self, mut bytes: &[u8]) -> Result<Progress, TooLong> {
        while !bytes.is_empty() {
            let progress = &mut self.progress;
            if progress.left > 0 {
                let part = progress.left.min(bytes.len());
                progress.left -= part;
                bytes = &bytes[part..];
                continue;
            }
            let needed = self.table_length()?;
            let part = (needed - self.table.len()).min(bytes.len());
            self.table.extend_from_slice(&bytes[..part]);
            bytes = &bytes[part..];
            if self.table.len() == self.table_length()? {
                let length = self.message_length();
                if length > self.max_bytes {
                    return Err(TooLong);
                }
                self.table.clear();
                self.progress.message = length;
                self.progress.left = length;
            }
        }
        self.progress.table = self.table.len();
        Ok(self.progress)
    }

    /// The length of the segment table, as far as it is known.
    fn table_length(&self) -> Result<usize, TooLong> {
        let Some(count) = self.number(0) else {
            return Ok(4);
        };
        if count >= MAX_SEGMENTS {
            return Err(TooLong);
        }
        // The count, and a length for each of `count` + 1 segments, in whole words.
        Ok((4 + 4 * (count + 1)).next_multiple_of(8))
    }

    /// The length of the message whose table is complete, in bytes.
    fn message_length(&self) -> usize {
        let count = self.number(0).unwrap_or(0);
        let lengths = (1..=count + 1).filter_map(|index| self.number(index));
        lengths.sum::<usize>().saturating_mul(8)
    }

    /// The number at this place of the table, if it was received.
    fn number(&self, index: usize) -> Option<usize> {
        let bytes = self.table.get(4 * index..4 * index + 4)?;
        let number = u32::from_le_bytes(bytes.try_into().ok()?);
        usize::try_from(number).ok()
    }
}
