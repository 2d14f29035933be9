//! Sizes of the account, derived from the limits of the machine.

/// Memory that a process needs for itself before any caller connects, in bytes.
const OWN_MEMORY: usize = 24_000_000;

/// Share of the rest that the account covers. What remains is for state that grows with the
/// deployment, and for what the allocator can't give back at once.
const ACCOUNT_SHARE: f64 = 0.6;

/// Smallest account, in bytes: two bodies of the largest size that configurations use, and some
/// connections.
const MIN_ACCOUNT: usize = 12 << 20;

/// Memory of a process whose settings don't state it, in bytes.
const DEFAULT_MEMORY: usize = 512_000_000;

/// Descriptors of a process whose settings don't state them.
const DEFAULT_DESCRIPTORS: usize = 4_096;

/// Descriptors that are kept for files, as the platform does.
const FILE_DESCRIPTORS: usize = 200;

/// Share of the other descriptors that callers may take. The rest is for servers, replicas, other
/// routers and readiness checks.
const CALLER_DESCRIPTOR_SHARE: f64 = 0.75;

/// Share of the account that connections may take.
const CONNECTION_SHARE: f64 = 0.75;

/// Share of the account that is kept for connections, so that bodies can't keep callers out.
const CONNECTION_RESERVE: f64 = 0.2;

/// Share of what bodies and answers may take that large bodies may take.
const LARGE_SHARE: f64 = 0.75;

/// Share of what bodies and answers may take that answers may take, so that callers who don't read theirs
/// leave room for bodies.
const ANSWER_SHARE: f64 = 0.5;

/// Body above which a request counts as large, in bytes.
const LARGE_BODY_BYTES: usize = 256 << 10;

/// Smallest memory that a process may be given, in bytes.
const MIN_MEMORY: usize = 32_000_000;

/// Fewest descriptors that a process may be given.
const MIN_DESCRIPTORS: usize = 300;

/// Limits of the machine that a process runs on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory that the process may take, in bytes, if known.
    pub memory: Option<usize>,
    /// Descriptors that the process may open, if known.
    pub descriptors: Option<usize>,
}

/// A machine that is too small.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MachineFault {
    /// The memory doesn't hold the process and one request of the largest size.
    #[error("{given} bytes of memory are less than the {MIN_MEMORY} that a process needs")]
    Memory {
        /// Memory in the settings, in bytes.
        given: usize,
    },
    /// The descriptors don't suffice for files and a few connections.
    #[error("{given} descriptors are fewer than the {MIN_DESCRIPTORS} that a process needs")]
    Descriptors {
        /// Descriptors in the settings.
        given: usize,
    },
}

/// Bytes in a megabyte.
const MEGABYTE: usize = 1_000_000;

impl MachineLimits {
    /// Limits from settings that state the memory in megabytes.
    pub fn from_megabytes(memory_mb: Option<usize>, descriptors: Option<usize>) -> Self {
        MachineLimits { memory: memory_mb.map(|megabytes| megabytes * MEGABYTE), descriptors }
    }

    /// Descriptors for connections: all but those that are kept for files.
    pub fn connection_descriptors(&self) -> usize {
        self.descriptors.unwrap_or(DEFAULT_DESCRIPTORS).saturating_sub(FILE_DESCRIPTORS)
    }

    /// Checks that a process can run within the limits.
    ///
    /// # Errors
    /// Fails for a machine that is too small.
    pub fn check(&self) -> Result<(), MachineFault> {
        if let Some(given) = self.memory.filter(|memory| *memory < MIN_MEMORY) {
            return Err(MachineFault::Memory { given });
        }
        match self.descriptors.filter(|descriptors| *descriptors < MIN_DESCRIPTORS) {
            Some(given) => Err(MachineFault::Descriptors { given }),
            None => Ok(()),
        }
    }
}

/// Sizes of the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Bytes that all callers together may make the process hold.
    pub total: usize,
    /// Bytes of these that connections may take.
    pub for_connections: usize,
    /// Bytes of these that bodies and answers may not take.
    pub kept_for_connections: usize,
    /// Bytes of these that large bodies may take.
    pub for_large: usize,
    /// Bytes of these that answers may take.
    pub for_answers: usize,
    /// Body above which a request counts as large, in bytes.
    pub large_body: usize,
    /// Largest number of connections.
    pub connections: usize,
}

impl BudgetLimits {
    /// Derives the sizes for a machine.
    pub fn of_machine(machine: MachineLimits) -> Self {
        let memory = machine.memory.unwrap_or(DEFAULT_MEMORY);
        let for_account = share(memory.saturating_sub(OWN_MEMORY), ACCOUNT_SHARE);
        let total = for_account.max(MIN_ACCOUNT);
        let kept_for_connections = share(total, CONNECTION_RESERVE);
        let for_callers = share(machine.connection_descriptors(), CALLER_DESCRIPTOR_SHARE);
        BudgetLimits {
            total,
            for_connections: share(total, CONNECTION_SHARE),
            kept_for_connections,
            for_large: share(total - kept_for_connections, LARGE_SHARE),
            for_answers: share(total - kept_for_connections, ANSWER_SHARE),
            large_body: LARGE_BODY_BYTES,
            connections: for_callers.max(1),
        }
    }
}

fn share(bytes: usize, share: f64) -> usize {
    (bytes as f64 * share) as usize
}
