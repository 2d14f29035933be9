//! Deliberate implementation faults, to verify that the checkers detect them.

/// Deliberate fault in a step that protects an invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// Syncs report success without writing.
    NoSync,
    /// A replica acknowledges a write before it is durable.
    EarlyAcknowledgement,
    /// A wiped disk keeps its previous replica identity.
    WipedDiskVotes,
    /// A restarted replica loses its vote.
    VoteForgotten,
    /// Reads are answered from local state, without a quorum.
    LocalRead,
    /// Snapshots omit the ids of accepted changes.
    ChangeIdsForgotten,
    /// A router applies any revision it receives, even an older one.
    StaleRevisionApplied,
    /// A router without a disk accepts the first revision it receives, ignoring the revision floor.
    FloorSkipped,
    /// Snapshots omit the claims.
    ClaimsForgotten,
    /// A claim is granted when it is proposed, not when it is committed.
    GrantBeforeCommit,
    /// A replica other than the leader grants a claim that its local state does not hold.
    GrantWithoutLog,
    /// A router executes a request again when a duplicate grant arrives.
    GrantUsedTwice,
    /// A router executes a request on a late grant, after reporting it as not executed.
    LateGrantUsed,
    /// Snapshots omit the fencing tokens.
    FencesForgotten,
    /// An order dispatcher uses a fencing token that was not issued by the log.
    TokenGuessed,
    /// A fenced order dispatcher sends its order with the newest token.
    OrderRenumbered,
}

impl Planted {
    /// All planted faults with their command-line names.
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

    /// Finds a fault by its command-line name.
    pub fn named(name: &str) -> Option<Planted> {
        Planted::ALL.iter().find(|(_, known)| *known == name).map(|(planted, _)| *planted)
    }
}
