//! Unit tests of the bucket, the owner's accounts, local limits and shares.

use std::time::Duration;

use juniper_limits::{
    ChargeRequest, FleetShare, LimitOwner, LocalLimits, RateLimit, TokenBucket, Verdict,
    rank_owners,
};
use juniper_types::{NodeId, Timestamp};
use quickcheck::QuickCheck;

const LIMIT: RateLimit = RateLimit { per_second: 1_000.0, burst: 500.0 };

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

fn charge(owner: &mut LimitOwner, units: f64, now: Timestamp) -> bool {
    owner.charge(&request(units), now, 0.0).is_admitted()
}

#[test]
fn taken_units_exceed_rate_and_burst_by_at_most_one_request() {
    fn holds(requests: Vec<(u8, u16)>) -> bool {
        let mut bucket = TokenBucket::full(LIMIT, Timestamp::ZERO);
        let (mut now, mut taken) = (Timestamp::ZERO, 0.0);
        for (wait, units) in requests {
            now = now.after(Duration::from_millis(u64::from(wait)));
            if bucket.take_or_overdraw(f64::from(units), 0.0, LIMIT, now).is_ok() {
                taken += f64::from(units);
            }
            let limit = LIMIT.burst + LIMIT.per_second * now.as_millis() as f64 / 1_000.0;
            if taken > limit + f64::from(u16::MAX) {
                return false;
            }
        }
        true
    }
    QuickCheck::new().tests(500).quickcheck(holds as fn(Vec<(u8, u16)>) -> bool);
}

#[test]
fn a_request_larger_than_the_burst_overdraws_the_bucket() {
    let mut owner = LimitOwner::default();
    assert!(charge(&mut owner, 5_000.0, at(0)));
    assert!(!charge(&mut owner, 1.0, at(100)));
    // The bucket starts with half of the burst: 250 - 5,000 + 4.8 s x 1,000.
    assert!(charge(&mut owner, 1.0, at(4_800)));
}

#[test]
fn a_new_owner_starts_with_half_of_the_burst() {
    let mut owner = LimitOwner::default();
    let admitted = (0..100).filter(|_| charge(&mut owner, 10.0, at(0))).count();
    // 250 units, and the request that overdraws the bucket.
    assert_eq!(admitted, 26);
}

/// Guards against half a burst with each restart of the process that owns an account.
#[test]
fn an_owner_that_restarts_exceeds_the_limit() {
    let mut admitted = 0;
    for restart in 0..16 {
        let start = restart * 500;
        let mut owner = LimitOwner::starting_at(at(start));
        let charges = (start + 50..start + 500).step_by(10);
        admitted += charges.filter(|millis| charge(&mut owner, 20.0, at(*millis))).count();
    }
    // 8 s, and one request that overdraws the bucket of each process.
    assert!(admitted as f64 * 20.0 <= LIMIT.per_second * 8.0 + 16.0 * 20.0, "{admitted}");
}

#[test]
fn a_lowered_limit_applies_at_once_and_creates_no_debt() {
    let mut owner = LimitOwner::default();
    assert!(charge(&mut owner, 1.0, at(0)));
    let lower = RateLimit { per_second: 10.0, burst: 10.0 };
    let lowered = |units| ChargeRequest { limit: lower, version: 2, ..request(units) };
    let mut admit = |now| owner.charge(&lowered(5.0), now, 0.0).is_admitted();
    assert_eq!([admit(at(1)), admit(at(2)), admit(at(3)), admit(at(4))], [true, true, true, false]);
    // A charge by a router with the older configuration doesn't restore the higher limit.
    assert!(!charge(&mut owner, 1.0, at(5)));
}

#[test]
fn a_raised_limit_applies_at_once() {
    let mut owner = LimitOwner::default();
    while charge(&mut owner, 100.0, at(0)) {}
    let raised = RateLimit { per_second: 2_000.0, burst: 2_000.0 };
    let topped_up = ChargeRequest { limit: raised, version: 2, ..request(100.0) };
    assert!(owner.charge(&topped_up, at(0), 0.0).is_admitted());
}

#[test]
fn refunds_are_credited_and_unconditional_charges_are_counted() {
    let mut owner = LimitOwner::default();
    while charge(&mut owner, 50.0, at(0)) {}
    owner.refund("one", 100.0, at(0));
    assert!(charge(&mut owner, 1.0, at(0)));
    let second_attempt = ChargeRequest { is_unconditional: true, ..request(10_000.0) };
    assert!(owner.charge(&second_attempt, at(0), 0.0).is_admitted());
    assert!(!charge(&mut owner, 1.0, at(9_000)));
}

#[test]
fn refused_callers_get_different_retry_delays() {
    let mut owner = LimitOwner::default();
    while charge(&mut owner, 100.0, at(0)) {}
    let mut delays = Vec::new();
    for draw in [0.0, 0.25, 0.5, 0.75] {
        match owner.charge(&request(2_000.0), at(0), draw) {
            Verdict::Refused { retry_after, .. } => delays.push(retry_after),
            Verdict::Admitted { .. } => panic!("the bucket is empty"),
        }
    }
    assert!(delays.is_sorted() && delays[0] < delays[3], "{delays:?}");
    // The earliest retry is due once the bucket isn't overdrawn: 50 units at 1,000 per second.
    assert_eq!(delays[0], Duration::from_millis(50));
}

#[test]
fn a_rate_of_zero_admits_nothing_and_idle_accounts_are_removed() {
    let mut owner = LimitOwner::default();
    let none = RateLimit { per_second: 0.0, burst: 0.0 };
    let refused = owner.charge(&ChargeRequest { limit: none, ..request(1.0) }, at(0), 0.0);
    assert!(!refused.is_admitted());
    assert_eq!(owner.account_count(), 1);
    let later = ChargeRequest { account: "two", ..request(1.0) };
    owner.charge(&later, at(80_000), 0.0);
    assert_eq!(owner.account_count(), 1);
}

#[test]
fn probabilistic_admission_matches_the_available_units_on_average() {
    let mut admitted = 0.0;
    let buckets = 20_000;
    for index in 0..buckets {
        // Each of many buckets holds a hundredth of a request.
        let mut bucket = TokenBucket::at_level(1.0, LIMIT, at(0));
        let draw = f64::from(index) / f64::from(buckets);
        let limit = RateLimit { per_second: 0.0, ..LIMIT };
        if bucket.take_probabilistic(100.0, limit, at(0), draw).is_ok() {
            admitted += 100.0;
        }
    }
    assert!((19_000.0..=21_000.0).contains(&admitted), "{admitted}");
}

#[test]
fn a_router_without_an_owner_stays_within_its_share() {
    let mut local = LocalLimits::default();
    // The owner admits 400 units per second over all routers, a quarter of them on this one.
    for step in 0..400 {
        let verdict = Verdict::Admitted { fleet_per_second: 400.0 };
        local.record_verdict(&request(10.0), &verdict, at(step * 100));
    }
    let start = 40_000;
    let mut admitted = 0.0;
    for step in 0..400 {
        let draw = (step * 37 % 100) as f64 / 100.0;
        if local.decide(&request(10.0), 10, at(start + step * 10), draw).is_admitted() {
            admitted += 10.0;
        }
    }
    // 4 s at 0.6 of a share between 0.1 and 0.25 of 1,000 units per second, plus the burst.
    assert!((240.0..=700.0).contains(&admitted), "{admitted}");
}

#[test]
fn only_accounts_of_a_failed_replica_change_owner() {
    let replicas: Vec<NodeId> = (1..=6).map(NodeId).collect();
    let names: Vec<String> = (0..600).map(|number| format!("tenant-{number}")).collect();
    let first = |replicas: &[NodeId], name: &str| rank_owners(replicas.iter().copied(), name)[0];
    let remaining: Vec<NodeId> = replicas[1..].to_vec();
    let mut owned = [0; 6];
    for name in &names {
        let before = first(&replicas, name);
        owned[before.0 as usize - 1] += 1;
        if before != replicas[0] {
            assert_eq!(first(&remaining, name), before);
        }
    }
    assert!(owned.iter().all(|count| (60..=140).contains(count)), "{owned:?}");
    assert!(rank_owners([], "one").is_empty());
}

#[test]
fn shares_of_the_same_reports_add_up_to_one() {
    let demands = [0.0, 5.0, 10.0, 85.0];
    let sum: f64 =
        demands.iter().map(|own| FleetShare::by_demand(4, *own, 100.0).of_rate(1.0)).sum();
    assert!((sum - 1.0).abs() < 1e-9);
}
