//! Benchmark of a cluster of control replicas: real processes, loopback TCP, synced disks.
//!
//! `cargo run --release -p juniper-control --example control_group -- CASE [NUMBERS]`
//! where a case is one of
//! `commit REPLICAS`, `claims REPLICAS`, `failover REPLICAS`,
//! `spread REPLICAS SUBSCRIBERS`, `herd REPLICAS SUBSCRIBERS`, `start CHANGES` and
//! `snapshot CLAIMS`.
//! Data is written below `target` in the current folder, which determines the disk.

mod client;
mod cluster;
mod commit;
mod failover;
mod herd;
mod snapshot;
mod spread;
mod start;

use std::time::Duration;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |at: usize| arguments.get(at).and_then(|text| text.parse().ok()).unwrap_or(3);
    let case = arguments.first().map(String::as_str).unwrap_or("");
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    match case {
        "replica" => runtime.block_on(cluster::run_replica(&arguments[1])),
        "commit" => runtime.block_on(commit::one_at_a_time(number(1))),
        "claims" => runtime.block_on(commit::at_full_load(number(1))),
        "failover" => runtime.block_on(failover::measure(number(1))),
        "spread" => runtime.block_on(spread::measure(number(1), number(2))),
        "herd" => runtime.block_on(herd::measure(number(1), number(2))),
        "snapshot" => snapshot::measure(number(1)),
        "start" => runtime.block_on(start::measure(number(1))),
        _ => eprintln!("cases: commit, claims, failover, spread, herd, start, snapshot"),
    }
}

/// Prints median, 99th percentile and maximum, in milliseconds.
fn report(name: &str, mut samples: Vec<Duration>) {
    samples.sort_unstable();
    let percentile = |share: f64| {
        let rank = ((samples.len() as f64 * share).ceil() as usize).clamp(1, samples.len());
        samples[rank - 1].as_secs_f64() * 1_000.0
    };
    println!(
        "{name}: n={} p50={:.2} ms p99={:.2} ms max={:.2} ms",
        samples.len(),
        percentile(0.5),
        percentile(0.99),
        percentile(1.0)
    );
}
