//! A router whose own link is full accepts no more than it carries, and takes its own shortage for no
//! failure of servers.

use std::time::Duration;

use juniper_admission::{ConnectTimes, LinkLoad, LinkTotals};
use juniper_types::Timestamp;
use quickcheck::quickcheck;

/// Capacity of each direction, in bytes per second: 10 Mbit/s.
const CAPACITY: f64 = 1_250_000.0;

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_millis(1_000 + millis))
}

/// Router at which connections arrive, each with one request that is passed on to a server.
struct Router {
    link: LinkLoad,
    totals: LinkTotals,
    accepted: usize,
}

impl Router {
    fn new(capacity: Option<f64>) -> Self {
        Router { link: LinkLoad::new(capacity), totals: LinkTotals::default(), accepted: 0 }
    }

    /// Offers a request of this size, which takes as much of the link in each direction.
    fn offer(&mut self, bytes: u64, now: Timestamp) {
        self.link.measure(self.totals, now);
        if !self.link.accepts_connections(now) {
            return;
        }
        self.link.record_accepted(now);
        self.accepted += 1;
        self.totals.received += bytes;
        self.totals.received_from_callers += bytes;
        self.totals.sent += bytes;
        self.totals.requests += 1;
    }
}

/// Bytes accepted in two seconds out of as many requests as fill the link `load` times.
fn accepted_bytes(load: f64, bytes: u64) -> f64 {
    let mut router = Router::new(Some(CAPACITY));
    let per_second = load * CAPACITY / bytes as f64;
    let count = (2.0 * per_second) as usize;
    for number in 0..count {
        let now = Duration::from_secs_f64(number as f64 / per_second);
        router.offer(bytes, at(0).after(now));
    }
    router.accepted as f64 * bytes as f64 / 2.0
}

#[test]
fn a_flood_of_connections_fills_the_link() {
    for load in [1.0, 1.5, 3.0, 10.0] {
        for bytes in [2_000, 4_700, 18_000] {
            let share = accepted_bytes(load, bytes) / CAPACITY;
            assert!((0.6..=0.9).contains(&share), "load {load}, {bytes} bytes: {share}");
        }
    }
}

#[test]
fn a_router_with_little_load_refuses_connections() {
    for bytes in [2_000, 4_700, 18_000] {
        let share = accepted_bytes(0.5, bytes) / CAPACITY;
        assert!((share - 0.5).abs() < 0.02, "{bytes} bytes: {share}");
    }
    let mut router = Router::new(None);
    (0..1_000).for_each(|number| router.offer(1_000_000, at(number)));
    assert_eq!(router.accepted, 1_000, "no capacity is known");
}

/// A load balancer, or the caller, may take a router that refuses for long for a failed one.
#[test]
fn a_router_whose_link_stays_full_accepts_nothing_for_seconds() {
    let mut router = Router::new(Some(CAPACITY));
    let mut accepted_at = 0;
    for millis in (0..10_000).step_by(10) {
        // Streams of open connections alone fill the link.
        router.totals.received += 20_000;
        let before = router.accepted;
        router.offer(4_000, at(millis));
        if router.accepted > before {
            accepted_at = millis;
        }
        assert!(millis - accepted_at < 1_000, "nothing accepted from {accepted_at} to {millis} ms");
    }
    assert!(router.link.is_congested(at(10_000)));
}

#[test]
fn a_congestion_outlasts_the_load_by_seconds() {
    let mut router = Router::new(Some(CAPACITY));
    for millis in (0..1_000).step_by(10) {
        router.totals.sent += 12_500;
        router.link.measure(router.totals, at(millis));
    }
    assert!(router.link.is_congested(at(1_000)));
    router.link.measure(router.totals, at(1_800));
    assert!(!router.link.is_congested(at(1_800)) && router.link.accepts_connections(at(1_800)));
}

const USUAL: Duration = Duration::from_millis(300);

#[test]
fn connections_time_out_while_all_of_them_take_long() {
    let mut times = ConnectTimes::default();
    assert_eq!((times.timeout(at(0)), times.is_slow(at(0))), (USUAL, false));
    for (number, millis) in [4, 25, 45, 85, 115, 180].into_iter().enumerate() {
        times.record(Duration::from_millis(millis), at(100 * number as u64));
    }
    assert!(times.is_slow(at(600)) && times.timeout(at(600)) > USUAL);
    let before = times.timeout(at(600));
    times.record_timeout(before, at(700));
    assert!(times.timeout(at(700)) > before, "the next one gets more time");
    assert!(times.timeout(at(700)) <= Duration::from_millis(1_200));
    assert_eq!(times.timeout(at(3_000)), USUAL, "no server was reached for two seconds");
    assert!(!times.is_slow(at(3_000)), "the router may be partitioned");
}

#[test]
fn time_outs_of_one_server_excuse_it() {
    let mut times = ConnectTimes::default();
    for number in 0..20 {
        times.record(Duration::from_millis(3), at(100 * number));
        times.record_timeout(USUAL, at(100 * number + 50));
        assert!(!times.is_slow(at(100 * number + 60)));
    }
}

quickcheck! {
    /// The time-out stays within its bounds, whatever is recorded.
    fn time_outs_are_bounded(samples: Vec<(u16, u16)>) -> bool {
        let (mut times, mut now) = (ConnectTimes::default(), 0);
        samples.iter().all(|(gap_ms, time_ms)| {
            now += u64::from(*gap_ms);
            times.record(Duration::from_millis(u64::from(*time_ms)), at(now));
            (USUAL..=Duration::from_millis(1_200)).contains(&times.timeout(at(now)))
        })
    }
}
