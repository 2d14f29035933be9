//! Sends checked load to fleets while something is done to them.

use std::time::Duration;

use juniper_lab::fleet::Fleet;
use juniper_lab::load::arguments::{complete, default_options};
use juniper_lab::load::{LoadOptions, LoadReport, run_load};
use juniper_lab::trace::{RequestTrace, TraceRequest, fleet_trace};

use super::fleets::{PROFILE, SIZES};

/// Share of what the engines can serve: enough to keep every engine busy.
const LOAD: f64 = 0.4;

/// Every kind of request.
pub fn mixed(seed: u64, seconds: u64) -> RequestTrace {
    let duration = Duration::from_secs(seconds);
    fleet_trace(PROFILE, seed, LOAD, SIZES.engines, duration).expect("constant names")
}

/// Only calls that run at most once, one for each request of the mixed trace.
pub fn only_at_most_once(seed: u64, seconds: u64) -> RequestTrace {
    let mut trace = mixed(seed, seconds);
    let service = trace
        .records
        .iter()
        .find(|record| matches!(record.request, TraceRequest::AtMostOnce { .. }))
        .map(|record| record.service.clone())
        .expect("a call");
    for (record, number) in trace.records.iter_mut().zip(1..) {
        record.service = service.clone();
        record.request = TraceRequest::AtMostOnce { number, body_bytes: 300 };
    }
    trace
}

/// Callers that go to another router after five seconds of silence.
pub fn load_options(fleet: &Fleet) -> LoadOptions {
    let mut options = default_options();
    options.routers = fleet.router_targets();
    options.executions = fleet.execution_sources();
    options.patience.stall = Duration::from_secs(5);
    options.patience.refusals = 5;
    complete(options).expect("the fleet has routers")
}

pub async fn send(trace: &RequestTrace, options: LoadOptions) -> LoadReport {
    run_load(trace, options).await.expect("the load runs")
}

/// Sends `trace` while `faults` are done. No promise may be broken, as callers
/// and engines see it.
pub async fn under_load(
    fleet: &mut Fleet,
    trace: &RequestTrace,
    faults: impl AsyncFnOnce(&mut Fleet),
) -> LoadReport {
    let options = load_options(fleet);
    let (report, ()) = tokio::join!(send(trace, options), faults(fleet));
    assert_kept(fleet, &report).await;
    report
}

pub async fn assert_kept(fleet: &mut Fleet, report: &LoadReport) {
    assert_eq!(report.violations, 0, "{:#?}", report.violation_details);
    let breaches = fleet.witnesses().await.expect("the engines answer");
    assert_eq!(breaches.total, 0, "{:#?}", breaches.described);
}

/// Every request that may be repeated got its whole answer.
pub fn assert_complete(report: &LoadReport) {
    assert_eq!(report.failed, 0, "{:?}", report.failures);
    assert_eq!(report.refused, 0, "{:?}", report.refusals);
    assert_eq!(report.requests, report.complete + report.unknown);
    assert!(report.complete > 0);
}
