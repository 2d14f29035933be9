//! Shared types: identifiers, timestamps, cache scopes, prompt block hashes, idempotency keys and
//! request fingerprints.
//!
//! This crate performs no I/O, reads no clock and uses no randomness.

pub mod block;
pub mod claim;
pub mod decay;
pub mod fingerprint;
pub mod ids;
pub mod software;
pub mod time;

pub use block::{BLOCK_BYTES, BLOCK_TOKENS, BlockHash, CacheScope, PromptBlocks, TOKEN_BYTES};
pub use claim::{ClaimAnswer, ClaimKey, ClaimKeyError, ClaimOutcome};
pub use decay::Decaying;
pub use fingerprint::{
    FingerprintError, FingerprintKey, RequestContent, RequestFingerprint, StreamKey,
};
pub use ids::{
    AdapterName, ChangeId, ChangeIdError, EngineId, Incarnation, ModelName, NameError, NodeId,
    RequestId, Revision, ServiceName, TenantName, WeightsVersion, ZoneName,
};
pub use software::SoftwareVersion;
pub use time::Timestamp;
