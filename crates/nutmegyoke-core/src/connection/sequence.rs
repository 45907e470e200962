//! Checks the order of the chunks of one answer.

use strum::{Display, EnumIter, IntoStaticStr};

/// Tracks the next expected chunk number of a stream. The first number is 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sequence {
    next: u64,
}

/// Where a received chunk is in relation to the expected one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Position {
    /// The expected chunk. It is forwarded.
    Next,
    /// A chunk that was received before. It is dropped.
    Duplicate,
    /// A chunk before it is missing, so the answer cannot be completed on this link.
    Gap,
}

impl Position {
    /// The stable name in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        self.into()
    }
}

impl Sequence {
    /// Classifies chunk `number` and counts it if it is the expected one.
    pub fn accept(&mut self, number: u64) -> Position {
        match number.cmp(&self.next) {
            std::cmp::Ordering::Less => Position::Duplicate,
            std::cmp::Ordering::Greater => Position::Gap,
            std::cmp::Ordering::Equal => {
                self.next += 1;
                Position::Next
            }
        }
    }

    /// The number of chunks accepted so far.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.next
    }
}
