//! Malformed node files, flags, paths, changes and trees are rejected without a panic.

use juniper_settings::{ChangeSet, NodeFile, NodeOverride, SettingsPath, SettingsTree, validate};
use quickcheck::{Gen, QuickCheck, Testable};

const CASES: u64 = 1_500;
const SIZE: usize = 80;
const SEED: u64 = 0x5e77;

const NODE_FILE: &str = r#"
node = 3
zone = "taf-hall"
cluster_key = "sixteen bytes or more"

[router]
internal = "127.0.0.1:7001"
operator = "127.0.0.1:7002"
caller = "127.0.0.1:7003"
control = [
    { id = 1, zone = "tywi-hall", address = "127.0.0.1:7011" },
    { id = 2, zone = "gwendraeth-hall", address = "127.0.0.1:7021" },
]

[router.limits]
drain_seconds = 60
"#;

const CHANGE: &str = r#"[
    {"edit":"put","path":"/","node":{"overrides":{"priority":3}}},
    {"edit":"put","path":"/hartford","node":{"back_ends":[
        {"id":1,"kind":"engine","address":"127.0.0.1:9000"}]}},
    {"edit":"put","path":"/hartford/acme","node":{}},
    {"edit":"remove","path":"/hartford/acme"}]"#;

fn check<P: Testable>(property: P) {
    let generator = Gen::from_size_and_seed(SIZE, SEED);
    QuickCheck::new().rng(generator).tests(CASES).quickcheck(property);
}

/// Returns `text` with some characters inserted or replaced and its end truncated.
fn corrupt_text(text: &str, changes: &[(u16, char)], truncation: u16) -> String {
    let mut characters: Vec<char> = text.chars().collect();
    for (position, character) in changes {
        let position = usize::from(*position) % characters.len();
        match position % 3 {
            0 => characters.insert(position, *character),
            1 => characters[position] = characters[position / 2],
            _ => characters[position] = *character,
        }
    }
    let length = characters.len() - usize::from(truncation) % characters.len();
    characters.into_iter().take(length).collect()
}

#[test]
fn corrupt_node_files_are_reported_without_panic() {
    fn property(changes: Vec<(u16, char)>, truncation: u16) -> bool {
        let source = corrupt_text(NODE_FILE, &changes, truncation);
        match NodeFile::parse("node.toml", &source, &[]) {
            Ok(_) => true,
            // Formatting the report must not panic either.
            Err(error) => !error.faults().is_empty() && !format!("{error:?}").is_empty(),
        }
    }
    check(property as fn(Vec<(u16, char)>, u16) -> bool);
}

#[test]
fn arbitrary_flags_never_panic() {
    fn property(key: String, value: String) -> bool {
        let overrides = [NodeOverride { key: key.clone(), value }];
        let parsed = NodeFile::parse("node.toml", NODE_FILE, &overrides);
        parsed.is_err() || NODE_FILE.contains(key.rsplit('.').next().unwrap_or_default())
    }
    check(property as fn(String, String) -> bool);
}

#[test]
fn arbitrary_text_is_a_path_or_rejected() {
    fn property(text: String) -> bool {
        match text.parse::<SettingsPath>() {
            Ok(path) => path.to_string().parse() == Ok(path),
            Err(_) => true,
        }
    }
    check(property as fn(String) -> bool);
}

#[test]
fn corrupt_changes_never_panic_and_validate_deterministically() {
    fn property(changes: Vec<(u16, char)>, truncation: u16) -> bool {
        let text = corrupt_text(CHANGE, &changes, truncation);
        let Ok(change) = serde_json::from_str::<ChangeSet>(&text) else { return true };
        let mut tree = SettingsTree::default();
        change.apply_to(&mut tree);
        // Validation must be deterministic.
        validate(&tree) == validate(&tree)
    }
    check(property as fn(Vec<(u16, char)>, u16) -> bool);
}

#[test]
fn corrupt_encoded_trees_never_panic() {
    let change: ChangeSet = serde_json::from_str(CHANGE).expect("valid change");
    let mut tree = SettingsTree::default();
    change.apply_to(&mut tree);
    let bytes = minicbor::to_vec(&tree).expect("encoding into memory");
    assert_eq!(minicbor::decode::<SettingsTree>(&bytes).expect("valid tree"), tree);
    let mut generator = Gen::from_size_and_seed(SIZE, SEED);
    for _ in 0..CASES {
        let mut corrupt = bytes.clone();
        for _ in 0..3 {
            let position =
                <usize as quickcheck::Arbitrary>::arbitrary(&mut generator) % bytes.len();
            corrupt[position] = quickcheck::Arbitrary::arbitrary(&mut generator);
        }
        if let Ok(tree) = minicbor::decode::<SettingsTree>(&corrupt) {
            let _ = validate(&tree);
        }
    }
}
