//! Remembers submitted requests, to drop duplicates.

use std::collections::{HashSet, VecDeque};

use crate::request::Id;

/// Submissions remembered; older ones are forgotten first.
const MAX_SUBMISSIONS: usize = 65_536;

/// The submissions seen lately.
#[derive(Debug, Default)]
pub struct Window {
    set: HashSet<(Id, u32)>,
    order: VecDeque<(Id, u32)>,
}

impl Window {
    /// Whether this attempt at the request was submitted before.
    #[must_use]
    pub fn contains(&self, id: Id, attempt: u32) -> bool {
        self.set.contains(&(id, attempt))
    }

    /// Remembers a submission.
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
