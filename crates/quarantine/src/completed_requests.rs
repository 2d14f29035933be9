//! Fixed-size set of recently completed requests.

use juniper_types::RequestFingerprint;

/// Number of slots of the set (16 KB). A request may overwrite another one in its slot, which then
/// counts as a request that has never completed.
const SLOTS: usize = 2_048;

/// Fixed-size, lossy set of recently completed requests.
#[derive(Clone, Debug)]
pub struct CompletedRequests {
    slots: Vec<u64>,
}

impl Default for CompletedRequests {
    fn default() -> Self {
        CompletedRequests { slots: vec![0; SLOTS] }
    }
}

impl CompletedRequests {
    /// Records a completed request.
    pub fn record(&mut self, request: &RequestFingerprint) {
        let (slot, tag) = slot_of(request);
        self.slots[slot] = tag;
    }

    /// Whether the request has completed and hasn't been overwritten since.
    pub fn contains(&self, request: &RequestFingerprint) -> bool {
        let (slot, tag) = slot_of(request);
        self.slots[slot] == tag
    }
}

/// Slot and tag of a request. A tag of zero marks a free slot.
fn slot_of(request: &RequestFingerprint) -> (usize, u64) {
    let number = u128::from_be_bytes(request.0);
    let slot = (number as usize) % SLOTS;
    (slot, ((number >> 64) as u64).max(1))
}
