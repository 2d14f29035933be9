//! Deterministic preview content, derived from the clip number.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Minimum length of a preview: 12 s at 32 kbit/s.
pub const MIN_PREVIEW_BYTES: usize = 48 << 10;

/// Maximum length of a preview: 40 s at 32 kbit/s.
pub const MAX_PREVIEW_BYTES: usize = 160 << 10;

/// Returns the content of the preview of `clip`; the length depends on the clip too.
pub fn preview_bytes(clip: u64) -> Vec<u8> {
    let mut random = ChaCha8Rng::seed_from_u64(clip);
    let length = random.random_range(MIN_PREVIEW_BYTES..=MAX_PREVIEW_BYTES);
    let mut bytes = vec![0; length];
    random.fill_bytes(&mut bytes);
    bytes
}
