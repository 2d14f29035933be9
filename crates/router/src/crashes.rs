//! Requests that end the back ends that run them, as this router sees them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use juniper_crash_watch::CrashWatch;
use juniper_feed::Feed;
use juniper_quarantine::CrashProof;
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

/// Time for which a back end is looked at after a connection to it broke: a supervisor has an
/// engine back, and a load report of its next life read, within some seconds.
const LOOK_FOR: Duration = Duration::from_secs(4);

/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(150);

/// Time within which a connection must stand.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A request by what it asks.
#[derive(Clone, Copy, Debug)]
pub struct AskedRequest<'a> {
    /// The method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Whose request it is.
    pub tenant: &'a str,
    /// What is sent to the back end.
    pub body: &'a [u8],
}

/// A back end to which a request was sent.
#[derive(Clone, Copy, Debug)]
pub struct SentTo {
    /// The back end.
    pub back_end: EngineId,
    /// Where.
    pub address: SocketAddr,
    /// Its life, of an engine that has told it.
    pub incarnation: Option<Incarnation>,
    /// When the request was sent.
    pub sent_at: Timestamp,
}

/// Reports ends of back ends to the watch, and asks it before anything is sent.
pub struct Crashes {
    watch: Arc<CrashWatch>,
    key: FingerprintKey,
    node: NodeId,
    engines: Arc<Engines>,
    back_ends: Arc<BackEnds>,
    /// Ends seen of each back end. Back ends other than engines don't tell which life they are in.
    ends_seen: Mutex<BTreeMap<EngineId, u64>>,
    /// Back ends that are being looked at.
    looked_at: Mutex<BTreeSet<InstanceId>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Crashes {
    /// Uses the watch, which runs beside it.
    pub fn new(
        watch: Arc<CrashWatch>,
        key: FingerprintKey,
        node: NodeId,
        (engines, back_ends): (Arc<Engines>, Arc<BackEnds>),
    ) -> Self {
        let (ends_seen, looked_at) = (Mutex::default(), Mutex::default());
        Crashes { watch, key, node, engines, back_ends, ends_seen, looked_at }
    }

    /// The time of what is reported.
    pub fn now(&self) -> Timestamp {
        self.watch.now()
    }

    fn name(&self, asked: &AskedRequest<'_>) -> RequestFingerprint {
        self.key.fingerprint(&RequestContent {
            method: asked.method,
            host: "",
            path: asked.path,
            tenant: Some(asked.tenant),
            body: asked.body,
        })
    }

    /// Refuses a request under which back ends ended.
    ///
    /// # Errors
    /// Fails when it must be sent to none.
    pub fn check(&self, id: &str, asked: &AskedRequest<'_>) -> Result<(), RequestError> {
        match self.watch.quarantined(|| self.name(asked)) {
            None => Ok(()),
            Some(fingerprint) => {
                log::info!("event=quarantined request={id} fingerprint={fingerprint}");
                Err(RequestError::Quarantined)
            }
        }
    }

    /// A back end has answered the request whole.
    pub fn note_answered(&self, id: &str, asked: &AskedRequest<'_>) {
        self.watch.record_completed_request(id, self.name(asked));
    }

    /// The connection broke before the answer was whole. Whether the back end has ended is found
    /// out beside the request.
    pub fn note_cut(self: &Arc<Self>, id: &str, asked: &AskedRequest<'_>, sent: SentTo) {
        let fingerprint = self.name(asked);
        let life = self.life(&sent);
        log::info!("event=request_cut request={id} instance={life} fingerprint={fingerprint}");
        if self.is_leaving(sent.back_end) {
            // Its end is planned, and says nothing of the request.
            return;
        }
        self.watch.record_interrupted_request(&life, sent.address, fingerprint, sent.sent_at);
        if lock(&self.looked_at).insert(life.clone()) {
            let crashes = Arc::clone(self);
            tokio::spawn(async move {
                crashes.look(&life, sent).await;
                lock(&crashes.looked_at).remove(&life);
            });
        }
    }

    fn is_leaving(&self, back_end: EngineId) -> bool {
        self.back_ends.is_leaving(back_end) || self.engines.is_leaving(back_end)
    }

    /// The name of the life that a request was sent to. Lives of engines have one name at all
    /// routers. Those of other back ends have one at each router; ends at the same moment count
    /// once, whatever they are called.
    fn life(&self, sent: &SentTo) -> InstanceId {
        let back_end = sent.back_end;
        match sent.incarnation {
            Some(incarnation) => InstanceId::new(format!("{back_end}/{incarnation}")),
            None => {
                let ends = lock(&self.ends_seen).get(&back_end).copied().unwrap_or(0);
                InstanceId::new(format!("{back_end}/{}-{ends}", self.node))
            }
        }
    }

    /// Finds out whether the life has ended.
    async fn look(&self, life: &InstanceId, sent: SentTo) {
        let begun = Instant::now();
        while begun.elapsed() < LOOK_FOR {
            if let Some(proof) = self.proof(&sent).await {
                *lock(&self.ends_seen).entry(sent.back_end).or_default() += 1;
                return self.watch.record_server_crash(life, proof);
            }
            sleep(LOOK_PAUSE).await;
        }
    }

    async fn proof(&self, sent: &SentTo) -> Option<CrashProof> {
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

/// Takes over what the replicas have recorded, for ever.
pub async fn follow_quarantine(feed: Feed, watch: Arc<CrashWatch>) {
    let mut view = feed.view();
    loop {
        let latest = Arc::clone(&view.borrow_and_update());
        watch.apply_view(&latest);
        if view.changed().await.is_err() {
            return;
        }
    }
}

/// What a tenant's request asks.
pub fn asked<'a>(
    method: &'a str,
    path: &'a str,
    tenant: &'a TenantName,
    body: &'a [u8],
) -> AskedRequest<'a> {
    AskedRequest { method, path, tenant: tenant.as_str(), body }
}
