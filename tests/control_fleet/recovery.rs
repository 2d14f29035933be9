//! `recover` after two of three replicas are gone for good with their disks.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;

use serde_json::Value;

use crate::replicas::Fleet;
use crate::{resend, write_changes};

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

/// Every file of a folder with its content.
fn content(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = std::fs::read_dir(folder).expect("the folder is there");
    let read = |entry: std::io::Result<std::fs::DirEntry>| {
        let entry = entry.expect("an entry");
        let bytes = std::fs::read(entry.path()).expect("a file");
        (entry.file_name().to_string_lossy().into_owned(), bytes)
    };
    entries.map(read).collect()
}

fn nodes(list: &Value) -> Vec<u64> {
    let list = list.as_array().expect("a list");
    list.iter().map(|item| item["node"].as_u64().expect("a node")).collect()
}

#[tokio::test]
async fn the_survivor_of_a_lost_quorum_goes_on_with_every_accepted_change() {
    let mut fleet = Fleet::start(3).await;
    let mut changes = write_changes(&fleet, &[0, 1, 2], 1, 6).await;
    let leader = fleet.leader().await;
    let survivor = fleet.others(leader)[0];
    let lost = fleet.others(survivor);
    // Two of three are enough to accept a change: the survivor must hold the last.
    assert_eq!(fleet.confirmed_revision(survivor).await, 6);
    let data = fleet.replicas[survivor].data_folder();
    assert_eq!(recover(&[&data], &["--apply"]).0, Some(1), "its replica runs");
    for at in &lost {
        fleet.replicas[*at].kill();
        fleet.replicas[*at].lose_disk();
    }
    fleet.replicas[survivor].kill();

    let files = content(&data.join("replica"));
    let (code, shown) = recover(&[&data], &[]);
    assert_eq!((code, &shown["applied"]), (Some(0), &Value::Bool(false)), "{shown}");
    assert_eq!(shown["is_complete"], false, "{shown}");
    assert_eq!(shown["chosen"]["node"], fleet.replicas[survivor].node, "{shown}");
    assert_eq!(nodes(&shown["given_up"]), Vec::<u64>::new());
    let lost_nodes: Vec<u64> = lost.iter().map(|at| fleet.replicas[*at].node).collect();
    assert_eq!(nodes(&shown["missing_voters"]), lost_nodes);
    assert_eq!(nodes(&shown["membership"]), [fleet.replicas[survivor].node]);
    assert_eq!(content(&data.join("replica")), files, "showing a plan changes nothing");

    let (code, applied) = recover(&[&data.join("replica")], &["--apply"]);
    assert_eq!((code, &applied["applied"]), (Some(0), &Value::Bool(true)), "{applied}");
    assert_eq!(applied["chosen"], shown["chosen"]);
    fleet.replicas[survivor].start();
    assert_eq!(fleet.confirmed_revision(survivor).await, 6);
    resend(&fleet, survivor, &changes).await;
    changes.extend(write_changes(&fleet, &[survivor], 7, 1).await);

    lost.iter().for_each(|at| fleet.replicas[*at].start());
    fleet.all_vote().await;
    resend(&fleet, lost[0], &changes).await;
}

#[test]
fn what_cannot_be_recovered_is_refused() {
    let empty = tempfile::tempdir().expect("a folder");
    let absent = empty.path().join("absent");
    assert_eq!(recover(&[], &[]).0, Some(2));
    assert_eq!(recover(&[empty.path(), &empty.path().join(".")], &[]).0, Some(2));
    assert_eq!(recover(&[&absent], &["--apply"]).0, Some(1));
    assert!(!absent.exists());
    assert_eq!(recover(&[empty.path()], &["--apply"]).0, Some(1));
    assert!(!empty.path().join("identity").exists());
}
