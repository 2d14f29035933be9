//! Events in the order of virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

/// Microseconds of virtual time since the start of a run.
pub type Micros = u64;

/// Microseconds in a millisecond.
pub const MILLI: Micros = 1_000;

/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;

/// Events that are due at some time. Those of one time come out in the order
/// in which they were put in, so that a run follows from its seed alone.
#[derive(Debug)]
pub struct EventQueue<E> {
    order: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, E>,
    next: u64,
    now: Micros,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { order: BinaryHeap::new(), events: BTreeMap::new(), next: 0, now: 0 }
    }
}

impl<E> EventQueue<E> {
    /// The time of the last event taken out.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Makes `event` due after `delay`.
    pub fn after(&mut self, delay: Micros, event: E) {
        self.order.push(Reverse((self.now + delay, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    /// Takes out the next event and moves the time on to it.
    pub fn pop(&mut self) -> Option<E> {
        let Reverse((due, number)) = self.order.pop()?;
        self.now = due;
        self.events.remove(&number)
    }
}
