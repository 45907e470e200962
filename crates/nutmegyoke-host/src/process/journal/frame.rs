//! How records stand in the journal.
//!
//! A frame is the payload's length (4 bytes, little endian), a checksum of
//! these 4 bytes, a checksum of the payload, and the payload. The length has a
//! checksum of its own, so that a damaged length is not taken for a torn end.

use super::Failure;

/// The length of a frame's head, in bytes.
pub const HEADER_BYTES: usize = 12;

/// Puts a payload into a frame.
#[must_use]
pub fn encode(payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len())
        .unwrap_or(u32::MAX)
        .to_le_bytes();
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&length);
    frame.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// Reads frame after frame.
#[derive(Debug)]
pub struct Frames<'a> {
    bytes: &'a [u8],
    offset: usize,
}

/// What stands at a place of the journal.
enum Found<'a> {
    Payload(&'a [u8]),
    /// Less than a frame, or one whose checksum is wrong.
    Broken,
}

impl<'a> Frames<'a> {
    /// Opens a reader at the start of `bytes`.
    #[must_use]
    pub fn open(bytes: &'a [u8]) -> Self {
        Self { bytes, offset: 0 }
    }

    /// Where the next frame begins.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.offset as u64
    }

    /// The next payload; `None` at the end or before a torn end.
    ///
    /// # Errors
    ///
    /// A frame is damaged and a whole one follows it.
    pub fn read(&mut self) -> Result<Option<&'a [u8]>, Failure> {
        if let Found::Payload(payload) = look(self.bytes, self.offset) {
            self.offset += HEADER_BYTES + payload.len();
            return Ok(Some(payload));
        }
        let follows = (self.offset + 1..self.bytes.len())
            .any(|offset| matches!(look(self.bytes, offset), Found::Payload(_)));
        if follows {
            let offset = self.offset();
            return Err(Failure::Damaged { offset });
        }
        Ok(None)
    }
}

fn look(bytes: &[u8], offset: usize) -> Found<'_> {
    let rest = &bytes[offset..];
    let Some((head, rest)) = rest.split_at_checked(HEADER_BYTES) else {
        return Found::Broken;
    };
    let number =
        |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    if crc32fast::hash(&head[..4]) != number(4) {
        return Found::Broken;
    }
    let length = usize::try_from(number(0)).unwrap_or(usize::MAX);
    match rest.get(..length) {
        Some(payload) if crc32fast::hash(payload) == number(8) => Found::Payload(payload),
        _ => Found::Broken,
    }
}
