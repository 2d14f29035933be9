//! Block hash chains and idempotency keys.

use juniper_types::{
    BLOCK_BYTES, CacheScope, ClaimKey, ModelName, PromptBlocks, TenantName, WeightsVersion,
};
use quickcheck::{TestResult, quickcheck};

fn scope(tenant: &str, weights: u32) -> CacheScope {
    CacheScope {
        tenant: TenantName::new(tenant).expect("valid tenant"),
        model: ModelName::new("base").expect("valid model"),
        adapter: None,
        weights: WeightsVersion(weights),
    }
}

quickcheck! {
    fn prompts_share_hashes_of_exactly_their_common_full_blocks(prefix: Vec<u8>, left: u8, right: u8) -> TestResult {
        if left == right {
            return TestResult::discard();
        }
        let shared = prefix.repeat(64);
        let make = |last: u8| {
            let mut prompt = shared.clone();
            prompt.extend(std::iter::repeat_n(last, 2 * BLOCK_BYTES));
            PromptBlocks::of_text(&scope("acme", 1), &prompt)
        };
        let (a, b) = (make(left), make(right));
        let common = a.hashes.iter().zip(&b.hashes).take_while(|(x, y)| x == y).count();
        TestResult::from_bool(common == shared.len() / BLOCK_BYTES)
    }
}

#[test]
fn hashes_differ_between_tenants_and_weights_versions() {
    let prompt = vec![b'x'; BLOCK_BYTES * 3];
    let base = PromptBlocks::of_text(&scope("acme", 1), &prompt);
    let other_tenant = PromptBlocks::of_text(&scope("bolt", 1), &prompt);
    let other_weights = PromptBlocks::of_text(&scope("acme", 2), &prompt);
    assert!(base.hashes.iter().all(|hash| !other_tenant.hashes.contains(hash)));
    assert!(base.hashes.iter().all(|hash| !other_weights.hashes.contains(hash)));
}

#[test]
fn claim_keys_round_trip_and_malformed_keys_are_rejected() {
    let key: ClaimKey = "1700000000-order-7".parse().expect("valid key");
    assert_eq!(key.made_at(), 1_700_000_000);
    assert_eq!(key.to_string(), "1700000000-order-7");
    for malformed in ["", "order", "x-1", "17-", "-5", "17-a b"] {
        assert!(malformed.parse::<ClaimKey>().is_err(), "{malformed:?} was accepted");
    }
}
