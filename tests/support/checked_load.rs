//! Sends load to a fleet during faults and checks the answers and executions.

use std::time::Duration;

use juniper_lab::fleet::Fleet;
use juniper_lab::load::arguments::{complete, default_options};
use juniper_lab::load::{LoadOptions, LoadReport, run_load};
use juniper_lab::trace::{RequestTrace, TraceRequest, fleet_trace};

use super::fleets::{PROFILE, SIZES};

/// Load as a share of the engines' capacity; keeps every engine busy.
const LOAD_SHARE: f64 = 0.4;

/// Trace with requests of every kind.
pub fn mixed_trace(seed: u64, seconds: u64) -> RequestTrace {
    let duration = Duration::from_secs(seconds);
    fleet_trace(PROFILE, seed, LOAD_SHARE, SIZES.engines, duration)
        .expect("the profile names are valid")
}

/// Trace with an at-most-once request in place of each request of the mixed trace.
pub fn at_most_once_trace(seed: u64, seconds: u64) -> RequestTrace {
    let mut trace = mixed_trace(seed, seconds);
    let service = trace
        .records
        .iter()
        .find(|record| matches!(record.request, TraceRequest::AtMostOnce { .. }))
        .map(|record| record.service.clone())
        .expect("the trace has an at-most-once request");
    for (record, number) in trace.records.iter_mut().zip(1..) {
        record.service = service.clone();
        record.request = TraceRequest::AtMostOnce { number, body_bytes: 300 };
    }
    trace
}

/// Load options with callers that try another router after a stream gap of five seconds.
pub fn load_options(fleet: &Fleet) -> LoadOptions {
    let mut options = default_options();
    options.routers = fleet.router_targets();
    options.executions = fleet.execution_sources();
    options.retry_policy.stall = Duration::from_secs(5);
    options.retry_policy.refusals = 5;
    complete(options).expect("the fleet has routers")
}

pub async fn send_trace(trace: &RequestTrace, options: LoadOptions) -> LoadReport {
    run_load(trace, options).await.expect("the load runs")
}

/// Sends `trace` while `faults` runs and checks that neither callers nor engines saw a violation.
pub async fn run_under_load(
    fleet: &mut Fleet,
    trace: &RequestTrace,
    faults: impl AsyncFnOnce(&mut Fleet),
) -> LoadReport {
    let options = load_options(fleet);
    let (report, ()) = tokio::join!(send_trace(trace, options), faults(fleet));
    assert_no_violations(fleet, &report).await;
    report
}

/// Checks that neither callers nor engines saw a violation.
pub async fn assert_no_violations(fleet: &mut Fleet, report: &LoadReport) {
    assert_eq!(report.violations, 0, "{:#?}", report.violation_details);
    let breaches = fleet.witnesses().await.expect("the engines answer");
    assert_eq!(breaches.total, 0, "{:#?}", breaches.described);
}

/// Checks that every request that may be retried got its complete answer.
pub fn assert_complete(report: &LoadReport) {
    assert_eq!(report.failed, 0, "{:?}", report.failures);
    assert_eq!(report.refused, 0, "{:?}", report.refusals);
    assert_eq!(report.requests, report.complete + report.unknown);
    assert!(report.complete > 0);
}
