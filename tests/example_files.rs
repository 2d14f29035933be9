//! The example files of both fleets pass `check`, which reports faults in a tree.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::{Value, json};

const FLEETS: [(&str, usize, &str); 2] =
    [("granite-ledger", 18, "application"), ("pryderi", 12, "preview")];

fn fleet_folder(fleet: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(fleet)
}

fn fleet_files(fleet: &str) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(fleet_folder(fleet)).expect("the example folder");
    entries.map(|entry| entry.expect("an entry").path()).collect()
}

fn check(file: &Path, key_file: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_juniperhollow"))
        .args(["settings", "check", "--format", "json"])
        .arg(file)
        .arg(format!("--set=cluster_key_file={}", key_file.display()))
        .output()
        .expect("the binary runs")
}

#[test]
fn every_example_file_passes_its_check() {
    let folder = tempfile::tempdir().expect("a folder");
    let key_file = folder.path().join("cluster-key");
    std::fs::write(&key_file, "a cluster key for the check\n").expect("a key file");
    for (fleet, _, _) in FLEETS {
        let files = fleet_files(fleet);
        assert_eq!(files.len(), 7, "three control replicas, three routers and a tree");
        for file in files {
            let output = check(&file, &key_file);
            let text = String::from_utf8_lossy(&output.stdout).into_owned();
            assert!(output.status.success(), "{}: {text}", file.display());
        }
    }
}

#[test]
fn the_example_trees_describe_the_fleets() {
    for (fleet, engines, server) in FLEETS {
        let text = std::fs::read_to_string(fleet_folder(fleet).join("tree.json")).expect("a tree");
        let tree: Value = serde_json::from_str(&text).expect("JSON");
        let edits = tree["edits"].as_array().expect("edits");
        let back_ends = edits.iter().filter_map(|edit| edit["node"]["back_ends"].as_array());
        let back_ends: Vec<&Value> = back_ends.flatten().collect();
        let count = |kind: &str| back_ends.iter().filter(|b| b["kind"] == kind).count();
        assert_eq!(
            (count("engine"), count("cache-store"), count(server)),
            (engines, 1, 3),
            "{fleet}"
        );
        let tenants = edits.iter().filter(|edit| edit["node"]["api_keys"].is_array()).count();
        assert_eq!(tenants, 8, "{fleet}");
    }
}

#[test]
fn all_faults_of_a_tree_are_reported_together() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("tree.json");
    let zone = json!({ "overrides": { "priority": 12, "burst": 0 } });
    let tree = json!({
        "base_revision": 0,
        "change_id": "faulty",
        "edits": [
            { "edit": "put", "path": "/hartford", "node": zone },
            { "edit": "put", "path": "/portland/acme", "node": {} },
        ],
    });
    std::fs::write(&file, tree.to_string()).expect("a file");
    let output = check(&file, &file);
    assert_eq!(output.status.code(), Some(4));
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(report["faults"].as_array().map(Vec::len), Some(3), "{report}");

    let later = json!({ "base_revision": 3, "change_id": "later", "edits": [] });
    std::fs::write(&file, later.to_string()).expect("a file");
    assert_eq!(check(&file, &file).status.code(), Some(1), "check passed without the base tree");
}
