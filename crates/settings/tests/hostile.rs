//! Texts and bytes from outside: node files, changes and trees that nobody should write.

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

/// `text` with some characters replaced, some doubled, and its end cut off.
fn garbled(text: &str, changes: &[(u16, char)], cut: u16) -> String {
    let mut characters: Vec<char> = text.chars().collect();
    for (place, character) in changes {
        let place = usize::from(*place) % characters.len();
        match place % 3 {
            0 => characters.insert(place, *character),
            1 => characters[place] = characters[place / 2],
            _ => characters[place] = *character,
        }
    }
    let kept = characters.len() - usize::from(cut) % characters.len();
    characters.into_iter().take(kept).collect()
}

#[test]
fn garbled_node_files_are_reported_but_never_panic() {
    fn property(changes: Vec<(u16, char)>, cut: u16) -> bool {
        let source = garbled(NODE_FILE, &changes, cut);
        match NodeFile::parse("node.toml", &source, &[]) {
            Ok(_) => true,
            // The report is written for people, so it must come out, too.
            Err(error) => !error.faults().is_empty() && !format!("{error:?}").is_empty(),
        }
    }
    check(property as fn(Vec<(u16, char)>, u16) -> bool);
}

#[test]
fn wild_flags_never_panic() {
    fn property(key: String, value: String) -> bool {
        let overrides = [NodeOverride { key: key.clone(), value }];
        let parsed = NodeFile::parse("node.toml", NODE_FILE, &overrides);
        parsed.is_err() || NODE_FILE.contains(key.rsplit('.').next().unwrap_or_default())
    }
    check(property as fn(String, String) -> bool);
}

#[test]
fn any_text_is_a_path_or_refused() {
    fn property(text: String) -> bool {
        match text.parse::<SettingsPath>() {
            Ok(path) => path.to_string().parse() == Ok(path),
            Err(_) => true,
        }
    }
    check(property as fn(String) -> bool);
}

#[test]
fn garbled_changes_never_panic_nor_break_a_tree() {
    fn property(changes: Vec<(u16, char)>, cut: u16) -> bool {
        let text = garbled(CHANGE, &changes, cut);
        let Ok(change) = serde_json::from_str::<ChangeSet>(&text) else { return true };
        let mut tree = SettingsTree::default();
        change.apply_to(&mut tree);
        // Validation says what is wrong, twice the same.
        validate(&tree) == validate(&tree)
    }
    check(property as fn(Vec<(u16, char)>, u16) -> bool);
}

#[test]
fn damaged_trees_never_panic() {
    let change: ChangeSet = serde_json::from_str(CHANGE).expect("a sound change");
    let mut tree = SettingsTree::default();
    change.apply_to(&mut tree);
    let bytes = minicbor::to_vec(&tree).expect("plain data");
    assert_eq!(minicbor::decode::<SettingsTree>(&bytes).expect("a tree"), tree);
    let mut generator = Gen::from_size_and_seed(SIZE, SEED);
    for _ in 0..CASES {
        let mut damaged = bytes.clone();
        for _ in 0..3 {
            let place = <usize as quickcheck::Arbitrary>::arbitrary(&mut generator) % bytes.len();
            damaged[place] = quickcheck::Arbitrary::arbitrary(&mut generator);
        }
        if let Ok(tree) = minicbor::decode::<SettingsTree>(&damaged) {
            let _ = validate(&tree);
        }
    }
}
