//! Answers to commands.

use juniper_settings::{NodeChange, TreeFault};
use juniper_types::{ClaimAnswer, Revision};
use minicbor::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::fleet::{CatalogAnswer, OrderLease};
use crate::orders::OrderAnswer;

/// Answer to a command, the same on every replica.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Answer {
    /// Answer to a settings write.
    #[n(0)]
    Write(#[n(0)] WriteAnswer),
    /// Answer to a claim.
    #[n(1)]
    Claim(#[n(0)] ClaimAnswer),
    /// The claim table is full. The claim was not recorded, and the request must not be executed.
    #[n(2)]
    ClaimsFull,
    /// Answer to a settlement.
    #[n(3)]
    Settle(#[n(0)] SettleAnswer),
    /// Horizon in force, in seconds since the Unix epoch.
    #[n(4)]
    Horizon(#[n(0)] u64),
    /// Fencing token, higher than every earlier one.
    #[n(5)]
    Fence(#[n(0)] u64),
    /// Answer to the recording of an order or its end.
    #[n(6)]
    Order(#[n(0)] OrderAnswer),
    /// Answer to a configuration of generic services.
    #[n(7)]
    Catalog(#[n(0)] CatalogAnswer),
    /// Target version of the model's weights.
    #[n(8)]
    Weights(#[n(0)] u64),
    /// The departure is recorded.
    #[n(9)]
    Departed,
    /// Order lease now in force.
    #[n(10)]
    OrderLease(#[n(0)] OrderLease),
    /// The quarantine change is recorded, now or by an earlier command.
    #[n(11)]
    Recorded,
}

/// Answer to a settings write. Only `Accepted` writes change the tree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum WriteAnswer {
    /// The write was accepted.
    #[n(0)]
    Accepted {
        /// Revision created by the write.
        #[n(0)]
        revision: Revision,
    },
    /// The base of the write is not the current revision.
    #[n(1)]
    Conflict {
        /// Revision in force.
        #[n(0)]
        current: Revision,
        /// Changes since the base; `None` if they are no longer retained or too large.
        #[n(1)]
        diff: Option<Vec<NodeChange>>,
    },
    /// The resulting tree would be invalid.
    #[n(2)]
    Invalid {
        /// All faults of the resulting tree.
        #[n(0)]
        faults: Vec<TreeFault>,
    },
    /// The change id was used for a different write, which was accepted.
    #[n(3)]
    ChangeIdReused {
        /// Revision created by that write.
        #[n(0)]
        revision: Revision,
    },
    /// The limit on the rate of writes is exceeded.
    #[n(4)]
    RateLimited {
        /// Delay before the next attempt, in milliseconds.
        #[n(0)]
        retry_after_ms: u64,
    },
    /// The revision to restore is not retained.
    #[n(5)]
    RevisionUnavailable {
        /// Oldest revision that can be restored.
        #[n(0)]
        oldest: Revision,
        /// Revision in force.
        #[n(1)]
        current: Revision,
    },
}

/// Answer to a settlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum SettleAnswer {
    /// The outcome is recorded, now or by an earlier settlement.
    #[n(0)]
    Recorded,
    /// The attempt doesn't hold the claim.
    #[n(1)]
    NotHeld,
    /// The key is older than the horizon. The claim has been removed, so that it is unknown
    /// whether an earlier settlement was recorded.
    #[n(2)]
    Expired {
        /// Horizon in force, in seconds since the Unix epoch.
        #[n(0)]
        horizon: u64,
    },
}
