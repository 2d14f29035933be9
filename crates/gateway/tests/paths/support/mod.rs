//! A gateway on loopback with a fake control replica and fake servers.

pub mod caller;
pub mod control;
pub mod dialect;
pub mod link;
pub mod router;
pub mod server;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use juniper_catalog::{
    Catalog, EngineProfile, LimitUnit, RequestLimits, Route, RouteKind, Service, SplitPart, Tenant,
    TenantLimit,
};
use juniper_feed::{Feed, FeedSettings};
use juniper_gateway::{GatewaySettings, Listeners, run};
use juniper_placement::RetrySettings;
use juniper_protocol::{ClusterKey, PeerIdentity, PeerRole};
use juniper_types::{FingerprintKey, NodeId, ZoneName};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use control::FakeControl;
use dialect::TestDialect;
use server::FakeServer;

pub const KEY: &str = "a cluster key for tests";

/// Retry budget with which the first request already earns a retry for itself.
const RETRIES: RetrySettings =
    RetrySettings { ratio: 10.0, free: 50.0, window: Duration::from_secs(10) };

/// Timeout for conditions that must come true.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub fn zone() -> ZoneName {
    ZoneName::new("north").expect("valid")
}

pub fn identity(role: PeerRole, number: u64) -> PeerIdentity {
    PeerIdentity { node: NodeId(number), role, zone: zone(), incarnation: None }
}

fn route(path: &str, kind: RouteKind, max_attempts: u32) -> Route {
    Route {
        name: path.trim_matches('/').to_owned(),
        host: "test.example".to_owned(),
        path_prefix: path.to_owned(),
        kind,
        timeout_ms: 3_000,
        objective_ms: 300,
        priority: 1,
        split: vec![SplitPart { service: "app".to_owned(), weight: 1 }],
        max_attempts,
        anonymous: false,
        has_prompt: false,
        resumable: false,
        max_pause_ms: Some(200),
    }
}

/// Limit of `tenant-2`.
pub const LIMIT: TenantLimit =
    TenantLimit { per_second: 1_000.0, burst: 500.0, unit: LimitUnit::Tokens { plain: 200 } };

fn tenant(name: &str, key: &str, limit: Option<TenantLimit>) -> Tenant {
    let keys = vec![key.to_owned()];
    Tenant { name: name.to_owned(), keys, priority: None, isolated: false, limit }
}

/// Catalog with routes of each kind, a tenant with a limit and one without, and one service.
pub fn catalog() -> Catalog {
    let resumable = Route { resumable: true, ..route("/resumable/", RouteKind::Stream, 2) };
    Catalog {
        version: 1,
        routes: vec![
            route("/safe/", RouteKind::Repeatable, 2),
            route("/once/", RouteKind::AtMostOnce, 1),
            route("/stream/", RouteKind::Stream, 1),
            resumable,
            Route { timeout_ms: 400, ..route("/hasty/", RouteKind::AtMostOnce, 1) },
        ],
        services: vec![Service {
            name: "app".to_owned(),
            health_path: "/health".to_owned(),
            max_connections: 50,
            engine: None,
            store: None,
        }],
        limits: RequestLimits { body_bytes: 1_000, ..RequestLimits::default() },
        tenants: vec![tenant("tenant-1", "good", None), tenant("tenant-2", "limited", Some(LIMIT))],
    }
}

/// Catalog whose service runs engines, and so has tight objectives.
pub fn tight_catalog() -> Catalog {
    let engine = EngineProfile {
        slots: 8,
        cache_tokens: 100_000,
        token_bytes: 1_000,
        link_mbps: 1_000.0,
        event_calls: 2,
        models: Vec::new(),
    };
    let mut catalog = catalog();
    catalog.services[0].engine = Some(engine);
    catalog
}

/// A running gateway, aborted when dropped.
pub struct TestGateway {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    /// Address for other routers.
    pub internal: SocketAddr,
    pub control: FakeControl,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

/// Binds a listener to a free port and returns its address too.
async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

impl TestGateway {
    /// Starts a gateway with `servers` and waits until it is ready.
    pub async fn start(servers: &[&FakeServer]) -> Self {
        Self::start_unready(servers).await.ready().await
    }

    /// Starts a gateway whose service has tight objectives, and waits until it is ready.
    pub async fn start_tight(servers: &[&FakeServer]) -> Self {
        Self::start_with_catalog(tight_catalog(), servers, |_| ()).await.ready().await
    }

    /// Confirms the configuration and waits until the gateway is ready.
    pub async fn ready(self) -> Self {
        let gateway = self;
        gateway.control.confirm();
        let ready = async {
            while caller::ask(gateway.readiness, "GET / HTTP/1.1\r\nHost: x\r\n\r\n").await.status
                != 200
            {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, ready).await.expect("ready in time");
        gateway
    }

    /// Starts a gateway whose replica doesn't confirm yet.
    pub async fn start_unready(servers: &[&FakeServer]) -> Self {
        Self::start_with(servers, |_| ()).await
    }

    /// Starts a gateway after `prepare` has configured its replica.
    pub async fn start_with(servers: &[&FakeServer], prepare: impl FnOnce(&FakeControl)) -> Self {
        Self::start_with_catalog(catalog(), servers, prepare).await
    }

    /// Starts a gateway with a catalog after `prepare` has configured its replica.
    pub async fn start_with_catalog(
        catalog: Catalog,
        servers: &[&FakeServer],
        prepare: impl FnOnce(&FakeControl),
    ) -> Self {
        Self::start_changed(catalog, servers, |_| (), prepare).await
    }

    /// Starts a gateway whose retry budget is always spent, and waits until it is ready.
    pub async fn start_without_retries(servers: &[&FakeServer]) -> Self {
        let no_retries = RetrySettings { ratio: 0.0, free: 0.0, window: Duration::from_secs(10) };
        let change = |settings: &mut GatewaySettings| settings.retry = no_retries;
        Self::start_changed(catalog(), servers, change, |_| ()).await.ready().await
    }

    /// Starts a gateway on a link of this capacity, in bytes per second, and waits until it is ready.
    pub async fn start_with_link(catalog: Catalog, servers: &[&FakeServer], capacity: f64) -> Self {
        let change =
            |settings: &mut GatewaySettings| settings.link_bytes_per_second = Some(capacity);
        Self::start_changed(catalog, servers, change, |_| ()).await.ready().await
    }

    /// Starts a gateway with changed settings.
    pub async fn start_changed(
        catalog: Catalog,
        servers: &[&FakeServer],
        change: impl FnOnce(&mut GatewaySettings),
        prepare: impl FnOnce(&FakeControl),
    ) -> Self {
        let reports = servers.iter().map(|server| server.report()).collect();
        let control = FakeControl::start(catalog, reports).await;
        prepare(&control);
        let feed = Feed::start(FeedSettings {
            key: ClusterKey::from_text(KEY).expect("long enough"),
            own: identity(PeerRole::Router, 77),
            seeds: vec![control.node],
            addresses: Default::default(),
        });
        let (caller_listener, callers) = listener().await;
        let (readiness_listener, readiness) = listener().await;
        let (internal_listener, internal) = listener().await;
        let listeners =
            Listeners::from_bound(caller_listener, internal_listener, readiness_listener);
        let mut settings = GatewaySettings {
            node: "gateway".to_owned(),
            zone: "north".to_owned(),
            retry: RETRIES,
            revoke_within: Duration::from_secs(5),
            renew_within: Duration::from_secs(8),
            fingerprint_key: FingerprintKey::new([7; 32]),
            grace_period: Duration::from_secs(8),
            link_bytes_per_second: None,
            machine: Default::default(),
        };
        change(&mut settings);
        let (stop, stop_requested) = oneshot::channel::<()>();
        let stop_requested = async {
            if stop_requested.await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        let task = tokio::spawn(async move {
            run(settings, TestDialect, feed, listeners, stop_requested)
                .await
                .expect("gateway runs");
        });
        TestGateway { callers, readiness, internal, control, stop: Some(stop), task }
    }

    /// Starts a planned shutdown.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }

    /// Waits until a planned shutdown has completed.
    pub async fn wait_until_stopped(&mut self) {
        tokio::time::timeout(TEST_TIMEOUT, &mut self.task)
            .await
            .expect("in time")
            .expect("no panic");
    }
}

impl Drop for TestGateway {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub fn loopback(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}
