//! Small trees and changes over few names, so that random ones collide often.

use juniper_settings::{
    ApiKeyHash, BackEnd, BackEndKind, ChangeSet, Edit, SettingsNode, SettingsPath,
};
use juniper_types::EngineId;
use quickcheck::{Arbitrary, Gen};

const ZONES: [&str; 3] = ["hartford", "worcester", "portland"];
const TENANTS: [&str; 3] = ["acme", "globex", "initech"];
const SERVICES: [&str; 2] = ["screening", "lighter"];

fn pick<'a>(gen_: &mut Gen, names: &[&'a str]) -> &'a str {
    gen_.choose(names).copied().unwrap()
}

fn arbitrary_path(gen_: &mut Gen) -> SettingsPath {
    let (zone, tenant) = (pick(gen_, &ZONES), pick(gen_, &TENANTS));
    let text = match u8::arbitrary(gen_) % 10 {
        0 => "/".to_owned(),
        1..=3 => format!("/{zone}"),
        4..=7 => format!("/{zone}/{tenant}"),
        _ => format!("/{zone}/{tenant}/{}", pick(gen_, &SERVICES)),
    };
    text.parse().unwrap()
}

fn arbitrary_node(gen_: &mut Gen, path: &SettingsPath) -> SettingsNode {
    let mut node = SettingsNode::default();
    if bool::arbitrary(gen_) {
        node.overrides.priority = Some(u8::arbitrary(gen_) % 11);
    }
    let misplaced = u8::arbitrary(gen_) % 16 == 0;
    if matches!(path, SettingsPath::Zone(_)) || misplaced {
        for _ in 0..u8::arbitrary(gen_) % 3 {
            let number = u32::from(u8::arbitrary(gen_) % 8);
            let port = 7_000 + u16::from(u8::arbitrary(gen_) % 8);
            node.back_ends.push(BackEnd {
                id: EngineId(number),
                kind: BackEndKind::Engine,
                address: ([127, 0, 0, 1], port).into(),
                leaving: false,
            });
        }
    }
    if matches!(path, SettingsPath::Tenant(..)) || misplaced {
        for _ in 0..u8::arbitrary(gen_) % 2 {
            node.api_keys.push(ApiKeyHash::of(&format!("key {}", u8::arbitrary(gen_) % 6)));
        }
    }
    node
}

/// A change of one to three edits.
#[derive(Clone, Debug)]
pub struct SmallChange(pub ChangeSet);

impl Arbitrary for SmallChange {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let edits = (0..1 + u8::arbitrary(gen_) % 3).map(|_| {
            let path = arbitrary_path(gen_);
            if u8::arbitrary(gen_) % 4 == 0 {
                Edit::Remove { path }
            } else {
                let node = Box::new(arbitrary_node(gen_, &path));
                Edit::Put { path, node }
            }
        });
        SmallChange(ChangeSet { edits: edits.collect() })
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let edits = self.0.edits.clone();
        let without = (0..edits.len()).map(move |place| {
            let mut fewer = edits.clone();
            fewer.remove(place);
            SmallChange(ChangeSet { edits: fewer })
        });
        Box::new(without.filter(|change| !change.0.edits.is_empty()))
    }
}
