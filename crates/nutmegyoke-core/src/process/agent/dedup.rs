//! Deduplication of submitted requests.

use std::collections::{HashSet, VecDeque};

use crate::request::Id;

/// Maximum number of remembered submissions; the oldest are dropped first.
const MAX_SUBMISSIONS: usize = 65_536;

/// The most recent submissions, by request and attempt.
#[derive(Debug, Default)]
pub struct Window {
    set: HashSet<(Id, u32)>,
    order: VecDeque<(Id, u32)>,
}

impl Window {
    /// Whether this attempt at the request was submitted before, as far as the
    /// window reaches back.
    #[must_use]
    pub fn contains(&self, id: Id, attempt: u32) -> bool {
        self.set.contains(&(id, attempt))
    }

    /// Adds a submission, and drops the oldest one if the window is full.
    pub fn insert(&mut self, id: Id, attempt: u32) {
        if !self.set.insert((id, attempt)) {
            return;
        }
        self.order.push_back((id, attempt));
        if self.order.len() > MAX_SUBMISSIONS
            && let Some(oldest) = self.order.pop_front()
        {
            self.set.remove(&oldest);
        }
    }
}
