//! Finished answers of keyed requests, kept for resends.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use bytes::Bytes;
use nutmegyoke_core::request::Id;

/// How long an answer is kept at most.
const RETENTION: Duration = Duration::from_mins(10);

/// Bytes of all kept answers at most; the oldest make room first.
const TOTAL_BYTES: usize = 16 * 1024 * 1024;

/// Bytes of one kept answer at most; a longer one is not kept.
const ANSWER_BYTES: usize = 1024 * 1024;

/// Bytes that an answer takes up beside its body.
const OVERHEAD_BYTES: usize = 256;

/// An answer as the endpoint gave it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, empty if there was none.
    pub content_type: String,
    /// The parts of the body.
    pub parts: Vec<Bytes>,
    bytes: usize,
}

impl Answer {
    /// Opens the record of an answer that begins.
    #[must_use]
    pub fn open(status: u16, content_type: &str) -> Self {
        Self {
            status,
            content_type: content_type.to_owned(),
            parts: Vec::new(),
            bytes: OVERHEAD_BYTES,
        }
    }

    /// Adds a part of the body; too long an answer is forgotten.
    pub fn push(&mut self, part: &Bytes) {
        self.bytes += part.len();
        if self.bytes <= ANSWER_BYTES {
            self.parts.push(part.clone());
        } else {
            self.parts.clear();
        }
    }
}

/// The kept answers by request.
#[derive(Debug, Default)]
pub struct Cache {
    records: HashMap<Id, Answer>,
    order: VecDeque<(Instant, Id)>,
    bytes: usize,
}

impl Cache {
    /// Keeps a whole answer.
    pub fn insert(&mut self, now: Instant, id: Id, record: Answer) {
        if record.bytes > ANSWER_BYTES {
            return;
        }
        self.bytes += record.bytes;
        if let Some(earlier) = self.records.insert(id, record) {
            self.bytes -= earlier.bytes;
        } else {
            self.order.push_back((now, id));
        }
        while self.bytes > TOTAL_BYTES {
            self.drop_oldest();
        }
    }

    /// The answer to request `id`, if it is kept.
    pub fn get(&mut self, now: Instant, id: Id) -> Option<Answer> {
        while let Some(&(since, _)) = self.order.front()
            && now.saturating_duration_since(since) > RETENTION
        {
            self.drop_oldest();
        }
        self.records.get(&id).cloned()
    }

    fn drop_oldest(&mut self) {
        if let Some((_, id)) = self.order.pop_front()
            && let Some(record) = self.records.remove(&id)
        {
            self.bytes -= record.bytes;
        }
    }
}
