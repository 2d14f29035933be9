//! Samples for the timing model of services with tight objectives.

use std::time::Duration;

use juniper_registry::InstanceId;
use juniper_timing::{FirstOutputWork, ServiceTiming};
use juniper_types::Timestamp;

use crate::choice::{Choice, Ticket};
use crate::dispatch_record::ReportedRequest;
use crate::placement::{Placement, incarnation_mut};
use crate::server::Server;
use crate::timing_model::TimingModel;

/// What was expected of a request when it was dispatched.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TimingSample {
    work: FirstOutputWork,
    /// Time to first output at a server of ordinary speed, in milliseconds.
    ordinary_ms: f64,
    /// Time of the first output, and the prefill tokens queued at the server then.
    first_output: Option<(Timestamp, f64)>,
}

impl TimingSample {
    /// Records the first output, which took `took`.
    pub(crate) fn record_first_output(
        &mut self,
        took: Duration,
        timing: &mut ServiceTiming,
        server: &mut Server,
        now: Timestamp,
    ) {
        server.factor.record(took.as_secs_f64() * 1_000.0, self.ordinary_ms, now);
        timing.record_first_output(self.work, took, now);
        let model = TimingModel::Fitted(timing.estimate(now));
        self.first_output = Some((now, server.fleet_load.queued_tokens(&model, now)));
    }
}

impl Ticket {
    /// Leaves the request out of the samples of services with tight objectives. For requests whose
    /// time doesn't measure their prompt: resumed streams, and time during which the machine was
    /// suspended.
    pub fn exclude_from_timing(&mut self) {
        if self.sample.take().is_some() {
            self.is_measured = false;
        }
    }
}

impl Placement {
    /// Timing of the service's servers.
    pub(crate) fn timing_model(&self, service: &str, now: Timestamp) -> TimingModel {
        if self.profile(service).is_tight {
            let timing = self.timings.get(service);
            let estimate = timing.map(|timing| timing.estimate(now));
            return TimingModel::Fitted(estimate.unwrap_or_default());
        }
        TimingModel::Ratio(self.speeds.get(service).copied().unwrap_or_default())
    }

    /// What is expected of the chosen request, in services with tight objectives. Late requests run
    /// after others, and a cold server takes longer for reasons of its own: neither is a sample.
    pub(crate) fn timing_sample(&self, choice: &Choice, now: Timestamp) -> Option<TimingSample> {
        let server = self.server(&choice.instance)?;
        let report = &server.instance.report;
        if choice.is_late || report.cold_remaining_ms > 0 {
            return None;
        }
        let model = self.timing_model(&report.service, now);
        let TimingModel::Fitted(timing) = model else { return None };
        let fleet_tokens = server.fleet_load.queued_tokens(&model, now);
        let work = FirstOutputWork {
            prefill_tokens: f64::from(choice.prefill_tokens),
            tokens_ahead: fleet_tokens.max(server.load.queued_tokens as f64),
            transfer_ms: choice.transfer_ms,
        };
        Some(TimingSample { work, ordinary_ms: timing.first_output_ms(work), first_output: None })
    }

    /// Records that a server has computed a request, in services with tight objectives.
    pub(crate) fn mark_computed(
        &mut self,
        instance: &InstanceId,
        request: ReportedRequest,
        now: Timestamp,
    ) {
        let Some(server) = self.server(instance) else { return };
        let model = self.timing_model(&server.instance.report.service, now);
        let TimingModel::Fitted(timing) = model else { return };
        let min_time = Duration::from_secs_f64(timing.fixed_ms() / 1_000.0);
        if let Some(server) = self.server_mut(instance) {
            server.fleet_load.mark_computed(request, min_time, &model, now);
        }
    }

    /// Records the longest gap of a stream that has ended and wasn't resumed elsewhere.
    pub fn record_longest_gap(&mut self, ticket: &Ticket, longest_gap: Duration, now: Timestamp) {
        let first_output = ticket.sample.and_then(|sample| sample.first_output);
        let Some((first_output_at, queued_tokens)) = first_output else { return };
        let Some(server) = incarnation_mut(&mut self.servers, &ticket.instance) else { return };
        let peak = server.fleet_load.peak_tokens_since(first_output_at).max(queued_tokens);
        if let Some(timing) = self.timings.get_mut(&server.instance.report.service) {
            timing.record_gap(peak, longest_gap, now);
        }
    }
}
