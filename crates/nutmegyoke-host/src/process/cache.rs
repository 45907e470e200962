//! An agent's cache of the answers of keyed requests, for resends.
//!
//! An entry fetches the answer from it when a caller sends a request again that has run. The
//! cache is in memory and is lost when the agent stops.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use bytes::Bytes;
use nutmegyoke_core::request::Id;

/// The maximum age of a cached answer.
const ANSWER_MAX_AGE: Duration = Duration::from_mins(10);

/// The capacity of the cache, in bytes; the oldest answers are evicted first.
const CAPACITY_BYTES: usize = 16 * 1024 * 1024;

/// The maximum size of a cached answer with its overhead, in bytes; a larger one is not
/// cached.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Estimated memory that an answer takes besides its body, in bytes.
const OVERHEAD_BYTES: usize = 256;

/// An answer as the endpoint sent it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, empty if there was none.
    pub content_type: String,
    /// The parts of the body.
    pub parts: Vec<Bytes>,
    /// The size that counts towards the capacity, in bytes.
    bytes: usize,
}

impl Answer {
    /// Opens an answer with an empty body.
    #[must_use]
    pub fn open(status: u16, content_type: &str) -> Self {
        Self {
            status,
            content_type: content_type.to_owned(),
            parts: Vec::new(),
            bytes: OVERHEAD_BYTES,
        }
    }

    /// Appends a part of the body. The body of an answer that has become too large is
    /// discarded, and [`Cache::insert`] ignores the answer.
    pub fn push(&mut self, part: &Bytes) {
        self.bytes += part.len();
        if self.bytes <= MAX_ANSWER_BYTES {
            self.parts.push(part.clone());
        } else {
            self.parts.clear();
        }
    }
}

/// The cached answers by request.
#[derive(Debug, Default)]
pub struct Cache {
    answers: HashMap<Id, Answer>,
    /// The requests by the time of insertion, oldest first.
    order: VecDeque<(Instant, Id)>,
    bytes: usize,
}

impl Cache {
    /// Inserts a complete answer, unless it is too large.
    pub fn insert(&mut self, now: Instant, id: Id, answer: Answer) {
        if answer.bytes > MAX_ANSWER_BYTES {
            return;
        }
        self.bytes += answer.bytes;
        if let Some(previous) = self.answers.insert(id, answer) {
            self.bytes -= previous.bytes;
        } else {
            self.order.push_back((now, id));
        }
        while self.bytes > CAPACITY_BYTES {
            self.evict_oldest();
        }
    }

    /// The answer to request `id`, if it is cached.
    pub fn get(&mut self, now: Instant, id: Id) -> Option<Answer> {
        while let Some(&(inserted, _)) = self.order.front()
            && now.saturating_duration_since(inserted) > ANSWER_MAX_AGE
        {
            self.evict_oldest();
        }
        self.answers.get(&id).cloned()
    }

    fn evict_oldest(&mut self) {
        if let Some((_, id)) = self.order.pop_front()
            && let Some(answer) = self.answers.remove(&id)
        {
            self.bytes -= answer.bytes;
        }
    }
}
