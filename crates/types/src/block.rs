//! Prompt blocks and the hash chain that identifies them.
//!
//! A prompt is divided into blocks of [`BLOCK_TOKENS`] tokens. The hash of a block covers the cache
//! scope, all preceding blocks and the block's bytes. Two prompts therefore share a hash exactly
//! when tenant, model, adapter, weights version and the whole prefix are equal.

use std::fmt;

use minicbor::{Decode, Encode};

use crate::ids::{AdapterName, ModelName, TenantName, WeightsVersion};

/// Tokens per cache block; engines cache and evict whole blocks.
pub const BLOCK_TOKENS: u32 = 64;

/// Bytes of prompt text counted as one token, an average for English text.
pub const TOKEN_BYTES: u32 = 4;

/// Bytes of prompt text per full block.
pub const BLOCK_BYTES: usize = (BLOCK_TOKENS * TOKEN_BYTES) as usize;

const SCOPE_CONTEXT: &str = "juniperhollow cache scope v1";

/// Hash of a prompt block, its preceding blocks and its cache scope.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct BlockHash(#[cbor(n(0), with = "minicbor::bytes")] pub [u8; 16]);

impl fmt::Display for BlockHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for BlockHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// Error for text that is not a block hash.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a block hash has 32 hexadecimal digits")]
pub struct BlockHashError;

impl std::str::FromStr for BlockHash {
    type Err = BlockHashError;

    fn from_str(text: &str) -> Result<Self, BlockHashError> {
        let is_well_formed = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_well_formed {
            return Err(BlockHashError);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| BlockHashError)?;
        Ok(BlockHash(number.to_be_bytes()))
    }
}

/// Isolation scope of cache entries: entries never match across scopes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct CacheScope {
    /// Tenant of the prompt.
    #[n(0)]
    pub tenant: TenantName,
    /// Base model that computed the block.
    #[n(1)]
    pub model: ModelName,
    /// Active adapter, if any.
    #[n(2)]
    pub adapter: Option<AdapterName>,
    /// Version of the weights that computed the block.
    #[n(3)]
    pub weights: WeightsVersion,
}

impl CacheScope {
    /// Returns the initial value of the hash chain in this scope.
    pub fn seed(&self) -> BlockHash {
        let mut hasher = blake3::Hasher::new_derive_key(SCOPE_CONTEXT);
        update_with_length(&mut hasher, self.tenant.as_str());
        update_with_length(&mut hasher, self.model.as_str());
        update_with_length(&mut hasher, self.adapter.as_ref().map_or("", |name| name.as_str()));
        hasher.update(&self.weights.0.to_be_bytes());
        truncate(&hasher)
    }
}

/// Hashes the text with a length prefix, so that adjacent fields are unambiguous.
fn update_with_length(hasher: &mut blake3::Hasher, text: &str) {
    hasher.update(&(text.len() as u64).to_be_bytes());
    hasher.update(text.as_bytes());
}

fn truncate(hasher: &blake3::Hasher) -> BlockHash {
    let mut hash = [0; 16];
    hash.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    BlockHash(hash)
}

impl BlockHash {
    /// Returns the hash of the following block, whose content is `bytes`.
    pub fn next(&self, bytes: &[u8]) -> BlockHash {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0);
        hasher.update(bytes);
        truncate(&hasher)
    }
}

/// Full blocks of one prompt, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptBlocks {
    /// Hash of each full block from the start of the prompt.
    pub hashes: Vec<BlockHash>,
    /// Tokens in the prompt, including a partial last block.
    pub tokens: u32,
}

impl PromptBlocks {
    /// Divides `prompt` into blocks and hashes them within `scope`.
    pub fn of_text(scope: &CacheScope, prompt: &[u8]) -> Self {
        let mut previous = scope.seed();
        let mut hashes = Vec::with_capacity(prompt.len() / BLOCK_BYTES);
        for block in prompt.chunks_exact(BLOCK_BYTES) {
            previous = previous.next(block);
            hashes.push(previous);
        }
        let tokens = prompt.len().div_ceil(TOKEN_BYTES as usize);
        PromptBlocks { hashes, tokens: u32::try_from(tokens).unwrap_or(u32::MAX) }
    }

    /// Number of tokens in `blocks` full blocks.
    pub fn tokens_in(blocks: usize) -> u32 {
        u32::try_from(blocks).unwrap_or(u32::MAX).saturating_mul(BLOCK_TOKENS)
    }
}
