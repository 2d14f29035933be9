//! What a command came to.

use juniper_settings::{NodeChange, TreeFault};
use juniper_types::{ClaimAnswer, Revision};
use minicbor::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::fleet::{CatalogAnswer, OrderLease};
use crate::orders::OrderAnswer;

/// The answer to one command. Every replica computes the same one.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Answer {
    /// What a write of settings came to.
    #[n(0)]
    Write(#[n(0)] WriteAnswer),
    /// What a claim came to.
    #[n(1)]
    Claim(#[n(0)] ClaimAnswer),
    /// The claim table is full: nothing was recorded, and the request must not run.
    #[n(2)]
    ClaimsFull,
    /// What a settlement came to.
    #[n(3)]
    Settle(#[n(0)] SettleAnswer),
    /// The horizon now in force, in seconds since the Unix epoch.
    #[n(4)]
    Horizon(#[n(0)] u64),
    /// A fencing token, higher than every earlier one.
    #[n(5)]
    Fence(#[n(0)] u64),
    /// What the recording of an order, or of its end, came to.
    #[n(6)]
    Order(#[n(0)] OrderAnswer),
    /// What a configuration of generic services came to.
    #[n(7)]
    Catalog(#[n(0)] CatalogAnswer),
    /// The version of weights that the model should have now.
    #[n(8)]
    Weights(#[n(0)] u64),
    /// The departure is recorded.
    #[n(9)]
    Departed,
    /// Who gives orders from now on.
    #[n(10)]
    OrderLease(#[n(0)] OrderLease),
    /// The change of the quarantine is recorded, or was before.
    #[n(11)]
    Recorded,
}

/// What a write of settings came to. Only `Accepted` changed anything.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum WriteAnswer {
    /// The write made this revision.
    #[n(0)]
    Accepted {
        /// The new revision.
        #[n(0)]
        revision: Revision,
    },
    /// The tree has moved on from the revision that the write builds on.
    #[n(1)]
    Conflict {
        /// The revision in force.
        #[n(0)]
        current: Revision,
        /// What changed since the base; `None` if that is no longer known or too large.
        #[n(1)]
        diff: Option<Vec<NodeChange>>,
    },
    /// The resulting tree would have these faults.
    #[n(2)]
    Invalid {
        /// All of them.
        #[n(0)]
        faults: Vec<TreeFault>,
    },
    /// The change id was used for another write, which was accepted.
    #[n(3)]
    ChangeIdReused {
        /// The revision which that write made.
        #[n(0)]
        revision: Revision,
    },
    /// Too many writes; come back later.
    #[n(4)]
    RateLimited {
        /// When to come back, in milliseconds.
        #[n(0)]
        retry_after_ms: u64,
    },
    /// The revision to roll back to isn't kept.
    #[n(5)]
    RevisionUnavailable {
        /// Oldest revision that can be rolled back to.
        #[n(0)]
        oldest: Revision,
        /// The revision in force.
        #[n(1)]
        current: Revision,
    },
}

/// What a settlement came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum SettleAnswer {
    /// The outcome is kept, now or since an earlier sending.
    #[n(0)]
    Kept,
    /// The attempt doesn't hold the claim.
    #[n(1)]
    NotHeld,
    /// The key lies before the horizon: the claim is forgotten, and with it whether
    /// an earlier sending of the same settlement was kept.
    #[n(2)]
    Expired {
        /// The horizon, in seconds since the Unix epoch.
        #[n(0)]
        horizon: u64,
    },
}
