//! Event queue ordered by virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

/// Microseconds of virtual time since the start of a run.
pub type Micros = u64;

/// Microseconds in a millisecond.
pub const MILLI: Micros = 1_000;

/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;

/// Queue of events by due time. Events due at the same time come out in insertion
/// order, so that runs are deterministic.
#[derive(Debug)]
pub struct EventQueue<E> {
    order: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, E>,
    next_number: u64,
    now: Micros,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { order: BinaryHeap::new(), events: BTreeMap::new(), next_number: 0, now: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Current virtual time: the due time of the last popped event.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Schedules `event` after `delay`.
    pub fn schedule_after(&mut self, delay: Micros, event: E) {
        self.order.push(Reverse((self.now + delay, self.next_number)));
        self.events.insert(self.next_number, event);
        self.next_number += 1;
    }

    /// Removes the next event and advances the time to its due time.
    pub fn pop(&mut self) -> Option<E> {
        let Reverse((due, number)) = self.order.pop()?;
        self.now = due;
        self.events.remove(&number)
    }
}
