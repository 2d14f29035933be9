//! The models of the stores, of the platform's list and of the record of executions.

use std::time::Duration;

use juniper_emulators::application::{Execution, Executions, Receipt};
use juniper_emulators::engine::transfer::KvEntry;
use juniper_emulators::kept::KeptStore;
use juniper_emulators::platform::{Machine, MachineState, PlatformList};
use juniper_emulators::preview::preview_bytes;
use juniper_emulators::weights::WeightStore;
use juniper_emulators::witness::{BreachKind, Provenance};
use juniper_types::{
    BlockHash, CacheScope, Incarnation, ModelName, TenantName, Timestamp, WeightsVersion, ZoneName,
};

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

#[test]
fn loads_slow_down_beyond_the_full_rate() {
    let mut store = WeightStore::new(100, 2);
    let first = store.start(1_000, at(0));
    let second = store.start(1_000, at(0));
    assert_eq!(store.next_end(), Some(at(10)));
    let late: Vec<_> = (0..2).map(|_| store.start(1_000, at(5))).collect();
    // 500 bytes are left of each early load, at half the rate.
    assert_eq!(store.next_end(), Some(at(15)));
    assert!(store.is_running(first, at(14)));
    assert!(!store.is_running(first, at(15)) && !store.is_running(second, at(15)));
    // 500 bytes are left of each late load, at the full rate again.
    assert!(late.iter().all(|id| store.is_running(*id, at(19))));
    assert!(late.iter().all(|id| !store.is_running(*id, Timestamp(20_000_001))));
    assert_eq!((store.active(), store.next_end()), (0, None));
}

#[test]
fn an_abandoned_load_gives_its_share_back() {
    let mut store = WeightStore::new(100, 1);
    let kept = store.start(1_000, at(0));
    let abandoned = store.start(1_000, at(0));
    store.abandon(abandoned, at(10));
    assert!(store.is_running(kept, at(14)));
    assert!(!store.is_running(kept, at(15)));
}

#[test]
fn the_platform_list_lags() {
    let mut list = PlatformList::new(Duration::from_secs(5));
    let machine = |state| Machine {
        address: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneName::new("hartford").unwrap(),
        state,
    };
    list.note(machine(MachineState::Live), at(0));
    list.note(machine(MachineState::Leaving), at(3));
    list.note(machine(MachineState::Gone), at(10));
    let state = |list: &mut PlatformList, now| list.read(at(now)).1.first().map(|m| m.state);
    assert_eq!(state(&mut list, 4), None);
    assert_eq!(state(&mut list, 5), Some(MachineState::Live));
    assert_eq!(state(&mut list, 8), Some(MachineState::Leaving));
    assert_eq!(list.read(at(14)).0, at(9));
    assert_eq!(state(&mut list, 15), None);
}

fn execution(key: &str) -> Execution {
    Execution { tenant: "acme".into(), key: key.into() }
}

#[test]
fn executions_outlive_a_kill_and_doubles_are_counted() {
    let folder = tempfile();
    let journal = folder.join("journal");
    let mut record = Executions::open(&journal).unwrap();
    record.record(execution("1-a"), at(0)).unwrap();
    record.record(execution("1-b"), at(0)).unwrap();
    assert_eq!(record.witness().total(), 0);
    drop(record);
    // A kill in the middle of a line.
    let mut bytes = std::fs::read(&journal).unwrap();
    bytes.extend_from_slice(b"{\"tenant\":\"ac");
    std::fs::write(&journal, bytes).unwrap();

    let mut record = Executions::open(&journal).unwrap();
    assert_eq!(record.counts().len(), 2);
    record.record(execution("1-a"), at(1)).unwrap();
    assert_eq!(record.witness().counts().get(&BreachKind::RepeatedExecution), Some(&1));
    let again = Executions::open(&journal).unwrap().counts();
    assert_eq!(again.iter().map(|count| count.count).collect::<Vec<_>>(), [2, 1]);
    std::fs::remove_dir_all(folder).unwrap();
}

fn tempfile() -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("juniper-servers-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn receipts_and_previews_depend_on_everything_that_was_asked() {
    let receipt = Receipt::of("acme", "1-a", "/apply/x", b"body");
    assert_eq!(receipt, Receipt::of("acme", "1-a", "/apply/x", b"body"));
    assert_ne!(receipt, Receipt::of("acme", "1-a", "/apply/x", b"other"));
    assert_eq!(preview_bytes(3), preview_bytes(3));
    assert_ne!(preview_bytes(3), preview_bytes(4));
}

fn entry(contents: &[u8]) -> KvEntry {
    let tenant = TenantName::new("acme").unwrap();
    let model = ModelName::new("base").unwrap();
    let weights = WeightsVersion(1);
    let mut previous = BlockHash([0; 16]);
    let blocks: Vec<BlockHash> = contents
        .iter()
        .map(|content| {
            previous = previous.next(&[*content]);
            previous
        })
        .collect();
    KvEntry {
        scope: CacheScope { tenant: tenant.clone(), model: model.clone(), adapter: None, weights },
        incarnation: Incarnation(1),
        checksum: KvEntry::checksum_of(&blocks),
        provenance: Provenance { owner: tenant, model, adapter: None, weights },
        blocks,
    }
}

#[test]
fn the_store_forgets_what_was_used_least_recently() {
    let mut store = KeptStore::new(5);
    let (first, second, third) = (entry(&[1, 2]), entry(&[3, 4]), entry(&[5, 6]));
    let name = |entry: &KvEntry| *entry.blocks.last().unwrap();
    assert!(store.put(first.clone()) && store.put(second.clone()));
    assert_eq!(store.get(&name(&first)), Some(first.clone()));
    assert!(store.put(third.clone()));
    assert_eq!(store.get(&name(&second)), None);
    assert_eq!(store.get(&name(&first)), Some(first));
    assert_eq!(store.get(&name(&third)), Some(third));
    assert_eq!(store.blocks(), 4);
    assert!(!store.put(entry(&[1, 2, 3, 4, 5, 6])));
}
