//! Text that an emulated engine generates: a pure function of its inputs.
//!
//! Every caller can compute the text it must receive and so notices a piece
//! that was lost, doubled, reordered or crossed with another request's.

use juniper_types::{BlockHash, TOKEN_BYTES, WeightsVersion};

/// Letters that generated words are made of.
const LETTERS: &[u8; 26] = b"abcdefghijklmnopqrstuvwxyz";

/// The text generated for one prompt, seed and weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GeneratedText {
    digest: BlockHash,
}

impl GeneratedText {
    /// The text for `prompt`, sampled with `seed` on `weights`.
    pub fn new(prompt: &[u8], seed: u64, weights: WeightsVersion) -> Self {
        let origin = BlockHash([0; 16]).next(&seed.to_be_bytes());
        let weighted = origin.next(&weights.0.to_be_bytes());
        GeneratedText { digest: weighted.next(prompt) }
    }

    /// The output token with number `index`: letters and a space, one token in all.
    pub fn token(&self, index: u32) -> String {
        let hash = self.digest.next(&index.to_be_bytes());
        let letters = TOKEN_BYTES as usize - 1;
        let mut text: String = hash.0[..letters].iter().map(letter).collect();
        text.push(' ');
        text
    }

    /// Tokens `from..to` as one text.
    pub fn range(&self, from: u32, to: u32) -> String {
        (from..to).map(|index| self.token(index)).collect()
    }
}

fn letter(byte: &u8) -> char {
    LETTERS[usize::from(*byte) % LETTERS.len()].into()
}
