//! Random changes over few names, so that paths and values collide often.

use juniper_settings::{
    ApiKeyHash, BackEnd, BackEndKind, ChangeSet, Edit, SettingsNode, SettingsPath,
};
use juniper_types::EngineId;
use quickcheck::{Arbitrary, Gen};

const ZONES: [&str; 3] = ["hartford", "worcester", "portland"];
const TENANTS: [&str; 3] = ["acme", "globex", "initech"];
const SERVICES: [&str; 2] = ["screening", "lighter"];

fn choose_name<'a>(random: &mut Gen, names: &[&'a str]) -> &'a str {
    random.choose(names).copied().unwrap()
}

fn arbitrary_path(random: &mut Gen) -> SettingsPath {
    let (zone, tenant) = (choose_name(random, &ZONES), choose_name(random, &TENANTS));
    let text = match u8::arbitrary(random) % 10 {
        0 => "/".to_owned(),
        1..=3 => format!("/{zone}"),
        4..=7 => format!("/{zone}/{tenant}"),
        _ => format!("/{zone}/{tenant}/{}", choose_name(random, &SERVICES)),
    };
    text.parse().unwrap()
}

fn arbitrary_node(random: &mut Gen, path: &SettingsPath) -> SettingsNode {
    let mut node = SettingsNode::default();
    if bool::arbitrary(random) {
        node.overrides.priority = Some(u8::arbitrary(random) % 11);
    }
    let misplaced = u8::arbitrary(random) % 16 == 0;
    if matches!(path, SettingsPath::Zone(_)) || misplaced {
        for _ in 0..u8::arbitrary(random) % 3 {
            let number = u32::from(u8::arbitrary(random) % 8);
            let port = 7_000 + u16::from(u8::arbitrary(random) % 8);
            node.back_ends.push(BackEnd {
                id: EngineId(number),
                kind: BackEndKind::Engine,
                address: ([127, 0, 0, 1], port).into(),
                leaving: false,
            });
        }
    }
    if matches!(path, SettingsPath::Tenant(..)) || misplaced {
        for _ in 0..u8::arbitrary(random) % 2 {
            node.api_keys.push(ApiKeyHash::of(&format!("key {}", u8::arbitrary(random) % 6)));
        }
    }
    node
}

/// Change of one to three edits.
#[derive(Clone, Debug)]
pub struct SmallChange(pub ChangeSet);

impl Arbitrary for SmallChange {
    fn arbitrary(random: &mut Gen) -> Self {
        let edits = (0..1 + u8::arbitrary(random) % 3).map(|_| {
            let path = arbitrary_path(random);
            if u8::arbitrary(random) % 4 == 0 {
                Edit::Remove { path }
            } else {
                let node = Box::new(arbitrary_node(random, &path));
                Edit::Put { path, node }
            }
        });
        SmallChange(ChangeSet { edits: edits.collect() })
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let edits = self.0.edits.clone();
        let without = (0..edits.len()).map(move |position| {
            let mut remaining = edits.clone();
            remaining.remove(position);
            SmallChange(ChangeSet { edits: remaining })
        });
        Box::new(without.filter(|change| !change.0.edits.is_empty()))
    }
}
