//! Records are never changed, disagreements count as unknown, and the table stays bounded.

use std::collections::HashMap;

use juniper_registry::SoftwareVersion;
use juniper_stream_origins::{OriginTable, RecordOutcome, StreamOrigin, StreamRecord};
use juniper_types::{StreamKey, Timestamp};
use quickcheck::quickcheck;

fn stream(number: u64) -> StreamKey {
    let mut key = [0; 16];
    key[..8].copy_from_slice(&number.to_be_bytes());
    StreamKey(key)
}

fn origin(version: u8) -> StreamOrigin {
    let software = SoftwareVersion::new(&format!("v{version}")).expect("a version");
    StreamOrigin { service: "app".to_owned(), software }
}

fn record(number: u64, version: u8) -> StreamRecord {
    StreamRecord { stream: stream(number), origin: origin(version) }
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

#[test]
fn records_that_disagree_count_as_unknown_also_when_one_comes_late_or_twice() {
    let mut table = OriginTable::default();
    assert_eq!(table.record(&record(1, 1), at(0)), RecordOutcome::Added);
    assert_eq!(table.record(&record(1, 1), at(1)), RecordOutcome::Known);
    assert_eq!(table.find(&stream(1)), Some(&origin(1)));
    assert_eq!(table.record(&record(1, 2), at(70)), RecordOutcome::Conflicting);
    assert_eq!(table.find(&stream(1)), None);
    assert_eq!(table.record(&record(1, 1), at(71)), RecordOutcome::Conflicting);
    assert_eq!((table.find(&stream(1)), table.records().count()), (None, 0));
}

#[test]
fn records_are_kept_for_a_minute_and_dropped_after_two() {
    let mut table = OriginTable::default();
    table.record(&record(1, 1), at(30));
    table.expire(at(89));
    assert_eq!(table.find(&stream(1)), Some(&origin(1)));
    table.expire(at(150));
    assert_eq!((table.find(&stream(1)), table.len()), (None, 0));
}

#[test]
fn a_flood_of_streams_replaces_the_oldest_records() {
    const FLOOD: u64 = 600_000;
    let mut table = OriginTable::default();
    for number in 0..FLOOD {
        table.record(&record(number, 1), at(1));
    }
    assert!(table.len() <= 1 << 18, "{}", table.len());
    assert_eq!(table.find(&stream(FLOOD - 1)), Some(&origin(1)));
    assert_eq!(table.find(&stream(0)), None);
}

quickcheck! {
    /// What the table finds was recorded for this stream, by all records of it within a minute.
    fn a_found_origin_is_the_only_one_recorded_recently(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut table = OriginTable::default();
        let mut recorded: HashMap<u64, Vec<(Timestamp, u8)>> = HashMap::new();
        let mut now = 0;
        steps.iter().all(|(number, version, pause)| {
            now += u64::from(pause % 30);
            let (number, version) = (u64::from(number % 8), version % 3);
            table.record(&record(number, version), at(now));
            recorded.entry(number).or_default().push((at(now), version));
            recorded.iter().all(|(number, versions)| {
                let recent = |(recorded_at, _): &&(Timestamp, u8)| at(now).since(*recorded_at).as_secs() < 60;
                let recent: Vec<u8> = versions.iter().filter(recent).map(|(_, version)| *version).collect();
                match table.find(&stream(*number)) {
                    Some(found) => recent.iter().all(|version| origin(*version) == *found),
                    None => true,
                }
            })
        })
    }
}
