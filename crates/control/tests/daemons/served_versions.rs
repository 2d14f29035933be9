//! What a replica states of the software versions that have served, and since when it knows all.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use juniper_control::Renewals;
use juniper_protocol::{Connection, Message, Reply, Request, connect};
use juniper_registry::{
    Instance, InstanceMap, InstanceName, InstanceReport, InstanceState, SoftwareVersion, StartTime,
};
use juniper_settings::PeerDiscovery;
use juniper_stream_origins::ServedVersions;
use tokio::time::{Duration, Instant, sleep, timeout};

use crate::seeded::{Deployment, Seeded, put_catalog, reopen_listeners, wipe};
use crate::support::{TEST_TIMEOUT, key, router_identity};

/// Longer than any stream lasts.
const WINDOW: Duration = Duration::from_secs(60);

async fn connect_router(replica: &Seeded) -> Connection {
    connect(replica.settings.internal, &key(), &router_identity(200)).await.expect("connect")
}

async fn served(router: &mut Connection) -> ServedVersions {
    let request = Request::FindServedVersions { service: "app".to_owned() };
    router.writer.send(&Message::Request { call: 1, request }).await.expect("send the call");
    let answered = async {
        loop {
            if let Message::Reply { reply: Reply::ServedVersions(served), .. } =
                router.reader.receive().await.expect("a message")
            {
                return served;
            }
        }
    };
    timeout(TEST_TIMEOUT, answered).await.expect("a reply in time")
}

/// Asks a replica until the condition holds.
async fn wait_for(replica: &Seeded, what: &str, is_met: impl Fn(&ServedVersions) -> bool) {
    let (mut router, asked_at) = (connect_router(replica).await, Instant::now());
    loop {
        let served = served(&mut router).await;
        if is_met(&served) {
            return;
        }
        assert!(asked_at.elapsed() < TEST_TIMEOUT, "{what}: {served:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// List with one server of this version.
fn list(software: &str) -> InstanceMap {
    let report = InstanceReport {
        name: InstanceName::new(software),
        started: StartTime::UNKNOWN,
        software: SoftwareVersion::new(software),
        service: "app".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 80),
        zone: "north".to_owned(),
        slots: 1,
        state: InstanceState::Ready,
        cold_remaining_ms: 0,
        models: Vec::new(),
        sequence: 1,
    };
    [Arc::new(Instance::of(report))].into_iter().collect()
}

/// Whether `v1` is known to have gone, `v2` to serve, and nothing else to have served within the window.
fn knows_both(served: &ServedVersions) -> bool {
    let is_gone = |software: &str| {
        let software = SoftwareVersion::new(software);
        let known = served.versions.iter().find(|version| version.software == software);
        known.map(|version| version.gone_ms.is_some())
    };
    served.covers(WINDOW) && is_gone("v1") == Some(true) && is_gone("v2").is_some()
}

// Guards against a replica that has lost its disk or its quorum and states that it knows all versions that
// have served, and against one that forgets them with a restart.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_without_memory_or_contact_states_that_it_knows_all_versions() {
    let (_deployment, mut replicas) = Deployment::found().await;
    for replica in &replicas {
        wait_for(replica, "nothing has served before", |served| served.covers(WINDOW)).await;
    }
    put_catalog(&replicas[0], 1).await;
    for replica in &replicas {
        replica.calls.publish_fleet(&list("v1"), Renewals::default());
        replica.calls.publish_fleet(&list("v2"), Renewals::default());
        wait_for(replica, "both versions", knows_both).await;
    }
    // The file is written within a moment.
    sleep(Duration::from_secs(1)).await;
    let settings = replicas.pop().expect("a replica").stop().await;
    let listeners = reopen_listeners(&settings).await;
    let restarted = Seeded::start(settings, listeners);
    wait_for(&restarted, "both versions after a restart", knows_both).await;
    // A blank replica remembers nothing, and the configuration shows that servers have served.
    let mut settings = restarted.stop().await;
    wipe(&settings.data_folder);
    if let PeerDiscovery::Seeded { bootstrap, .. } = &mut settings.discovery {
        *bootstrap = false;
    }
    let listeners = reopen_listeners(&settings).await;
    let blank = Seeded::start(settings, listeners);
    let started = Instant::now();
    let mut router = connect_router(&blank).await;
    while started.elapsed() < Duration::from_secs(6) {
        let served = served(&mut router).await;
        assert!(Duration::from_millis(served.known_ms) <= started.elapsed(), "{served:?}");
        sleep(Duration::from_millis(50)).await;
    }
    // Without a quorum servers may report elsewhere.
    blank.stop().await;
    replicas.pop().expect("a replica").stop().await;
    wait_for(&replicas[0], "no contact", |served| served.known_ms == 0).await;
}
