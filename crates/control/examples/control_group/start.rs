//! Startup time after many accepted changes.

use std::time::{Duration, Instant};

use juniper_control_state::{Command, WriteHeader, to_bytes};
use juniper_protocol::{PeerRole, Request};
use juniper_settings::{ChangeSet, Edit, SettingsNode, SettingsPath};
use juniper_types::{ChangeId, Revision};

use crate::client::run;
use crate::cluster::{Cluster, wait_for};

const ZONE: &str = "zone-1";
const TENANTS: u64 = 150;

/// Interval between the timestamps of changes, in milliseconds, as the rate limit on writes allows.
const WRITE_INTERVAL_MS: u64 = 200;

fn path(text: String) -> SettingsPath {
    text.parse().expect("a path")
}

fn change(number: usize) -> Request {
    let number = number as u64;
    let mut node = SettingsNode::default();
    node.overrides.priority = Some((number % 9) as u8);
    let tenant = path(format!("/{ZONE}/tenant-{}", number % TENANTS));
    let mut edits = vec![Edit::Put { path: tenant, node: Box::new(node) }];
    if number == 0 {
        let zone = Edit::Put { path: path(format!("/{ZONE}")), node: Box::default() };
        edits.insert(0, zone);
    }
    let header = WriteHeader {
        base: Revision(number),
        change_id: ChangeId::new(format!("change-{number}")).expect("an id"),
        author: "measure".to_owned(),
        at_ms: (number + 1) * WRITE_INTERVAL_MS,
    };
    let command = Command::ChangeSettings { header, change: ChangeSet { edits } };
    Request::Propose { command: to_bytes(&command) }
}

pub async fn measure(changes: usize) {
    let mut cluster = Cluster::start(1).await;
    let address = cluster.replicas[0].internal;
    let deadline = Instant::now() + Duration::from_secs(600);
    let begin = Instant::now();
    let requests = (0..changes).map(change);
    // A window of one call, because calls run concurrently and each change is based on the previous.
    let outcome = run(address, PeerRole::Control, 900, 1, deadline, requests).await;
    assert_eq!(outcome.refused, 0, "no change is refused");
    let status = cluster.get(0, "/v1/status").await.expect("a status");
    assert_eq!(status["revision"].as_u64(), Some(changes as u64), "every change is accepted");
    println!("{changes} changes made in {:.1} s", begin.elapsed().as_secs_f64());
    cluster.replicas[0].kill();
    let killed_at = Instant::now();
    cluster.replicas[0].start();
    wait_for(async || cluster.get(0, "/v1/status").await).await;
    let serving = killed_at.elapsed();
    wait_for(async || {
        let settings = cluster.get(0, "/v1/settings").await?;
        (settings["revision"].as_u64()? == changes as u64).then_some(())
    })
    .await;
    println!(
        "start after {changes} changes: serving after {:.0} ms, confirmed after {:.0} ms",
        serving.as_secs_f64() * 1_000.0,
        killed_at.elapsed().as_secs_f64() * 1_000.0
    );
}
