//! Account of the memory that callers make a process hold.
//!
//! Connections, bodies and answers share one total. A part of it is kept for connections and for small
//! bodies, so that large ones can't shut ordinary callers out. When memory is short, bodies that are
//! still being read give way: first those that have stalled or hardly advance, the largest of them
//! first, then those that began last. So some large bodies always reach their end. A body that was read
//! whole keeps its memory until its request has ended.

use std::collections::HashMap;

use juniper_types::Timestamp;

use crate::body::Body;
use crate::limits::BudgetLimits;

/// Memory of a connection besides the head of its request, in bytes: its task, its buffers, and the request
/// in progress with its connection to a server.
const CONNECTION_BYTES: usize = 32 << 10;

/// Identifies a body within the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(u64);

/// What becomes of bytes that a body is about to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Growth {
    /// The body holds them.
    Granted,
    /// They have to wait until the bodies that were told to give way have given their memory back.
    Waits {
        /// Bodies that are told just now.
        evicted: Vec<BodyId>,
    },
}

/// Memory is short, and the body has to give way itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory for callers is short")]
pub struct Shortage;

/// Bytes and connections on the account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Connections.
    pub connections: usize,
    /// Bytes that connections are charged for.
    pub connection_bytes: usize,
    /// Bytes of bodies.
    pub body_bytes: usize,
    /// Bytes of bodies that are larger than ordinary ones.
    pub large_bytes: usize,
    /// Bytes of answers.
    pub answer_bytes: usize,
}

impl Usage {
    /// All bytes.
    pub fn total(&self) -> usize {
        self.connection_bytes + self.body_bytes + self.answer_bytes
    }
}

/// A body that is about to hold more bytes.
#[derive(Clone, Copy, Debug)]
struct Asking {
    id: BodyId,
    /// Whether it is a large one then.
    is_large: bool,
}

/// Account of the memory that callers make a process hold.
#[derive(Debug)]
pub struct MemoryBudget {
    limits: BudgetLimits,
    usage: Usage,
    bodies: HashMap<BodyId, Body>,
    next: u64,
}

impl MemoryBudget {
    /// Creates an empty account.
    pub fn new(limits: BudgetLimits) -> Self {
        MemoryBudget { limits, usage: Usage::default(), bodies: HashMap::new(), next: 0 }
    }

    /// Sizes of the account.
    pub fn limits(&self) -> &BudgetLimits {
        &self.limits
    }

    /// What is on the account.
    pub fn usage(&self) -> Usage {
        self.usage
    }

    /// Adds a connection whose requests have heads of at most `head_bytes`. Returns the bytes that it is
    /// charged for; `None` if there is no room for it.
    pub fn add_connection(&mut self, head_bytes: usize) -> Option<usize> {
        let charged = CONNECTION_BYTES + head_bytes;
        let bytes = self.usage.connection_bytes + charged;
        let is_granted = self.usage.connections < self.limits.connections
            && bytes <= self.limits.for_connections
            && self.usage.total() + charged <= self.limits.total;
        if !is_granted {
            return None;
        }
        self.usage.connections += 1;
        self.usage.connection_bytes = bytes;
        Some(charged)
    }

    /// Removes a connection that was charged for these bytes.
    pub fn remove_connection(&mut self, charged: usize) {
        self.usage.connections -= 1;
        self.usage.connection_bytes -= charged;
    }

    /// Adds bytes of an answer. Returns whether there is room for them; answers make nobody give way,
    /// since they can be passed on without being held.
    pub fn add_answer(&mut self, bytes: usize) -> bool {
        let is_granted =
            bytes <= self.room(0) && self.usage.answer_bytes + bytes <= self.limits.for_answers;
        if is_granted {
            self.usage.answer_bytes += bytes;
        }
        is_granted
    }

    /// Removes bytes of an answer.
    pub fn remove_answer(&mut self, bytes: usize) {
        self.usage.answer_bytes -= bytes;
    }

    /// Adds a body that is about to be read.
    pub fn begin_body(&mut self, now: Timestamp) -> BodyId {
        let id = BodyId(self.next);
        self.next += 1;
        self.bodies.insert(id, Body::new(id.0, now));
        id
    }

    /// Records that bytes of a body have arrived. They may be less than it grows by.
    pub fn advance(&mut self, id: BodyId, bytes: usize, now: Timestamp) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.advance(bytes, now);
        }
    }

    /// Lets a body hold more bytes.
    ///
    /// # Errors
    /// Fails when the body has to give way.
    pub fn grow(&mut self, id: BodyId, bytes: usize, now: Timestamp) -> Result<Growth, Shortage> {
        let Some(body) = self.bodies.get(&id).filter(|body| !body.is_evicted) else {
            return Err(Shortage);
        };
        let (before, after) = (body.held, body.held + bytes);
        let large_growth = self.large_part(after) - self.large_part(before);
        let missing = bytes.saturating_sub(self.room(0));
        let missing_large = large_growth.saturating_sub(self.room_for_large(0));
        if missing == 0 && missing_large == 0 {
            self.set_held(id, after);
            return Ok(Growth::Granted);
        }
        let leaving: Vec<&Body> = self.bodies.values().filter(|body| body.is_evicted).collect();
        let freed = leaving.iter().map(|body| body.held).sum();
        let freed_large = leaving.iter().map(|body| self.large_part(body.held)).sum();
        let missing = bytes.saturating_sub(self.room(freed));
        let missing_large = large_growth.saturating_sub(self.room_for_large(freed_large));
        let asking = Asking { id, is_large: self.large_part(after) > 0 };
        let evicted = self.choose_evicted(asking, (missing, missing_large), now)?;
        for evicted in &evicted {
            if let Some(body) = self.bodies.get_mut(evicted) {
                body.is_evicted = true;
            }
        }
        Ok(Growth::Waits { evicted })
    }

    /// Records that a body was read to its end, so that it keeps its memory.
    pub fn complete_body(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.is_read = false;
        }
    }

    /// Removes a body with all its bytes.
    pub fn remove_body(&mut self, id: BodyId) {
        self.set_held(id, 0);
        self.bodies.remove(&id);
    }

    /// Bodies that give way so that this many bytes, and this many of large bodies, become free.
    fn choose_evicted(
        &self,
        asking: Asking,
        (missing, missing_large): (usize, usize),
        now: Timestamp,
    ) -> Result<Vec<BodyId>, Shortage> {
        let (mut freed, mut freed_large) = (0, 0);
        let mut evicted = Vec::new();
        for (id, body) in self.in_order_of_eviction(asking, now) {
            if freed >= missing && freed_large >= missing_large {
                break;
            }
            if id == asking.id {
                return Err(Shortage);
            }
            let large = self.large_part(body.held);
            if freed >= missing && large == 0 {
                continue;
            }
            freed += body.held;
            freed_large += large;
            evicted.push(id);
        }
        let suffices = freed >= missing && freed_large >= missing_large;
        suffices.then_some(evicted).ok_or(Shortage)
    }

    /// Bodies that may give way, those that go first at the front. The asking body is among those that
    /// advance, by its age.
    fn in_order_of_eviction(&self, asking: Asking, now: Timestamp) -> Vec<(BodyId, &Body)> {
        let may_go = |body: &Body| body.is_read && !body.is_evicted && body.held > 0;
        let mut candidates: Vec<(BodyId, &Body)> = self
            .bodies
            .iter()
            .filter(|(id, body)| **id == asking.id || may_go(body))
            .map(|(id, body)| (*id, body))
            .collect();
        candidates.sort_by_key(|(id, body)| {
            let is_asking = *id == asking.id;
            let is_slow = !is_asking && body.is_slow(now);
            let is_large = match is_asking {
                true => asking.is_large,
                false => self.large_part(body.held) > 0,
            };
            match is_slow {
                true => (false, !is_large, usize::MAX - body.held, u64::MAX - body.order),
                false => (true, !is_large, 0, u64::MAX - body.order),
            }
        });
        candidates
    }

    fn set_held(&mut self, id: BodyId, held: usize) {
        let Some(before) = self.bodies.get(&id).map(|body| body.held) else { return };
        self.usage.body_bytes = self.usage.body_bytes - before + held;
        self.usage.large_bytes =
            self.usage.large_bytes - self.large_part(before) + self.large_part(held);
        if let Some(body) = self.bodies.get_mut(&id) {
            body.held = held;
        }
    }

    /// Bytes that count towards large bodies: all of a body above the threshold.
    fn large_part(&self, held: usize) -> usize {
        if held > self.limits.large_body { held } else { 0 }
    }

    /// Bytes that bodies and answers may still take once `freed` bytes are given back.
    fn room(&self, freed: usize) -> usize {
        let for_connections = self.usage.connection_bytes.max(self.limits.kept_for_connections);
        let held = self.usage.body_bytes + self.usage.answer_bytes - freed;
        self.limits.total.saturating_sub(for_connections + held)
    }

    /// Bytes that large bodies may still take once `freed` bytes are given back.
    fn room_for_large(&self, freed: usize) -> usize {
        self.limits.for_large.saturating_sub(self.usage.large_bytes - freed)
    }
}
