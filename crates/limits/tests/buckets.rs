//! The bucket, the owner's accounts and a router's own part, each by itself.

use std::time::Duration;

use juniper_limits::{
    ChargeRequest, FleetShare, LimitOwner, LocalLimits, RateLimit, TokenBucket, Verdict, owners,
};
use juniper_types::{NodeId, Timestamp};
use quickcheck::QuickCheck;

const LIMIT: RateLimit = RateLimit { per_second: 1_000.0, burst: 500.0 };

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn request(units: f64) -> ChargeRequest<'static> {
    ChargeRequest {
        account: "one",
        limit: LIMIT,
        version: 1,
        units,
        is_certain: false,
        reserve: 0.0,
    }
}

fn charge(owner: &mut LimitOwner, units: f64, now: Timestamp) -> bool {
    owner.charge(&request(units), now, 0.0).is_admitted()
}

#[test]
fn what_is_taken_never_exceeds_rate_and_burst_by_more_than_one_request() {
    fn holds(requests: Vec<(u8, u16)>) -> bool {
        let mut bucket = TokenBucket::full(LIMIT, Timestamp::ZERO);
        let (mut now, mut taken) = (Timestamp::ZERO, 0.0);
        for (wait, units) in requests {
            now = now.after(Duration::from_millis(u64::from(wait)));
            if bucket.take_or_overdraw(f64::from(units), 0.0, LIMIT, now).is_ok() {
                taken += f64::from(units);
            }
            let most = LIMIT.burst + LIMIT.per_second * now.as_millis() as f64 / 1_000.0;
            if taken > most + f64::from(u16::MAX) {
                return false;
            }
        }
        true
    }
    QuickCheck::new().tests(500).quickcheck(holds as fn(Vec<(u8, u16)>) -> bool);
}

#[test]
fn a_request_larger_than_the_burst_is_admitted_and_paid_off() {
    let mut owner = LimitOwner::default();
    assert!(charge(&mut owner, 5_000.0, at(0)));
    assert!(!charge(&mut owner, 1.0, at(100)));
    // Half of the burst was there at first: 250 - 5,000 + 4.8 s x 1,000.
    assert!(charge(&mut owner, 1.0, at(4_800)));
}

#[test]
fn an_owner_without_a_past_begins_with_half_of_the_burst() {
    let mut owner = LimitOwner::default();
    let admitted = (0..100).filter(|_| charge(&mut owner, 10.0, at(0))).count();
    // 250 units, and the one that overdraws.
    assert_eq!(admitted, 26);
}

#[test]
fn a_lowered_limit_is_in_force_at_once_and_leaves_no_debt() {
    let mut owner = LimitOwner::default();
    assert!(charge(&mut owner, 1.0, at(0)));
    let lower = RateLimit { per_second: 10.0, burst: 10.0 };
    let lowered = |units| ChargeRequest { limit: lower, version: 2, ..request(units) };
    let mut ask = |now| owner.charge(&lowered(5.0), now, 0.0).is_admitted();
    assert_eq!([ask(at(1)), ask(at(2)), ask(at(3)), ask(at(4))], [true, true, true, false]);
    // A router that still has the older configuration doesn't bring the higher limit back.
    assert!(!charge(&mut owner, 1.0, at(5)));
}

#[test]
fn a_raised_limit_is_there_at_once() {
    let mut owner = LimitOwner::default();
    while charge(&mut owner, 100.0, at(0)) {}
    let raised = RateLimit { per_second: 2_000.0, burst: 2_000.0 };
    let topped_up = ChargeRequest { limit: raised, version: 2, ..request(100.0) };
    assert!(owner.charge(&topped_up, at(0), 0.0).is_admitted());
}

#[test]
fn what_no_server_ran_is_given_back_and_what_runs_anyway_is_counted() {
    let mut owner = LimitOwner::default();
    while charge(&mut owner, 50.0, at(0)) {}
    owner.give_back("one", 100.0, at(0));
    assert!(charge(&mut owner, 1.0, at(0)));
    let second_attempt = ChargeRequest { is_certain: true, ..request(10_000.0) };
    assert!(owner.charge(&second_attempt, at(0), 0.0).is_admitted());
    assert!(!charge(&mut owner, 1.0, at(9_000)));
}

#[test]
fn callers_that_were_refused_are_told_different_times_after_the_refill() {
    let mut owner = LimitOwner::default();
    while charge(&mut owner, 100.0, at(0)) {}
    let mut pauses = Vec::new();
    for draw in [0.0, 0.25, 0.5, 0.75] {
        match owner.charge(&request(2_000.0), at(0), draw) {
            Verdict::Refused { pause, .. } => pauses.push(pause),
            Verdict::Admitted { .. } => panic!("the bucket is empty"),
        }
    }
    assert!(pauses.is_sorted() && pauses[0] < pauses[3], "{pauses:?}");
    // The first may come once the bucket isn't overdrawn: 50 units at 1,000 a second.
    assert_eq!(pauses[0], Duration::from_millis(50));
}

#[test]
fn a_rate_of_zero_admits_nothing_and_idle_tenants_are_forgotten() {
    let mut owner = LimitOwner::default();
    let none = RateLimit { per_second: 0.0, burst: 0.0 };
    let refused = owner.charge(&ChargeRequest { limit: none, ..request(1.0) }, at(0), 0.0);
    assert!(!refused.is_admitted());
    assert_eq!(owner.accounts(), 1);
    let later = ChargeRequest { account: "two", ..request(1.0) };
    owner.charge(&later, at(80_000), 0.0);
    assert_eq!(owner.accounts(), 1);
}

#[test]
fn on_average_chance_admits_what_was_there() {
    let mut admitted = 0.0;
    let parts = 20_000;
    for part in 0..parts {
        // Each of many routers holds a hundredth of a request.
        let mut bucket = TokenBucket::at_level(1.0, LIMIT, at(0));
        let draw = f64::from(part) / f64::from(parts);
        let limit = RateLimit { per_second: 0.0, ..LIMIT };
        if bucket.take_by_chance(100.0, limit, at(0), draw).is_ok() {
            admitted += 100.0;
        }
    }
    assert!((19_000.0..=21_000.0).contains(&admitted), "{admitted}");
}

#[test]
fn a_router_without_an_owner_keeps_to_its_share() {
    let mut local = LocalLimits::default();
    // The owner admitted 400 units a second in all, a quarter of them here.
    for step in 0..400 {
        let verdict = Verdict::Admitted { fleet_per_second: 400.0 };
        local.heard(&request(10.0), &verdict, at(step * 100));
    }
    let begun = 40_000;
    let mut admitted = 0.0;
    for step in 0..400 {
        let draw = (step * 37 % 100) as f64 / 100.0;
        if local.decide(&request(10.0), 10, at(begun + step * 10), draw).is_admitted() {
            admitted += 10.0;
        }
    }
    // 4 s at 0.6 of a share between a tenth and a quarter of 1,000 a second, and the burst.
    assert!((240.0..=700.0).contains(&admitted), "{admitted}");
}

#[test]
fn a_lost_replica_moves_only_the_tenants_that_it_owned() {
    let replicas: Vec<NodeId> = (1..=6).map(NodeId).collect();
    let names: Vec<String> = (0..600).map(|number| format!("tenant-{number}")).collect();
    let first = |replicas: &[NodeId], name: &str| owners(replicas.iter().copied(), name)[0];
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
    assert!(owners([], "one").is_empty());
}

#[test]
fn shares_of_the_same_reports_add_up_to_one() {
    let parts = [0.0, 5.0, 10.0, 85.0];
    let sum: f64 = parts.iter().map(|own| FleetShare::by_demand(4, *own, 100.0).of_rate(1.0)).sum();
    assert!((sum - 1.0).abs() < 1e-9);
}
