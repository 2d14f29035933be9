//! Snapshots: compaction of the log, and installation on a blank disk.

use serde_json::{Value, json};

use crate::support::cluster::Cluster;

/// Number of changes that together exceed the snapshot interval of 8 MiB.
const CHANGES: u64 = 170;
const TEXT_BYTES: usize = 28 << 10;

fn large_change(base: u64) -> Value {
    let text = format!("{base:08}").repeat(TEXT_BYTES / 8);
    let node = json!({ "overrides": { "warm_prefixes": [text.clone(), text] } });
    json!({
        "base_revision": base,
        "change_id": format!("large-{base}"),
        "edits": [{ "edit": "put", "path": "/hartford", "node": node }],
    })
}

async fn snapshot_index(cluster: &Cluster, at: usize) -> u64 {
    let (_, status) = cluster.daemon(at).get("/v1/status").await;
    status["snapshot_index"].as_u64().unwrap()
}

#[tokio::test]
async fn replica_with_a_blank_disk_gets_a_snapshot_after_log_compaction() {
    let mut cluster = Cluster::start().await;
    for base in 0..CHANGES {
        let change = large_change(base);
        let (status, body) = cluster.daemon(0).post("/v1/settings/changes", &change).await;
        assert_eq!((status, &body["revision"]), (200, &(base + 1).into()), "{body}");
    }
    for at in 0..3 {
        cluster.wait_for("a snapshot", async || snapshot_index(&cluster, at).await > 0).await;
    }
    let leader = cluster.leader().await;
    let blank = (leader + 1) % 3;
    cluster.stop(blank).await;
    std::fs::remove_dir_all(&cluster.settings[blank].data_folder).unwrap();
    // After a restart the others hold no entries from before their snapshots.
    for at in (0..3).filter(|at| *at != blank) {
        cluster.restart(at).await;
    }
    cluster.leader().await;
    cluster.restart(blank).await;
    let up_to_date = async || {
        let (_, tree) = cluster.daemon(blank).get("/v1/settings?stale=true").await;
        tree["revision"] == CHANGES && snapshot_index(&cluster, blank).await > 0
    };
    cluster.wait_for("the blank disk to be up to date", up_to_date).await;
    let (status, body) =
        cluster.daemon(blank).post("/v1/settings/changes", &large_change(CHANGES - 1)).await;
    assert_eq!((status, &body["revision"]), (200, &CHANGES.into()), "{body}");
    cluster.stop_all().await;
}
