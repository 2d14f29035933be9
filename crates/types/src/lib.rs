//! Identifiers, time, cache scopes and prompt block hashes shared by every crate.
//!
//! Nothing in this crate performs I/O, reads a clock or draws a random number.

pub mod block;
pub mod claim;
pub mod decay;
pub mod fingerprint;
pub mod ids;
pub mod time;

pub use block::{BLOCK_BYTES, BLOCK_TOKENS, BlockHash, CacheScope, PromptBlocks, TOKEN_BYTES};
pub use claim::{ClaimAnswer, ClaimKey, ClaimKeyError, ClaimOutcome};
pub use decay::Decaying;
pub use fingerprint::{FingerprintError, FingerprintKey, RequestContent, RequestFingerprint};
pub use ids::{
    AdapterName, ChangeId, ChangeIdError, EngineId, Incarnation, ModelName, NameError, NodeId,
    RequestId, Revision, ServiceName, TenantName, WeightsVersion, ZoneName,
};
pub use time::Timestamp;
