//! Parsing of node files: all faults are reported, each with its line.

use juniper_settings::node_file::{FaultLocation, NodeFault};
use juniper_settings::{NodeFile, NodeFileError, NodeOverride};
use juniper_types::NodeId;

const VALID: &str = r#"
node = 1
zone = "hartford"
data_folder = "data"
cluster_key = "sixteen bytes or more"
log_level = "debug"

[control]
internal = "127.0.0.1:7001"
operator = "127.0.0.1:7002"
initial_voters = [1, 2, 3]
peers = [
    { id = 2, zone = "worcester", address = "127.0.0.1:7011" },
    { id = 3, zone = "portland", address = "127.0.0.1:7021" },
]

[router]
caller = "127.0.0.1:8001"
operator = "127.0.0.1:8002"
internal = "127.0.0.1:8003"
control = [{ id = 1, zone = "hartford", address = "127.0.0.1:7001" }]
"#;

fn parse_faults(source: &str) -> Vec<NodeFault> {
    NodeFile::parse("node.toml", source, &[]).unwrap_err().faults().to_vec()
}

#[test]
fn valid_file_is_read_completely() {
    let file = NodeFile::parse("node.toml", VALID, &[]).unwrap();
    let control = file.control.unwrap();
    assert_eq!(control.initial_voters, [NodeId(1), NodeId(2), NodeId(3)]);
    assert_eq!(control.peers[1].zone.as_str(), "portland");
    assert_eq!(file.router.unwrap().control.len(), 1);
}

#[test]
fn all_faults_are_reported_with_their_lines() {
    let source = r#"
node = "one"
zone = "Hartford"
cluster_key = "short"
log_levle = "info"

[control]
internal = "localhost:7001"
initial_voters = [1, 2]
peers = [{ id = 2, zone = "worcester", adress = "127.0.0.1:7011" }]
"#;
    let faults = parse_faults(source);
    let found: Vec<(Option<usize>, &str)> =
        faults.iter().map(|fault| (fault.line, fault.key.as_str())).collect();
    let expected = [
        (Some(2), "node"),
        (Some(3), "zone"),
        (Some(4), "cluster_key"),
        (Some(5), "log_levle"),
        (Some(8), "control.internal"),
        (Some(10), "control.peers[0].adress"),
    ];
    for fault in expected {
        assert!(found.contains(&fault), "{fault:?} is missing in {found:?}");
    }
    assert!(faults.iter().any(|fault| fault.message == "control.operator is missing"));
    assert!(faults.iter().all(|fault| !fault.allowed.is_empty()));
}

#[test]
fn syntax_errors_are_reported_together() {
    let faults = parse_faults("node = \nzone = 'a\n");
    assert!(faults.iter().filter(|fault| fault.allowed == "TOML").count() >= 2, "{faults:?}");
}

#[test]
fn report_shows_the_source_line_and_the_allowed_values() {
    let invalid = VALID.replace("\"127.0.0.1:7002\"", "7002");
    let error = NodeFile::parse("node.toml", &invalid, &[]).unwrap_err();
    let report = format!("{:?}", miette::Report::new(error));
    assert!(report.contains("node.toml:10"), "{report}");
    assert!(report.contains("allowed: an IP address and port"), "{report}");
}

#[test]
fn flags_override_the_file_and_are_validated() {
    let flag = |key: &str, value: &str| NodeOverride { key: key.into(), value: value.into() };
    let valid = [flag("control.internal", "127.0.0.1:9001"), flag("node", "4")];
    let file = NodeFile::parse("node.toml", VALID, &valid);
    // With node 4, voter 1 is neither this node nor a peer.
    assert!(matches!(file, Err(NodeFileError::Faulty { .. })));
    let file = NodeFile::parse("node.toml", VALID, &valid[..1]).unwrap();
    assert_eq!(file.control.unwrap().internal.port(), 9001);

    let invalid = [flag("control.internal", "nowhere"), flag("control.unknown", "1")];
    let error = NodeFile::parse("node.toml", VALID, &invalid).unwrap_err();
    let locations: Vec<_> = error.faults().iter().map(|fault| fault.location.clone()).collect();
    assert!(locations.contains(&FaultLocation::Flag("control.internal".into())), "{locations:?}");
    assert!(locations.contains(&FaultLocation::Flag("control.unknown".into())), "{locations:?}");
}
