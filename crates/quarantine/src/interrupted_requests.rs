//! Interrupted requests, until it is known whether their server crashed.
//!
//! A request is also interrupted by a connection reset, a network partition or a malformed answer.
//! A crash is proven when the server refuses new connections, or when another incarnation appears
//! at its address.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use juniper_registry::InstanceId;
use juniper_types::{RequestFingerprint, Timestamp};

/// Time after the last interruption within which a crash can be proven. Longer than a supervisor
/// takes to restart a server (3.2 to 3.4 s).
const PROOF_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of interrupted requests that wait for a proof; further ones are ignored.
const MAX_PENDING: usize = 1_024;

/// Maximum number of prompt parts per server that wait for a proof; further ones are ignored.
const MAX_PENDING_PARTS: usize = 256;

/// Proof of a server's crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashProof {
    /// The server refused a connection.
    Refused,
    /// Another incarnation has the server's address.
    NewIncarnation,
}

impl CrashProof {
    /// The value used in logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            CrashProof::Refused => "refused",
            CrashProof::NewIncarnation => "new_life",
        }
    }
}

/// Crash of a server while requests were in flight on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerCrash {
    /// Incarnation of the crashed server.
    pub instance: InstanceId,
    /// Proof of the crash.
    pub proof: CrashProof,
    /// Interrupted requests that weren't returned with an earlier crash of this incarnation.
    pub requests: Vec<InterruptedRequest>,
    /// Shared parts of the interrupted prompts that weren't returned with an earlier crash of this
    /// incarnation.
    pub parts: Vec<RequestFingerprint>,
    /// Part that was on trial at the server.
    pub trial: Option<RequestFingerprint>,
    /// When the latest connection broke.
    pub interrupted_at: Timestamp,
}

/// Shared parts of an interrupted prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InterruptedParts<'a> {
    /// Parts of the prompt that other prompts may share.
    pub parts: &'a [RequestFingerprint],
    /// Part that the request tried.
    pub trial: Option<RequestFingerprint>,
}

/// Request whose connection broke before the answer was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InterruptedRequest {
    /// Fingerprint of the request.
    pub request: RequestFingerprint,
    /// When the request was dispatched to the server.
    pub sent_at: Timestamp,
    /// When the connection broke.
    pub interrupted_at: Timestamp,
}

#[derive(Clone, Debug)]
struct SuspectedServer {
    address: SocketAddr,
    last_interrupted_at: Timestamp,
    proof: Option<CrashProof>,
    pending: BTreeMap<RequestFingerprint, InterruptedRequest>,
    pending_parts: BTreeSet<RequestFingerprint>,
    trial: Option<RequestFingerprint>,
}

/// Interrupted requests by server.
#[derive(Clone, Debug, Default)]
pub struct InterruptedRequests {
    servers: BTreeMap<InstanceId, SuspectedServer>,
}

impl InterruptedRequests {
    /// Records an interrupted request to a server that wasn't departing. Returns the crash if the
    /// server is already known to have crashed.
    pub fn record(
        &mut self,
        instance: &InstanceId,
        address: SocketAddr,
        interrupted: InterruptedRequest,
        prompt: InterruptedParts<'_>,
    ) -> Option<ServerCrash> {
        let now = interrupted.interrupted_at;
        self.remove_expired(now);
        let pending: usize = self.servers.values().map(|server| server.pending.len()).sum();
        if pending >= MAX_PENDING {
            return None;
        }
        let server = self.servers.entry(instance.clone()).or_insert_with(|| SuspectedServer {
            address,
            last_interrupted_at: now,
            proof: None,
            pending: BTreeMap::new(),
            pending_parts: BTreeSet::new(),
            trial: None,
        });
        server.last_interrupted_at = now;
        server.pending.entry(interrupted.request).or_insert(interrupted);
        let room = MAX_PENDING_PARTS.saturating_sub(server.pending_parts.len());
        server.pending_parts.extend(prompt.parts.iter().take(room));
        server.trial = server.trial.or(prompt.trial);
        let proof = server.proof?;
        self.record_proof(instance, proof, now)
    }

    /// Records proof of a server's crash. Returns the crash if interrupted requests are pending.
    pub fn record_proof(
        &mut self,
        instance: &InstanceId,
        proof: CrashProof,
        now: Timestamp,
    ) -> Option<ServerCrash> {
        self.remove_expired(now);
        let server = self.servers.get_mut(instance)?;
        let proof = *server.proof.get_or_insert(proof);
        let requests: Vec<_> = std::mem::take(&mut server.pending).into_values().collect();
        let parts = std::mem::take(&mut server.pending_parts).into_iter().collect();
        let (trial, interrupted_at) = (server.trial, server.last_interrupted_at);
        let instance = instance.clone();
        let crash = ServerCrash { instance, proof, requests, parts, trial, interrupted_at };
        (!crash.requests.is_empty()).then_some(crash)
    }

    /// Finds servers whose address now belongs to another incarnation. `incarnation_at` returns the
    /// known incarnation at an address.
    pub fn find_new_incarnations<'a>(
        &mut self,
        now: Timestamp,
        incarnation_at: impl Fn(SocketAddr) -> Option<&'a InstanceId>,
    ) -> Vec<ServerCrash> {
        let has_new_incarnation = |id: &InstanceId, server: &SuspectedServer| {
            incarnation_at(server.address).is_some_and(|known| !known.is_same(id))
        };
        let unproven = self.servers.iter().filter(|(_, server)| server.proof.is_none());
        let replaced: Vec<InstanceId> = unproven
            .filter(|(id, server)| has_new_incarnation(id, server))
            .map(|(id, _)| id.clone())
            .collect();
        let crashes =
            replaced.iter().filter_map(|id| self.record_proof(id, CrashProof::NewIncarnation, now));
        crashes.collect()
    }

    /// Whether no interrupted requests are tracked.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Removes servers whose time for a proof has passed: they didn't crash.
    fn remove_expired(&mut self, now: Timestamp) {
        self.servers.retain(|_, server| now.since(server.last_interrupted_at) < PROOF_TIMEOUT);
    }
}
