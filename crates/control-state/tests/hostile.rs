//! Corrupt commands and snapshots: rejected or applied, without a panic.

use juniper_control_state::{Command, ControlState, to_bytes};
use juniper_types::{BlockHash, ClaimKey, TenantName};
use quickcheck::{Arbitrary, Gen};

const CASES: usize = 3_000;
const SIZE: usize = 60;
const SEED: u64 = 0xc0de;

fn command(attempt: u64) -> Command {
    Command::Claim {
        tenant: TenantName::new("acme").expect("a name"),
        key: ClaimKey::new(100, format!("key-{attempt}")).expect("a key"),
        fingerprint: BlockHash([3; 16]),
        attempt,
        now: 100,
    }
}

fn corrupt(bytes: &[u8], random: &mut Gen) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for _ in 0..=usize::arbitrary(random) % 4 {
        let position = usize::arbitrary(random) % bytes.len();
        bytes[position] = u8::arbitrary(random);
    }
    if bool::arbitrary(random) {
        bytes.truncate(usize::arbitrary(random) % bytes.len());
    }
    bytes
}

#[test]
fn corrupt_commands_cause_no_panic() {
    let mut random = Gen::from_size_and_seed(SIZE, SEED);
    let mut state = ControlState::default();
    let mut index = 0;
    for attempt in 0..CASES as u64 {
        let bytes = corrupt(&to_bytes(&command(attempt)), &mut random);
        if let Ok(command) = minicbor::decode::<Command>(&bytes) {
            index += 1;
            state.apply(index, command);
        }
    }
    assert!(index > 0, "no corrupt command could be decoded");
}

#[test]
fn corrupt_snapshots_cause_no_panic() {
    let mut random = Gen::from_size_and_seed(SIZE, SEED);
    let mut state = ControlState::default();
    for attempt in 1..20 {
        state.apply(attempt, command(attempt));
    }
    let bytes = state.to_snapshot();
    assert!(ControlState::from_snapshot(&bytes).is_ok());
    for _ in 0..CASES {
        let corrupt = corrupt(&bytes, &mut random);
        if let Ok(decoded) = ControlState::from_snapshot(&corrupt) {
            let _ = decoded.to_snapshot();
        }
    }
}
