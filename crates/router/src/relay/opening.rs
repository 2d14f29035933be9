//! Opens a chat completion on an engine and decides on retries.

use std::sync::Arc;
use std::time::Duration;

use juniper_routing::retry::{AttemptOutcome, RetryContext};
use juniper_settings::TrafficKind;
use juniper_types::EngineId;
use tokio::time::Instant;

use super::Relay;
use super::attempt::{Attempt, AttemptError, try_engine};
use super::job::{ChatJob, Origin, Progress};
use crate::engines::Dispatch;
use crate::error::RequestError;
use crate::router_state::RouterState;

/// Minimum time left before the deadline for another attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);

/// Opens the request on an engine.
///
/// # Errors
/// Fails when no engine accepts the request; [`RequestError::not_run`] holds only if none ran it.
pub async fn open(state: Arc<RouterState>, job: ChatJob) -> Result<(Relay, Origin), RequestError> {
    let mut progress = Progress::new(&job);
    let attempt = open_attempt(&state, &job, &mut progress).await?;
    let origin = Origin {
        engine: attempt.dispatch.decision.engine,
        cached_tokens: header_number(&attempt.response, "x-cached-tokens").unwrap_or(0),
        software: attempt.software.clone(),
    };
    let metrics = &state.metrics.prompt_tokens;
    let computed = u64::from(job.plan.blocks.tokens).saturating_sub(origin.cached_tokens);
    metrics.with_label_values(&["hit"]).inc_by(origin.cached_tokens);
    metrics.with_label_values(&["miss"]).inc_by(computed);
    Ok((Relay { state, job, attempt, progress }, origin))
}

fn header_number(response: &reqwest::Response, name: &str) -> Option<u64> {
    response.headers().get(name)?.to_str().ok()?.parse().ok()
}

/// Tries engines until one accepts the request.
pub(super) async fn open_attempt(
    state: &Arc<RouterState>,
    job: &ChatJob,
    progress: &mut Progress,
) -> Result<Attempt, RequestError> {
    loop {
        state.crashes.check(&job.request_id.to_string(), &job.identity())?;
        let within = job.first_token_within(progress);
        let software = progress.software.clone();
        let engines = &state.plane.engines;
        let chosen = engines.choose(&job.plan, within, &progress.excluded, software.as_ref());
        let dispatch = chosen.map_err(|refusal| progress.refusal_error(refusal))?;
        let engine = dispatch.decision.engine;
        log_decision(job, &dispatch);
        progress.attempts += 1;
        let error = match try_engine(state, job, dispatch, progress.next_index).await {
            Ok(attempt) if software.is_some() && attempt.software != software => {
                AttemptError::OtherSoftware
            }
            Ok(attempt) => {
                progress.software.clone_from(&attempt.software);
                return Ok(attempt);
            }
            Err(error) => error,
        };
        progress.excluded.push(engine);
        match &error {
            AttemptError::Deadline => return Err(RequestError::DeadlinePassed),
            AttemptError::Rejected(reason) => {
                return Err(RequestError::Malformed(reason.clone()));
            }
            AttemptError::Unreachable => state.plane.engines.mark_down(engine),
            _ => {}
        }
        take_retry(state, job, progress, engine, &error)?;
    }
}

fn log_decision(job: &ChatJob, dispatch: &Dispatch) {
    let decision = &dispatch.decision;
    log::info!(
        "event=request_routed request={} engine={} reason={:?} expected_blocks={} candidates={} \
         queue_us={:.0}",
        job.request_id,
        decision.engine,
        decision.reason,
        decision.expected_blocks,
        decision.candidates,
        decision.terms.first_token_us(),
    );
}

/// Takes another attempt from the retry budget, or returns the caller's error.
pub(super) fn take_retry(
    state: &RouterState,
    job: &ChatJob,
    progress: &mut Progress,
    engine: EngineId,
    error: &AttemptError,
) -> Result<(), RequestError> {
    let outcome = match error {
        AttemptError::NotRun(_) | AttemptError::Unreachable => AttemptOutcome::NotRun,
        _ => AttemptOutcome::Unknown,
    };
    progress.may_have_run |= outcome != AttemptOutcome::NotRun;
    log::warn!(
        "event=attempt_failed request={} engine={engine} at={} reason=\"{error}\"",
        job.request_id,
        progress.next_index
    );
    let partly_answered = progress.next_index > job.resume_from;
    let question = RetryContext {
        kind: TrafficKind::Chat,
        outcome: if partly_answered { AttemptOutcome::PartlyAnswered } else { outcome },
        // Generation is deterministic, so an answer can be resumed from any token.
        resumable: true,
        attempts: progress.attempts,
        time_left: job.deadline.saturating_duration_since(Instant::now()),
        time_needed: MIN_ATTEMPT_TIME,
    };
    state.plane.engines.take_retry(&question).map_err(|denied| {
        log::warn!("event=retry_denied request={} reason=\"{denied}\"", job.request_id);
        progress.retry_denied_error()
    })?;
    state.metrics.retries.with_label_values(&["chat"]).inc();
    Ok(())
}
