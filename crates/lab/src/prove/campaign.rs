//! Runs many seeds of an area on several threads.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::thread;

use super::areas::{Area, SeedRun};

/// Maximum number of threads of a campaign.
pub const MAX_THREADS: usize = 6;

/// Parameters of a campaign.
#[derive(Clone, Copy, Debug)]
pub struct Campaign {
    /// First seed.
    pub first_seed: u64,
    /// Number of seeds.
    pub seeds: u64,
    /// Name of the planted fault, if any.
    pub planted: Option<&'static str>,
    /// Whether to stop at the first seed with a violation.
    pub stop_at_first: bool,
}

/// Seed whose run violated an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedSeed {
    /// Seed of the run.
    pub seed: u64,
    /// Descriptions of the violations.
    pub violations: Vec<String>,
}

/// Result of a campaign.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Number of seeds that were run.
    pub runs: u64,
    /// Seeds with violations, in ascending order.
    pub failed: Vec<FailedSeed>,
}

/// Runs a campaign on `threads` threads. The result does not depend on the number of
/// threads, except that a campaign that stops at the first violation may run more seeds.
pub fn run(area: &Area, campaign: Campaign, threads: usize) -> Summary {
    let next = AtomicU64::new(0);
    let stop_before = AtomicU64::new(campaign.seeds);
    let (sender, results) = mpsc::channel();
    thread::scope(|scope| {
        for _ in 0..threads.clamp(1, MAX_THREADS) {
            let sender = sender.clone();
            let (next, stop_before) = (&next, &stop_before);
            scope.spawn(move || run_seeds(area, campaign, next, stop_before, &sender));
        }
        drop(sender);
        summarize(&results)
    })
}

fn run_seeds(
    area: &Area,
    campaign: Campaign,
    next: &AtomicU64,
    stop_before: &AtomicU64,
    sender: &mpsc::Sender<FailedSeed>,
) {
    loop {
        let offset = next.fetch_add(1, Ordering::Relaxed);
        if offset >= stop_before.load(Ordering::Relaxed) {
            return;
        }
        let seed = campaign.first_seed + offset;
        let outcome = (area.run)(SeedRun { seed, planted: campaign.planted, traced: false });
        if campaign.stop_at_first && !outcome.violations.is_empty() {
            stop_before.fetch_min(offset, Ordering::Relaxed);
        }
        if sender.send(FailedSeed { seed, violations: outcome.violations }).is_err() {
            return;
        }
    }
}

fn summarize(results: &mpsc::Receiver<FailedSeed>) -> Summary {
    let mut summary = Summary::default();
    for result in results {
        summary.runs += 1;
        if !result.violations.is_empty() {
            summary.failed.push(result);
        }
    }
    summary.failed.sort_by_key(|failed| failed.seed);
    summary
}
