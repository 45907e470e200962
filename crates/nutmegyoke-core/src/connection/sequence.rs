//! Orders the chunks of one answer.

use strum::{Display, EnumIter, IntoStaticStr};

/// The next chunk number expected on a stream of chunks that starts at 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sequence {
    next: u64,
}

/// What to do with a numbered chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Order {
    /// The chunk is the next one: pass it on.
    Next,
    /// The chunk was seen before: drop it.
    Duplicate,
    /// A chunk before it is missing: the answer can't become whole on this link.
    Gap,
}

impl Order {
    /// The stable name, as used in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        self.into()
    }
}

impl Sequence {
    /// Judges chunk `number` and counts it when it is the next one.
    pub fn accept(&mut self, number: u64) -> Order {
        match number.cmp(&self.next) {
            std::cmp::Ordering::Less => Order::Duplicate,
            std::cmp::Ordering::Greater => Order::Gap,
            std::cmp::Ordering::Equal => {
                self.next += 1;
                Order::Next
            }
        }
    }

    /// How many chunks have been accepted.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.next
    }
}
