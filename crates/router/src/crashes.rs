//! Detects requests that crash back ends, and refuses quarantined requests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use juniper_crash_watch::CrashWatch;
use juniper_feed::Feed;
use juniper_quarantine::{CrashProof, InterruptedParts};
use juniper_registry::InstanceId;
use juniper_types::{
    EngineId, FingerprintKey, Incarnation, NodeId, RequestContent, RequestFingerprint, TenantName,
    Timestamp,
};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::backends::BackEnds;
use crate::engines::Engines;
use crate::error::RequestError;

/// Time for which a back end is probed after a connection to it broke; long enough for a
/// supervisor to restart an engine and for a load report of its next incarnation to arrive.
const PROBE_DURATION: Duration = Duration::from_secs(4);

/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Timeout of a probe connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Content that identifies a request across retries.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Tenant of the request.
    pub tenant: &'a str,
    /// Body sent to the back end.
    pub body: &'a [u8],
}

/// One attempt of a request at a back end.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    /// Back end that the request was sent to.
    pub back_end: EngineId,
    /// Address of the back end.
    pub address: SocketAddr,
    /// Incarnation of the back end; only engines report one.
    pub incarnation: Option<Incarnation>,
    /// Time when the request was sent.
    pub sent_at: Timestamp,
}

/// Reports crashes of back ends to the crash watch, and checks requests for quarantine.
pub struct Crashes {
    watch: Arc<CrashWatch>,
    key: FingerprintKey,
    node: NodeId,
    engines: Arc<Engines>,
    back_ends: Arc<BackEnds>,
    /// Number of crashes observed of each back end. Distinguishes the incarnations of back ends
    /// that don't report one.
    crash_counts: Mutex<BTreeMap<EngineId, u64>>,
    /// Instances that are being probed.
    probed: Mutex<BTreeSet<InstanceId>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Crashes {
    /// Creates a reporter for `watch`, which the caller runs.
    pub fn new(
        watch: Arc<CrashWatch>,
        key: FingerprintKey,
        node: NodeId,
        (engines, back_ends): (Arc<Engines>, Arc<BackEnds>),
    ) -> Self {
        let (crash_counts, probed) = (Mutex::default(), Mutex::default());
        Crashes { watch, key, node, engines, back_ends, crash_counts, probed }
    }

    /// Returns the current time on the crash watch's clock.
    pub fn now(&self) -> Timestamp {
        self.watch.now()
    }

    fn fingerprint(&self, request: &RequestIdentity<'_>) -> RequestFingerprint {
        self.key.fingerprint(&RequestContent {
            method: request.method,
            host: "",
            path: request.path,
            tenant: Some(request.tenant),
            body: request.body,
        })
    }

    /// Checks a request for quarantine.
    ///
    /// # Errors
    /// [`RequestError::Quarantined`] when the request must not be sent to any back end.
    pub fn check(&self, id: &str, request: &RequestIdentity<'_>) -> Result<(), RequestError> {
        match self.watch.quarantined(|| self.fingerprint(request)) {
            None => Ok(()),
            Some(fingerprint) => {
                log::info!("event=quarantined request={id} fingerprint={fingerprint}");
                Err(RequestError::Quarantined)
            }
        }
    }

    /// Records that a back end has answered the request completely.
    pub fn record_completed(&self, id: &str, request: &RequestIdentity<'_>) {
        self.watch.record_completed_request(id, self.fingerprint(request));
    }

    /// Records that the connection broke before the answer was complete. A background task probes
    /// whether the back end has crashed.
    pub fn record_interrupted(
        self: &Arc<Self>,
        id: &str,
        request: &RequestIdentity<'_>,
        sent: SentAttempt,
    ) {
        let fingerprint = self.fingerprint(request);
        let instance = self.instance_id(&sent);
        log::info!("event=request_cut request={id} instance={instance} fingerprint={fingerprint}");
        if self.is_leaving(sent.back_end) {
            // A planned shutdown isn't evidence against the request.
            return;
        }
        self.watch.record_interrupted_request(
            &instance,
            sent.address,
            fingerprint,
            sent.sent_at,
            InterruptedParts::default(),
        );
        if lock(&self.probed).insert(instance.clone()) {
            let crashes = Arc::clone(self);
            tokio::spawn(async move {
                crashes.probe_for_crash(&instance, sent).await;
                lock(&crashes.probed).remove(&instance);
            });
        }
    }

    fn is_leaving(&self, back_end: EngineId) -> bool {
        self.back_ends.is_leaving(back_end) || self.engines.is_leaving(back_end)
    }

    /// Returns the id of the back-end instance that a request was sent to. All routers use the same
    /// id for an engine. For other back ends the id differs between routers; crashes reported for
    /// the same moment are counted once regardless of the id.
    fn instance_id(&self, sent: &SentAttempt) -> InstanceId {
        let back_end = sent.back_end;
        match sent.incarnation {
            Some(incarnation) => InstanceId::new(format!("{back_end}/{incarnation}")),
            None => {
                let crashes = lock(&self.crash_counts).get(&back_end).copied().unwrap_or(0);
                InstanceId::new(format!("{back_end}/{}-{crashes}", self.node))
            }
        }
    }

    /// Probes the back end until its crash is proved or [`PROBE_DURATION`] has passed.
    async fn probe_for_crash(&self, instance: &InstanceId, sent: SentAttempt) {
        let started = Instant::now();
        while started.elapsed() < PROBE_DURATION {
            if let Some(proof) = self.find_proof(&sent).await {
                *lock(&self.crash_counts).entry(sent.back_end).or_default() += 1;
                return self.watch.record_server_crash(instance, proof);
            }
            sleep(PROBE_INTERVAL).await;
        }
    }

    async fn find_proof(&self, sent: &SentAttempt) -> Option<CrashProof> {
        let known = self.engines.position(sent.back_end).map(|(incarnation, _)| incarnation);
        if sent.incarnation.is_some() && known.is_some() && known != sent.incarnation {
            return Some(CrashProof::NewIncarnation);
        }
        let opening = timeout(CONNECT_TIMEOUT, TcpStream::connect(sent.address)).await;
        let refused =
            |error: &std::io::Error| error.kind() == std::io::ErrorKind::ConnectionRefused;
        matches!(&opening, Ok(Err(error)) if refused(error)).then_some(CrashProof::Refused)
    }
}

/// Applies the quarantines recorded by the replicas to the crash watch until the feed ends.
pub async fn apply_quarantines(feed: Feed, watch: Arc<CrashWatch>) {
    let mut view = feed.view();
    loop {
        let latest = Arc::clone(&view.borrow_and_update());
        watch.apply_view(&latest);
        if view.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the content that identifies a tenant's request.
pub fn request_identity<'a>(
    method: &'a str,
    path: &'a str,
    tenant: &'a TenantName,
    body: &'a [u8],
) -> RequestIdentity<'a> {
    RequestIdentity { method, path, tenant: tenant.as_str(), body }
}
