//! Command line of the lab: exit codes, traces, replay and soaks.

mod support {
    pub mod fleets;
}

use std::process::{Command, Output};

use serde_json::Value;
use support::fleets::{Setup, start_fleet};

fn run_lab(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_juniper-lab"));
    command.args(arguments).output().expect("the lab runs")
}

#[test]
fn invalid_arguments_exit_with_2_and_invalid_traces_with_1() {
    let usage: [&[&str]; 6] = [
        &["no-such-command"],
        &["load"],
        &["load", "--router", "nowhere"],
        &["trace", "generate", "--load", "-1"],
        &["emulate", "engine"],
        &["replay", "--router", "127.0.0.1:1"],
    ];
    for arguments in usage {
        assert_eq!(run_lab(arguments).status.code(), Some(2), "{arguments:?}");
    }
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("damaged.trace");
    std::fs::write(&path, "{}\n").expect("written");
    let checked = run_lab(&["trace", "check", path.to_str().expect("text")]);
    assert_eq!(checked.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&checked.stderr).contains("line 1"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_recorded_trace_is_replayed_against_a_fleet() {
    let test = start_fleet(Setup::default()).await;
    let path = test.fleet.folder().join("short.trace");
    let path = path.to_str().expect("text");
    let generated =
        run_lab(&["trace", "generate", "--load", "0.1", "--seconds", "4", "--output", path]);
    assert!(generated.status.success());
    let summary = run_lab(&["trace", "check", path]);
    let summary: Value = serde_json::from_slice(&summary.stdout).expect("JSON");

    let mut arguments = vec!["replay".to_owned(), path.to_owned()];
    for router in test.fleet.router_targets() {
        let zone = router.zone.expect("the fleet has zones");
        arguments.extend(["--router".to_owned(), format!("{zone}={}", router.address)]);
    }
    for place in 7..=9 {
        let journal = test.fleet.folder().join(format!("application-{place}.journal"));
        arguments.extend(["--journal".to_owned(), journal.display().to_string()]);
    }
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let replayed = run_lab(&arguments);
    let report: Value = serde_json::from_slice(&replayed.stdout).expect("JSON");
    assert_eq!(replayed.status.code(), Some(0), "{report:#}");
    assert_eq!(report["requests"], summary["requests"]);
    assert_eq!(report["complete"], report["requests"], "{report:#}");
}

#[test]
fn short_soaks_report_no_violation() {
    for seed in ["3", "4"] {
        let soak = run_lab(&["soak", "--seed", seed, "--seconds", "12"]);
        let report: Value = serde_json::from_slice(&soak.stdout).expect("JSON");
        assert_eq!(soak.status.code(), Some(0), "seed {seed}: {report:#}");
        assert_eq!(report["violations"], 0);
        assert!(report["complete"].as_u64().is_some_and(|complete| complete > 0));
    }
}
