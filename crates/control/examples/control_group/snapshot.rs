//! Time to encode and decode a snapshot with many claims.

use std::time::Instant;

use juniper_control_state::{Command, ControlState};
use juniper_types::{BlockHash, ClaimKey, ClaimOutcome, TenantName};

const BODY_BYTES: usize = 64;

pub fn measure(claims: usize) {
    let mut state = ControlState::default();
    let tenant = TenantName::new("acme").expect("a tenant");
    let mut index = 0;
    for number in 0..claims as u64 {
        let key = ClaimKey::new(1_000 + number / 20, format!("{number:032x}")).expect("a key");
        let (attempt, fingerprint) = (number, BlockHash([1; 16]));
        let claim = Command::Claim {
            tenant: tenant.clone(),
            key: key.clone(),
            fingerprint,
            attempt,
            now: 1_000 + number / 20,
        };
        let outcome = ClaimOutcome {
            status: 200,
            content_type: "application/json".to_owned(),
            body: vec![7; BODY_BYTES],
            whole: true,
        };
        let settle = Command::Settle { tenant: tenant.clone(), key, attempt, outcome };
        state.apply(index + 1, claim);
        state.apply(index + 2, settle);
        index += 2;
    }
    let begin = Instant::now();
    let bytes = state.to_snapshot();
    let encoded = begin.elapsed();
    let begin = Instant::now();
    let decoded = ControlState::from_snapshot(&bytes).expect("a valid snapshot");
    println!(
        "{claims} claims: snapshot of {} bytes, encoded in {encoded:.0?}, decoded in {:.0?}",
        bytes.len(),
        begin.elapsed()
    );
    assert_eq!(decoded.claims().len(), claims);
}
