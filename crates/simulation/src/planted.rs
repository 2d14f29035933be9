//! Faults planted on purpose, to show that the checkers find them.

/// One deliberate fault in a step that protects an invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// Syncs report success and do nothing.
    NoSync,
    /// A replica acts on a write before it is on disk.
    EarlyAcknowledgement,
    /// A wiped disk keeps the identity of the lost one.
    WipedDiskVotes,
    /// A restarted replica has forgotten whom it voted for.
    VoteForgotten,
    /// Reads are answered from the local state, without asking a quorum.
    LocalRead,
    /// Snapshots leave out the ids of accepted changes.
    ChangeIdsForgotten,
    /// A router puts in force whatever revision it is handed.
    StaleRevisionApplied,
    /// A router without a disk takes the first revision that it meets.
    FloorSkipped,
    /// Snapshots leave out the claims.
    ClaimsForgotten,
    /// A claim is granted when it is proposed, not when it is committed.
    GrantBeforeCommit,
    /// A claim is granted by any replica whose own state has no such claim.
    GrantWithoutLog,
    /// A router runs a request again when a grant arrives a second time.
    GrantUsedTwice,
    /// A router runs a request on a grant that arrives after it said "not run".
    LateGrantUsed,
    /// Snapshots leave out the fencing tokens.
    FencesForgotten,
    /// An order-giver makes its fencing token up, without the log.
    TokenGuessed,
    /// An order-giver that was fenced off sends its order under the newest token.
    OrderRenumbered,
}

impl Planted {
    /// Every planted fault with its name on the command line.
    pub const ALL: [(Planted, &'static str); 16] = [
        (Planted::NoSync, "no-sync"),
        (Planted::EarlyAcknowledgement, "early-acknowledgement"),
        (Planted::WipedDiskVotes, "wiped-disk-votes"),
        (Planted::VoteForgotten, "vote-forgotten"),
        (Planted::LocalRead, "local-read"),
        (Planted::ChangeIdsForgotten, "change-ids-forgotten"),
        (Planted::StaleRevisionApplied, "stale-revision-applied"),
        (Planted::FloorSkipped, "floor-skipped"),
        (Planted::ClaimsForgotten, "claims-forgotten"),
        (Planted::GrantBeforeCommit, "grant-before-commit"),
        (Planted::GrantWithoutLog, "grant-without-log"),
        (Planted::GrantUsedTwice, "grant-used-twice"),
        (Planted::LateGrantUsed, "late-grant-used"),
        (Planted::FencesForgotten, "fences-forgotten"),
        (Planted::TokenGuessed, "token-guessed"),
        (Planted::OrderRenumbered, "order-renumbered"),
    ];

    /// The fault with this name.
    pub fn named(name: &str) -> Option<Planted> {
        Planted::ALL.iter().find(|(_, known)| *known == name).map(|(planted, _)| *planted)
    }
}
