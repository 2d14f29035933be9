//! Unit tests of refusals that a router repeats without asking the owner.

use std::time::Duration;

use juniper_limits::{ChargeRequest, KnownRefusals, LimitOwner, RateLimit, Verdict};
use juniper_types::Timestamp;
use quickcheck::QuickCheck;

/// An empty bucket fills in 4 s, so a refusal is repeated for up to 2 s.
const LIMIT: RateLimit = RateLimit { per_second: 1_000.0, burst: 4_000.0 };

/// Age of the process in milliseconds when a test begins; all buckets could be full.
const RUNNING_MS: u64 = 60_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(RUNNING_MS + millis)
}

fn request(units: f64) -> ChargeRequest<'static> {
    ChargeRequest {
        account: "one",
        limit: LIMIT,
        version: 1,
        units,
        is_unconditional: false,
        reserve: 0.0,
    }
}

fn refused(retry_after_ms: u64) -> Verdict {
    Verdict::Refused { retry_after: Duration::from_millis(retry_after_ms), fleet_per_second: 900.0 }
}

/// Time of the repeated refusal, in milliseconds.
fn repeated_ms(known: &mut KnownRefusals, units: f64, now: u64, draw: f64) -> Option<u64> {
    match known.repeat(&request(units), at(now), draw)? {
        Verdict::Refused { retry_after, .. } => Some(retry_after.as_millis() as u64),
        Verdict::Admitted { .. } => panic!("only refusals are repeated"),
    }
}

#[test]
fn the_time_to_retry_decreases_until_the_owner_is_asked_again() {
    let mut known = KnownRefusals::default();
    assert_eq!(repeated_ms(&mut known, 1.0, 0, 0.0), None);
    known.record_verdict(&request(1_000.0), &refused(1_200), at(100));
    let times: Vec<_> =
        [100, 400, 1_280, 1_300].map(|now| repeated_ms(&mut known, 1.0, now, 0.0)).into();
    // At least 50 ms, as the owner states.
    assert_eq!(times, [Some(1_200), Some(900), Some(50), None]);
}

/// Guards against a small request that is refused because a large one was, although the bucket
/// could hold it. The owner admits while its bucket isn't overdrawn, whatever the size, so nothing
/// that it would admit may be refused before its bucket is out of debt.
#[test]
fn a_refusal_of_a_large_request_holds_for_a_small_one_only_while_the_owner_would_refuse_it() {
    fn holds(large: u16, small: u8, wait: u16) -> bool {
        let mut owner = LimitOwner::default();
        let large = 2_000.0 + f64::from(large % 4_000);
        owner.charge(&request(large), at(0), 0.0);
        let Verdict::Refused { retry_after, .. } = owner.charge(&request(large), at(1), 0.0) else {
            return true;
        };
        let mut known = KnownRefusals::default();
        let verdict = Verdict::Refused { retry_after, fleet_per_second: 0.0 };
        known.record_verdict(&request(large), &verdict, at(1));
        let now = at(1 + u64::from(wait % 6_000));
        let repeated = known.repeat(&request(f64::from(small)), now, 0.0).is_some();
        let admitted = owner.charge(&request(f64::from(small)), now, 0.0).is_admitted();
        // The owner states at least 50 ms.
        !(repeated && admitted) || now.since(at(1)) < Duration::from_millis(50)
    }
    QuickCheck::new().tests(2_000).quickcheck(holds as fn(u16, u8, u16) -> bool);
}

/// Guards against routers that keep refusing after the bucket has filled: the owner's time includes
/// a random part, which can be longer than the bucket needs.
#[test]
fn a_refusal_is_repeated_for_no_longer_than_half_of_the_time_in_which_the_bucket_fills() {
    let mut known = KnownRefusals::default();
    known.record_verdict(&request(1.0), &refused(10_000), at(0));
    assert_eq!(repeated_ms(&mut known, 1.0, 1_999, 0.0), Some(8_001));
    assert_eq!(repeated_ms(&mut known, 1.0, 2_000, 0.0), None);
}

/// Guards against callers that all retry at the owner's time.
#[test]
fn callers_refused_here_are_spread_over_the_time_that_their_units_need() {
    let mut known = KnownRefusals::default();
    known.record_verdict(&request(1.0), &refused(1_000), at(0));
    assert_eq!(repeated_ms(&mut known, 500.0, 0, 1.0), Some(1_000));
    assert_eq!(repeated_ms(&mut known, 500.0, 0, 1.0), Some(1_500));
    assert_eq!(repeated_ms(&mut known, 500.0, 0, 0.5), Some(1_500));
}

#[test]
fn other_accounts_newer_limits_smaller_reserves_and_unconditional_charges_are_not_refused() {
    let mut known = KnownRefusals::default();
    let reserving = ChargeRequest { reserve: 2.0, ..request(1.0) };
    known.record_verdict(&reserving, &refused(1_000), at(0));
    for request in [
        ChargeRequest { account: "other", ..reserving },
        ChargeRequest { version: 2, ..reserving },
        ChargeRequest { reserve: 1.0, ..reserving },
        ChargeRequest { is_unconditional: true, ..reserving },
    ] {
        assert_eq!(known.repeat(&request, at(1), 0.0), None, "{request:?}");
    }
    assert!(known.repeat(&reserving, at(1), 0.0).is_some());
    known.record_verdict(&reserving, &Verdict::Admitted { fleet_per_second: 0.0 }, at(2));
    assert_eq!(known.repeat(&reserving, at(3), 0.0), None);
}
