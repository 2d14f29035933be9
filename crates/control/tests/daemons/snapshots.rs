//! Snapshots take the log's place and bring a blank disk up to date.

use serde_json::{Value, json};

use crate::support::group::Group;

/// Enough changes of this size to fill more than one snapshot interval of 8 MiB.
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

async fn snapshot_index(group: &Group, at: usize) -> u64 {
    let (_, status) = group.daemon(at).get("/v1/status").await;
    status["snapshot_index"].as_u64().unwrap()
}

#[tokio::test]
async fn a_blank_disk_gets_the_snapshot_when_the_log_is_gone() {
    let mut group = Group::start().await;
    for base in 0..CHANGES {
        let change = large_change(base);
        let (status, body) = group.daemon(0).post("/v1/settings/changes", &change).await;
        assert_eq!((status, &body["revision"]), (200, &(base + 1).into()), "{body}");
    }
    for at in 0..3 {
        group.wait_for("a snapshot", async || snapshot_index(&group, at).await > 0).await;
    }
    let leader = group.leader().await;
    let blank = (leader + 1) % 3;
    group.stop(blank).await;
    std::fs::remove_dir_all(&group.settings[blank].data_folder).unwrap();
    // After a restart the others hold no entries from before their snapshots.
    for at in (0..3).filter(|at| *at != blank) {
        group.restart(at).await;
    }
    group.leader().await;
    group.restart(blank).await;
    let up_to_date = async || {
        let (_, tree) = group.daemon(blank).get("/v1/settings?stale=true").await;
        tree["revision"] == CHANGES && snapshot_index(&group, blank).await > 0
    };
    group.wait_for("the blank disk to be up to date", up_to_date).await;
    let (status, body) =
        group.daemon(blank).post("/v1/settings/changes", &large_change(CHANGES - 1)).await;
    assert_eq!((status, &body["revision"]), (200, &CHANGES.into()), "{body}");
    group.stop_all().await;
}
