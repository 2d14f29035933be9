//! Fixed-size table of the times at which prompts with a part were last answered completely.

use juniper_types::{RequestFingerprint, Timestamp};

/// Number of slots of the table (32 KB). A part may overwrite another one in its slot, which then
/// counts as a part that hasn't completed.
const SLOTS: usize = 2_048;

/// Fixed-size, lossy table of completed parts.
#[derive(Clone, Debug)]
pub struct CompletedParts {
    slots: Vec<(u64, Timestamp)>,
}

impl Default for CompletedParts {
    fn default() -> Self {
        CompletedParts { slots: vec![(0, Timestamp::ZERO); SLOTS] }
    }
}

impl CompletedParts {
    /// Records that a prompt with the part was answered completely.
    pub fn record(&mut self, part: &RequestFingerprint, now: Timestamp) {
        let (slot, tag) = slot_of(part);
        self.slots[slot] = (tag, now);
    }

    /// When a prompt with the part was last answered completely; `None` if that isn't known.
    pub fn last_completion(&self, part: &RequestFingerprint) -> Option<Timestamp> {
        let (slot, tag) = slot_of(part);
        let (known, at) = self.slots[slot];
        (known == tag).then_some(at)
    }
}

/// Slot and tag of a part. A tag of zero marks a free slot.
fn slot_of(part: &RequestFingerprint) -> (usize, u64) {
    let number = u128::from_be_bytes(part.0);
    let slot = (number as usize) % SLOTS;
    (slot, ((number >> 64) as u64).max(1))
}
