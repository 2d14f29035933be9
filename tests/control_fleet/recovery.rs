//! `recover` after two of three replicas lost their disks.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;

use serde_json::Value;

use crate::replicas::Fleet;
use crate::{resend_changes, write_changes};

/// Runs `recover` on `folders`; returns its exit code and JSON output.
fn recover(folders: &[&Path], options: &[&str]) -> (Option<i32>, Value) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_juniperhollow"));
    command.args(["recover", "--format", "json"]).args(options);
    for folder in folders {
        command.arg("--folder").arg(folder);
    }
    let output = command.output().expect("the binary runs");
    (output.status.code(), serde_json::from_slice(&output.stdout).unwrap_or(Value::Null))
}

/// Reads all files of a folder, by file name.
fn read_files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = std::fs::read_dir(folder).expect("the folder is there");
    let read = |entry: std::io::Result<std::fs::DirEntry>| {
        let entry = entry.expect("an entry");
        let bytes = std::fs::read(entry.path()).expect("a file");
        (entry.file_name().to_string_lossy().into_owned(), bytes)
    };
    entries.map(read).collect()
}

fn node_ids(list: &Value) -> Vec<u64> {
    let list = list.as_array().expect("a list");
    list.iter().map(|item| item["node"].as_u64().expect("a node")).collect()
}

#[tokio::test]
async fn the_survivor_of_a_lost_quorum_keeps_every_accepted_change_after_recovery() {
    let mut fleet = Fleet::start(3).await;
    let mut changes = write_changes(&fleet, &[0, 1, 2], 1, 6).await;
    let leader = fleet.leader().await;
    let survivor = fleet.others(leader)[0];
    let lost = fleet.others(survivor);
    // A quorum may accept a change without the survivor: wait until it has all of them.
    assert_eq!(fleet.confirmed_revision(survivor).await, 6);
    let data = fleet.replicas[survivor].data_folder();
    assert_eq!(
        recover(&[&data], &["--apply"]).0,
        Some(1),
        "recover succeeded while the replica was running"
    );
    for at in &lost {
        fleet.replicas[*at].kill();
        fleet.replicas[*at].lose_disk();
    }
    fleet.replicas[survivor].kill();

    let files = read_files(&data.join("replica"));
    let (code, shown) = recover(&[&data], &[]);
    assert_eq!((code, &shown["applied"]), (Some(0), &Value::Bool(false)), "{shown}");
    assert_eq!(shown["is_complete"], false, "{shown}");
    assert_eq!(shown["chosen"]["node"], fleet.replicas[survivor].node, "{shown}");
    assert_eq!(node_ids(&shown["given_up"]), Vec::<u64>::new());
    let lost_nodes: Vec<u64> = lost.iter().map(|at| fleet.replicas[*at].node).collect();
    assert_eq!(node_ids(&shown["missing_voters"]), lost_nodes);
    assert_eq!(node_ids(&shown["membership"]), [fleet.replicas[survivor].node]);
    assert_eq!(read_files(&data.join("replica")), files, "recover without --apply changed files");

    let (code, applied) = recover(&[&data.join("replica")], &["--apply"]);
    assert_eq!((code, &applied["applied"]), (Some(0), &Value::Bool(true)), "{applied}");
    assert_eq!(applied["chosen"], shown["chosen"]);
    fleet.replicas[survivor].start();
    assert_eq!(fleet.confirmed_revision(survivor).await, 6);
    resend_changes(&fleet, survivor, &changes).await;
    changes.extend(write_changes(&fleet, &[survivor], 7, 1).await);

    lost.iter().for_each(|at| fleet.replicas[*at].start());
    fleet.wait_until_all_vote().await;
    resend_changes(&fleet, lost[0], &changes).await;
}

#[test]
fn recover_rejects_missing_repeated_and_empty_folders() {
    let empty = tempfile::tempdir().expect("a folder");
    let absent = empty.path().join("absent");
    assert_eq!(recover(&[], &[]).0, Some(2));
    assert_eq!(recover(&[empty.path(), &empty.path().join(".")], &[]).0, Some(2));
    assert_eq!(recover(&[&absent], &["--apply"]).0, Some(1));
    assert!(!absent.exists());
    assert_eq!(recover(&[empty.path()], &["--apply"]).0, Some(1));
    assert!(!empty.path().join("identity").exists());
}
