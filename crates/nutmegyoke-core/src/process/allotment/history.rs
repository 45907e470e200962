//! What was lent of a tenant's allotment within a window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::balance::LEASE;

/// The number of slots in a window.
const SLOTS: u32 = 32;

/// The units that were lent in each slot of a window, the oldest first.
#[derive(Debug, Default)]
pub struct History {
    slots: VecDeque<Slot>,
}

#[derive(Debug)]
struct Slot {
    start: Instant,
    lent: f64,
    /// Whether some of the units came from the surplus.
    has_surplus: bool,
}

impl History {
    /// Adds units that were lent.
    pub fn record(&mut self, now: Instant, window: Duration, lent: f64, is_surplus: bool) {
        let current = self.slots.back_mut();
        match current.filter(|slot| now < slot.start + window / SLOTS) {
            Some(slot) => {
                slot.lent += lent;
                slot.has_surplus |= is_surplus;
            }
            None => self.slots.push_back(Slot {
                start: now,
                lent,
                has_surplus: is_surplus,
            }),
        }
    }

    /// Drops what cannot run in one window with what is lent now. Units are used until their lease
    /// ends.
    pub fn expire(&mut self, now: Instant, window: Duration) {
        let age = window + LEASE + window / SLOTS;
        while self
            .slots
            .front()
            .is_some_and(|slot| slot.start + age <= now)
        {
            self.slots.pop_front();
        }
    }

    /// Whether some of the units came from the surplus.
    pub fn has_surplus(&self) -> bool {
        self.slots.iter().any(|slot| slot.has_surplus)
    }

    /// How many units may be lent until, over some time that ends now, more are lent than a bucket of
    /// this rate and capacity that was full before would hold.
    pub fn room(&self, now: Instant, rate: f64, capacity: f64) -> f64 {
        let (mut lent, mut room) = (0.0, capacity);
        for slot in self.slots.iter().rev() {
            lent += slot.lent;
            let age = now.saturating_duration_since(slot.start).as_secs_f64();
            room = room.min(rate * age + capacity - lent);
        }
        room
    }
}
