//! Runs many seeds of an area on a few threads.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::thread;

use super::areas::{Area, SeedRun};

/// Most threads that a campaign takes; the machine may have other work.
pub const MAX_THREADS: usize = 6;

/// What to run.
#[derive(Clone, Copy, Debug)]
pub struct Campaign {
    /// First seed.
    pub first_seed: u64,
    /// Number of seeds.
    pub seeds: u64,
    /// The planted fault, if any.
    pub planted: Option<&'static str>,
    /// Whether to stop at the first seed with a violation.
    pub stop_at_first: bool,
}

/// A seed that showed a violation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedSeed {
    /// The seed.
    pub seed: u64,
    /// What was wrong.
    pub violations: Vec<String>,
}

/// What came of a campaign.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Seeds run.
    pub runs: u64,
    /// Seeds with violations, in order.
    pub failed: Vec<FailedSeed>,
}

/// Runs a campaign on `threads` threads. The result does not depend on their number,
/// except that more seeds may have been run when it stops at the first violation.
pub fn run(area: &Area, campaign: Campaign, threads: usize) -> Summary {
    let next = AtomicU64::new(0);
    let stop_before = AtomicU64::new(campaign.seeds);
    let (sender, results) = mpsc::channel();
    thread::scope(|scope| {
        for _ in 0..threads.clamp(1, MAX_THREADS) {
            let sender = sender.clone();
            let (next, stop_before) = (&next, &stop_before);
            scope.spawn(move || work(area, campaign, next, stop_before, &sender));
        }
        drop(sender);
        collect(&results)
    })
}

fn work(
    area: &Area,
    campaign: Campaign,
    next: &AtomicU64,
    stop_before: &AtomicU64,
    sender: &mpsc::Sender<FailedSeed>,
) {
    loop {
        let place = next.fetch_add(1, Ordering::Relaxed);
        if place >= stop_before.load(Ordering::Relaxed) {
            return;
        }
        let seed = campaign.first_seed + place;
        let outcome = (area.run)(SeedRun { seed, planted: campaign.planted, traced: false });
        if campaign.stop_at_first && !outcome.violations.is_empty() {
            stop_before.fetch_min(place, Ordering::Relaxed);
        }
        if sender.send(FailedSeed { seed, violations: outcome.violations }).is_err() {
            return;
        }
    }
}

fn collect(results: &mpsc::Receiver<FailedSeed>) -> Summary {
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
