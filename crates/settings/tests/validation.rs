//! Validation of settings trees: incremental validation matches that of the whole tree.

mod support;

use juniper_settings::validated::to_change_set;
use juniper_settings::{
    ApiKeyHash, ChangeSet, Edit, SettingsNode, SettingsTree, TreeFault, ValidatedTree, validate,
};
use quickcheck::{Gen, QuickCheck, TestResult};
use support::SmallChange;

const CASES: u64 = 2_000;
const MAX_CHANGES: usize = 40;
const SEED: u64 = 0x5e77_1465;

/// Creates a runner with a fixed seed.
fn seeded_quickcheck() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(MAX_CHANGES, SEED))
}

#[test]
fn reverting_the_creation_of_the_root_retains_the_other_nodes() {
    let mut tree = ValidatedTree::default();
    let zone = ChangeSet { edits: vec![put("/hartford", SettingsNode::default())] };
    tree.apply(&zone).unwrap();
    let before = tree.clone();
    let mut root = SettingsNode::default();
    root.overrides.priority = Some(1);
    let effects = tree.apply(&ChangeSet { edits: vec![put("/", root)] }).unwrap();
    let undo: Vec<_> = effects.iter().map(|effect| effect.inverse()).collect();
    tree.apply(&to_change_set(&undo)).unwrap();
    assert_eq!(tree, before);
}

#[test]
fn incremental_validation_matches_validation_of_the_whole_tree() {
    fn property(changes: Vec<SmallChange>) -> TestResult {
        let mut incremental = ValidatedTree::default();
        for SmallChange(change) in &changes {
            let mut whole = incremental.tree().clone();
            change.apply_to(&mut whole);
            let faults = validate(&whole);
            let before = incremental.clone();
            match incremental.apply(change) {
                Ok(effects) => {
                    assert_eq!(faults, Vec::new());
                    assert_eq!(incremental, ValidatedTree::new(whole.clone()).unwrap());
                    assert_eq!(effects, before.tree().diff(&whole));
                }
                Err(found) => {
                    assert_eq!(found, faults);
                    assert_eq!(
                        incremental, before,
                        "a rejected change must leave the tree unchanged"
                    );
                }
            }
        }
        TestResult::passed()
    }
    seeded_quickcheck().tests(CASES).quickcheck(property as fn(Vec<SmallChange>) -> TestResult);
}

#[test]
fn effects_replay_to_the_same_tree_and_revert_to_the_previous_one() {
    fn property(changes: Vec<SmallChange>) -> TestResult {
        let mut tree = ValidatedTree::default();
        for SmallChange(change) in &changes {
            let before = tree.clone();
            let Ok(effects) = tree.apply(change) else { continue };
            let mut replayed = before.clone();
            replayed.apply(&to_change_set(&effects)).unwrap();
            assert_eq!(replayed, tree);
            let undo: Vec<_> = effects.iter().map(|effect| effect.inverse()).collect();
            replayed.apply(&to_change_set(&undo)).unwrap();
            assert_eq!(replayed, before);
        }
        TestResult::passed()
    }
    seeded_quickcheck().tests(CASES).quickcheck(property as fn(Vec<SmallChange>) -> TestResult);
}

fn put(path: &str, node: SettingsNode) -> Edit {
    Edit::Put { path: path.parse().unwrap(), node: Box::new(node) }
}

#[test]
fn all_faults_of_a_change_are_reported_together() {
    let mut wrong = SettingsNode::default();
    wrong.overrides.priority = Some(10);
    wrong.overrides.rate_per_second = Some(f64::NAN);
    wrong.api_keys = vec![ApiKeyHash("short".to_owned())];
    let orphan = put("/portland/globex", SettingsNode::default());
    let edits = vec![put("/hartford", wrong), orphan];
    let faults = ValidatedTree::default().apply(&ChangeSet { edits }).unwrap_err();
    let messages: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(faults.len(), 5, "{messages:?}");
    assert!(
        matches!(&faults[0], TreeFault::ParentMissing { path } if path.to_string() == "/portland/globex")
    );
}

#[test]
fn node_above_the_size_limit_is_rejected() {
    let mut large = SettingsNode::default();
    large.overrides.warm_prefixes = Some(vec!["x".repeat(30_000); 3]);
    let edits = vec![put("/hartford", large)];
    let faults = ValidatedTree::default().apply(&ChangeSet { edits }).unwrap_err();
    assert!(matches!(faults[..], [TreeFault::NodeTooLarge { bytes: 90_000.., .. }]), "{faults:?}");
}

#[test]
fn tenant_can_move_between_zones_in_one_change() {
    let empty = SettingsNode::default;
    let mut tree = ValidatedTree::default();
    let edits = vec![put("/a", empty()), put("/b", empty()), put("/a/acme", empty())];
    tree.apply(&ChangeSet { edits }).unwrap();
    let second_home = ChangeSet { edits: vec![put("/b/acme", empty())] };
    assert!(matches!(
        tree.apply(&second_home).unwrap_err()[..],
        [TreeFault::TenantInManyZones { .. }]
    ));
    let removal = Edit::Remove { path: "/a/acme".parse().unwrap() };
    let edits = vec![put("/b/acme", empty()), removal];
    tree.apply(&ChangeSet { edits }).unwrap();
    assert_eq!(tree.tree().tenants().count(), 1);
}

#[test]
fn tree_is_read_from_toml() {
    let text = r#"
        ["/".overrides]
        model = "screen-7b"
        ["/hartford"]
        back_ends = [{ id = 1, kind = "engine", address = "127.0.0.1:7101" }]
    "#;
    let tree: SettingsTree = toml::from_str(text).unwrap();
    assert_eq!(validate(&tree), Vec::new());
    assert_eq!(tree.back_ends().count(), 1);
}
