//! Limits the routing documents that other processes fetch from this one at a time.
//!
//! All that lack a document hear of it from the same few that have it. One that is refused asks
//! another process later, which has the document by then.

use std::cell::RefCell;
use std::time::Instant;

use crate::connection::link::transfer_time;

/// The maximum number of documents on their way to other processes.
const MAX_UPLOADS: usize = 3;

/// The documents on their way to other processes, by when they should have arrived.
#[derive(Debug, Default)]
pub struct Uploads(RefCell<Vec<Instant>>);

impl Uploads {
    /// Begins to send a document of `bytes`, and returns whether it may be sent now.
    pub fn begin(&self, now: Instant, bytes: usize) -> bool {
        let mut ends = self.0.borrow_mut();
        ends.retain(|&end| now < end);
        if ends.len() >= MAX_UPLOADS {
            return false;
        }
        ends.push(now + transfer_time(bytes));
        true
    }
}
