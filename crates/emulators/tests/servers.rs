//! Tests of the models of the stores, the platform's list and the execution log.

use std::time::Duration;

use juniper_emulators::application::{Execution, Executions, Receipt};
use juniper_emulators::engine::transfer::KvEntry;
use juniper_emulators::kv_store::KvStore;
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
fn loads_beyond_the_limit_share_bandwidth() {
    let mut store = WeightStore::new(100, 2);
    let first = store.start(1_000, at(0));
    let second = store.start(1_000, at(0));
    assert_eq!(store.next_end(), Some(at(10)));
    let late: Vec<_> = (0..2).map(|_| store.start(1_000, at(5))).collect();
    // Each early load has 500 bytes left and runs at half the rate.
    assert_eq!(store.next_end(), Some(at(15)));
    assert!(store.is_running(first, at(14)));
    assert!(!store.is_running(first, at(15)) && !store.is_running(second, at(15)));
    // Each late load has 500 bytes left and runs at the full rate again.
    assert!(late.iter().all(|id| store.is_running(*id, at(19))));
    assert!(late.iter().all(|id| !store.is_running(*id, Timestamp(20_000_001))));
    assert_eq!((store.active(), store.next_end()), (0, None));
}

#[test]
fn abandoned_load_releases_its_bandwidth() {
    let mut store = WeightStore::new(100, 1);
    let remaining = store.start(1_000, at(0));
    let abandoned = store.start(1_000, at(0));
    store.abandon(abandoned, at(10));
    assert!(store.is_running(remaining, at(14)));
    assert!(!store.is_running(remaining, at(15)));
}

#[test]
fn platform_list_shows_changes_after_the_lag() {
    let mut list = PlatformList::new(Duration::from_secs(5));
    let machine = |state| Machine {
        address: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneName::new("hartford").unwrap(),
        state,
    };
    list.record(machine(MachineState::Live), at(0));
    list.record(machine(MachineState::Leaving), at(3));
    list.record(machine(MachineState::Gone), at(10));
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
fn executions_survive_a_kill_and_repeats_are_counted() {
    let folder = temp_folder();
    let journal = folder.join("journal");
    let mut executions = Executions::open(&journal).unwrap();
    executions.record(execution("1-a"), at(0)).unwrap();
    executions.record(execution("1-b"), at(0)).unwrap();
    assert_eq!(executions.witness().total(), 0);
    drop(executions);
    // Simulates a kill while a line is being written.
    let mut bytes = std::fs::read(&journal).unwrap();
    bytes.extend_from_slice(b"{\"tenant\":\"ac");
    std::fs::write(&journal, bytes).unwrap();

    let mut executions = Executions::open(&journal).unwrap();
    assert_eq!(executions.counts().len(), 2);
    executions.record(execution("1-a"), at(1)).unwrap();
    assert_eq!(executions.witness().counts().get(&BreachKind::RepeatedExecution), Some(&1));
    let again = Executions::open(&journal).unwrap().counts();
    assert_eq!(again.iter().map(|count| count.count).collect::<Vec<_>>(), [2, 1]);
    std::fs::remove_dir_all(folder).unwrap();
}

fn temp_folder() -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("juniper-servers-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn receipts_and_previews_depend_on_the_request() {
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
fn store_evicts_the_least_recently_used_entry() {
    let mut store = KvStore::new(5);
    let (first, second, third) = (entry(&[1, 2]), entry(&[3, 4]), entry(&[5, 6]));
    let key = |entry: &KvEntry| *entry.blocks.last().unwrap();
    assert!(store.put(first.clone()) && store.put(second.clone()));
    assert_eq!(store.get(&key(&first)), Some(first.clone()));
    assert!(store.put(third.clone()));
    assert_eq!(store.get(&key(&second)), None);
    assert_eq!(store.get(&key(&first)), Some(first));
    assert_eq!(store.get(&key(&third)), Some(third));
    assert_eq!(store.blocks(), 4);
    assert!(!store.put(entry(&[1, 2, 3, 4, 5, 6])));
}
