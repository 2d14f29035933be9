//! Files with arbitrary content open or are rejected, without a panic or unbounded memory use.

mod support;

use std::fs;
use std::path::Path;

use juniper_consensus::{Entry, HardState, Payload, Position};
use juniper_storage::{Folder, OpenError, format};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use support::{id, initial_membership, open, write};
use tempfile::TempDir;

const CASES: u64 = 200;
const SEED: u64 = 0xd15c;
const SEGMENT: &str = "segment-00000000000000000001";

fn new_folder() -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    format(&mut Folder::new(folder.path()).unwrap(), id(1), Some(&initial_membership())).unwrap();
    folder
}

fn extreme_number(random: &mut Gen) -> u64 {
    *random.choose(&[0, 1, 2, 3, 4, u64::MAX - 1, u64::MAX]).unwrap()
}

/// Encoded record with arbitrary content, to be framed with a valid checksum.
#[derive(Clone, Debug)]
struct ArbitraryRecord(Vec<u8>);

impl Arbitrary for ArbitraryRecord {
    fn arbitrary(random: &mut Gen) -> Self {
        let position = |random: &mut Gen| {
            let position = Position { term: extreme_number(random), index: extreme_number(random) };
            bool::arbitrary(random).then_some(position)
        };
        let (continues, snapshot) = (position(random), position(random));
        let entry = |random: &mut Gen| Entry {
            term: extreme_number(random),
            index: extreme_number(random),
            payload: Payload::Data(Vec::arbitrary(random)),
        };
        let entries: Vec<Entry> = (0..u8::arbitrary(random) % 4).map(|_| entry(random)).collect();
        let commit = extreme_number(random);
        let hard_state = HardState { commit, term: extreme_number(random), ..HardState::default() };
        let mut body = vec![0xa4, 0];
        minicbor::encode(continues, &mut body).unwrap();
        body.push(1);
        minicbor::encode(snapshot, &mut body).unwrap();
        body.push(2);
        minicbor::encode(entries, &mut body).unwrap();
        body.push(3);
        minicbor::encode(hard_state, &mut body).unwrap();
        ArbitraryRecord(body)
    }
}

/// Encodes the frame of `body` at `offset` of the first segment.
fn encode_frame(offset: usize, body: &[u8]) -> Vec<u8> {
    let mut frame = b"JHF1".to_vec();
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.extend_from_slice(&1_u64.to_be_bytes());
    frame.extend_from_slice(&(offset as u64).to_be_bytes());
    let checksum = crc32fast::hash(&[&frame, body].concat());
    frame.extend_from_slice(&checksum.to_be_bytes());
    frame.extend_from_slice(body);
    frame
}

/// Whether a new folder, changed by `corrupt`, opens and accepts a write, or is rejected
/// as damaged or copied.
fn opens_or_is_rejected(corrupt: impl FnOnce(&Path)) -> bool {
    let folder = new_folder();
    corrupt(folder.path());
    match open(folder.path()) {
        Ok((mut storage, restored)) => {
            let next = restored.last().index.saturating_add(1);
            storage.save(&write(1, restored.last().term, &[next])).is_ok()
        }
        Err(error) => matches!(error, OpenError::Damaged { .. } | OpenError::Copied),
    }
}

#[test]
fn files_with_arbitrary_bytes_open_or_are_rejected() {
    fn property(which: u8, bytes: Vec<u8>, appended: bool) -> bool {
        opens_or_is_rejected(|folder| {
            let files = [SEGMENT, "synced", "identity", "snapshot-00000000000000000004"];
            let file = folder.join(files[usize::from(which) % files.len()]);
            let mut content = if appended { fs::read(&file).unwrap_or_default() } else { vec![] };
            content.extend(&bytes);
            fs::write(file, content).unwrap();
        })
    }
    let random = Gen::from_size_and_seed(600, SEED);
    let mut check = QuickCheck::new().rng(random).tests(CASES);
    check.quickcheck(property as fn(u8, Vec<u8>, bool) -> bool);
}

#[test]
fn arbitrary_records_with_valid_checksum_open_or_are_rejected() {
    fn property(records: Vec<ArbitraryRecord>) -> bool {
        opens_or_is_rejected(|folder| {
            let file = folder.join(SEGMENT);
            let mut content = fs::read(&file).unwrap();
            for ArbitraryRecord(body) in &records {
                content.extend(encode_frame(content.len(), body));
            }
            fs::write(file, content).unwrap();
        })
    }
    let random = Gen::from_size_and_seed(6, SEED);
    let mut check = QuickCheck::new().rng(random).tests(CASES);
    check.quickcheck(property as fn(Vec<ArbitraryRecord>) -> bool);
}
