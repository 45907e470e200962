//! The framing of records in the journal.
//!
//! A frame is the payload's length (4 bytes, little endian), a CRC-32 of these
//! 4 bytes, a CRC-32 of the payload, and the payload. The length has its own
//! checksum, so that a damaged length isn't mistaken for a torn last frame.

use super::Failure;

/// The size of a frame's header, in bytes.
pub const HEADER_BYTES: usize = 12;

/// Encodes a payload as a frame.
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

/// Reads the frames of a journal in order.
#[derive(Debug)]
pub struct Frames<'a> {
    bytes: &'a [u8],
    offset: usize,
}

/// The result of parsing a frame.
enum Parsed<'a> {
    Payload(&'a [u8]),
    /// The frame is incomplete, or a checksum doesn't match.
    Invalid,
}

impl<'a> Frames<'a> {
    /// Opens a reader at the start of `bytes`.
    #[must_use]
    pub fn open(bytes: &'a [u8]) -> Self {
        Self { bytes, offset: 0 }
    }

    /// The offset of the next frame, in bytes.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.offset as u64
    }

    /// Reads the next payload; `None` at the end or at a torn last frame.
    ///
    /// # Errors
    ///
    /// A frame is damaged and a valid one follows it.
    pub fn read(&mut self) -> Result<Option<&'a [u8]>, Failure> {
        if let Parsed::Payload(payload) = parse_frame(self.bytes, self.offset) {
            self.offset += HEADER_BYTES + payload.len();
            return Ok(Some(payload));
        }
        let valid_frame_follows = (self.offset + 1..self.bytes.len())
            .any(|offset| matches!(parse_frame(self.bytes, offset), Parsed::Payload(_)));
        if valid_frame_follows {
            let offset = self.offset();
            return Err(Failure::Damaged { offset });
        }
        Ok(None)
    }
}

/// Parses the frame at `offset`.
fn parse_frame(bytes: &[u8], offset: usize) -> Parsed<'_> {
    let rest = &bytes[offset..];
    let Some((header, rest)) = rest.split_at_checked(HEADER_BYTES) else {
        return Parsed::Invalid;
    };
    let read_u32 = |at: usize| {
        u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
    };
    if crc32fast::hash(&header[..4]) != read_u32(4) {
        return Parsed::Invalid;
    }
    let length = usize::try_from(read_u32(0)).unwrap_or(usize::MAX);
    match rest.get(..length) {
        Some(payload) if crc32fast::hash(payload) == read_u32(8) => Parsed::Payload(payload),
        _ => Parsed::Invalid,
    }
}
