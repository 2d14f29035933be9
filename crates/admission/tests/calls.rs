//! Calls without prompts: six servers with six slots and 60 ms, 600 calls per second.

use std::collections::VecDeque;
use std::time::Duration;

use juniper_admission::{ConcurrencyLimit, ServerCalls};
use quickcheck::{Arbitrary, Gen};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVERS: usize = 6;
const SLOTS: u32 = 6;
const PROCESSING_MS: f64 = 60.0;
const OBJECTIVE: Duration = Duration::from_millis(300);

/// Dispatches are known to other routers after this time.
const REPORT_MS: f64 = 30.0;

/// Dispatches of one server.
#[derive(Clone, Debug, Default)]
struct Server {
    /// Time from which each slot is free.
    free_at: [f64; SLOTS as usize],
    /// Dispatch and end of the calls in flight.
    calls: VecDeque<(f64, f64)>,
}

impl Server {
    /// Calls in flight according to the reports.
    fn load(&self, now: f64) -> ServerCalls {
        let seen = now - REPORT_MS;
        let is_in_flight = |call: &&(f64, f64)| call.0 <= seen && call.1 > seen;
        let in_flight = self.calls.iter().filter(is_in_flight).count() as f64;
        ServerCalls { in_flight, slots: SLOTS }
    }

    /// Returns the time of the answer.
    fn send(&mut self, now: f64, processing_ms: f64) -> f64 {
        let slot = self.free_at.iter_mut().min_by(|one, other| one.total_cmp(other));
        let slot = slot.expect("slots");
        *slot = slot.max(now) + processing_ms;
        self.calls.retain(|(_, end)| *end > now - REPORT_MS);
        self.calls.push_back((now, *slot));
        *slot
    }
}

/// Calls per second in time, and refused calls per second.
fn run(per_second: f64, limits: bool) -> (f64, f64) {
    let seconds = 20.0;
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut servers = vec![Server::default(); SERVERS];
    let (mut limit, mut answers) = (ConcurrencyLimit::default(), Vec::new());
    let (mut now, mut in_time, mut refused) = (0.0, 0.0, 0.0);
    while now < seconds * 1_000.0 {
        now -= random.random_range(1e-9_f64..1.0).ln() / per_second * 1_000.0;
        answers.retain(|(end, load, latency): &(f64, ServerCalls, f64)| {
            if *end <= now {
                limit.record(*load, Duration::from_secs_f64(latency / 1_000.0));
            }
            *end > now
        });
        let loads: Vec<ServerCalls> = servers.iter().map(|server| server.load(now)).collect();
        if limits && limit.decide(loads.iter().copied(), OBJECTIVE, random.random()).is_err() {
            refused += 1.0;
            continue;
        }
        let drawn = [random.random_range(0..SERVERS), random.random_range(0..SERVERS)];
        let index = match loads[drawn[0]].in_flight <= loads[drawn[1]].in_flight {
            true => drawn[0],
            false => drawn[1],
        };
        let end = servers[index].send(now, PROCESSING_MS * random.random_range(0.9..1.1));
        in_time += f64::from(u8::from(end - now <= OBJECTIVE.as_secs_f64() * 1_000.0));
        answers.push((end, loads[index], end - now));
    }
    (in_time / seconds, refused / seconds)
}

/// Guards against queues in which every answer is late: without a limit nothing is in time.
#[test]
fn what_servers_can_do_is_answered_in_time_at_two_and_three_times_the_load() {
    for per_second in [600.0, 1_200.0, 1_800.0] {
        let (in_time, refused) = run(per_second, true);
        println!("{per_second} per second: {in_time:.0} in time, {refused:.0} refused");
        assert!(in_time >= 0.95 * 600.0, "{per_second}: {in_time}");
    }
    assert!(run(1_200.0, false).0 < 100.0, "without a limit");
}

#[test]
fn nothing_is_refused_below_capacity() {
    assert_eq!(run(450.0, true).1, 0.0);
}

/// Failure: a server is slow for a moment with few calls in flight, which says nothing about how
/// many it can process.
#[test]
fn slow_server_with_few_calls_keeps_its_limit() {
    let mut limit = ConcurrencyLimit::default();
    let load = |in_flight| ServerCalls { in_flight, slots: SLOTS };
    (0..50).for_each(|_| limit.record(load(3.0), Duration::from_millis(60)));
    (0..50).for_each(|_| limit.record(load(3.0), Duration::from_millis(180)));
    assert_eq!(limit.limit(SLOTS), 6.0);
}

/// Failures: a restarted router knows no latency, and the slots may not be reported.
#[test]
fn call_is_admitted_while_the_limit_is_unknown() {
    let full = ServerCalls { in_flight: 500.0, slots: SLOTS };
    let mut limit = ConcurrencyLimit::default();
    assert_eq!(limit.decide([full].into_iter(), OBJECTIVE, 1.0), Ok(()));
    (0..50).for_each(|_| {
        limit.record(ServerCalls { in_flight: 1.0, ..full }, Duration::from_millis(60))
    });
    assert!(limit.decide([full].into_iter(), OBJECTIVE, 1.0).is_err());
    let unknown = ServerCalls { slots: 0, ..full };
    assert_eq!(limit.decide([unknown].into_iter(), OBJECTIVE, 1.0), Ok(()));
    // Failure: reports are missing, so only this router's calls are counted.
    assert_eq!(
        limit.decide([ServerCalls { in_flight: 1.0, ..full }].into_iter(), OBJECTIVE, 1.0),
        Ok(())
    );
}

/// A sample: calls in flight and latency in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Sample(u8, u16);

impl Arbitrary for Sample {
    fn arbitrary(random: &mut Gen) -> Self {
        Sample(u8::arbitrary(random), u16::arbitrary(random))
    }
}

quickcheck::quickcheck! {
    /// No series of samples moves the limit out of its bounds.
    fn limit_stays_bounded(samples: Vec<Sample>) -> bool {
        let mut limit = ConcurrencyLimit::default();
        for Sample(in_flight, latency_ms) in samples {
            let load = ServerCalls { in_flight: f64::from(in_flight), slots: SLOTS };
            limit.record(load, Duration::from_millis(u64::from(latency_ms)));
        }
        let limit = limit.limit(SLOTS);
        limit.is_infinite() || (3.0..=12.0).contains(&limit)
    }
}
