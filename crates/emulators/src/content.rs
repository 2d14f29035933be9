//! Deterministic text generation of emulated engines.
//!
//! A caller can compute the expected text and so detect lost, repeated,
//! reordered or mixed-up parts of a response.

use juniper_types::{BlockHash, TOKEN_BYTES, WeightsVersion};

/// Alphabet of generated words.
const LETTERS: &[u8; 26] = b"abcdefghijklmnopqrstuvwxyz";

/// Text generated for one prompt, seed and version of the weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GeneratedText {
    digest: BlockHash,
}

impl GeneratedText {
    /// Creates the text for `prompt`, sampled with `seed` on `weights`.
    pub fn new(prompt: &[u8], seed: u64, weights: WeightsVersion) -> Self {
        let origin = BlockHash([0; 16]).next(&seed.to_be_bytes());
        let weighted = origin.next(&weights.0.to_be_bytes());
        GeneratedText { digest: weighted.next(prompt) }
    }

    /// Returns the output token at `index`: letters and a trailing space.
    pub fn token(&self, index: u32) -> String {
        let hash = self.digest.next(&index.to_be_bytes());
        let letters = TOKEN_BYTES as usize - 1;
        let mut text: String = hash.0[..letters].iter().map(letter).collect();
        text.push(' ');
        text
    }

    /// Returns the text of tokens `from..to`.
    pub fn range(&self, from: u32, to: u32) -> String {
        (from..to).map(|index| self.token(index)).collect()
    }
}

fn letter(byte: &u8) -> char {
    LETTERS[usize::from(*byte) % LETTERS.len()].into()
}
