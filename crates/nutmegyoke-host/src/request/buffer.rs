//! The buffer of an answer, whose memory the account counts.

use crate::connection::account::Reservation;

/// An answer that is read into memory, of a limited length.
#[derive(Debug)]
pub struct Buffer<'a> {
    bytes: Vec<u8>,
    limit: usize,
    reservation: &'a Reservation,
}

impl<'a> Buffer<'a> {
    /// Opens an empty buffer for an answer on the connection that `reservation` is for.
    #[must_use]
    pub fn open(limit: usize, reservation: &'a Reservation) -> Self {
        Self {
            bytes: Vec::new(),
            limit,
            reservation,
        }
    }

    /// Appends a part of the answer; waits while no memory is free. Returns false if the answer is
    /// too long.
    pub async fn push(&mut self, data: &[u8]) -> bool {
        let needed = self.bytes.len() + data.len();
        if needed > self.limit {
            return false;
        }
        let capacity = self.bytes.capacity();
        if needed > capacity {
            let larger = needed.max(capacity * 2).min(self.limit);
            self.reservation.hold_when_free(larger - capacity).await;
            self.bytes.reserve_exact(larger - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        true
    }

    /// Returns the bytes. They stay in the account until the request ends.
    #[must_use]
    pub fn finish(mut self) -> Vec<u8> {
        std::mem::take(&mut self.bytes)
    }
}

impl Drop for Buffer<'_> {
    fn drop(&mut self) {
        // An attempt that failed; the next one takes its own room.
        self.reservation.release(self.bytes.capacity());
    }
}
