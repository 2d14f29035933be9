//! Open-loop load generator: each request is sent at its time in the trace,
//! independently of the outcome of earlier requests.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hdrhistogram::CreationError;
use juniper_emulators::content::GeneratedText;
use juniper_emulators::trace::{PromptTexts, Trace, TraceRecord, TraceRequest};
use juniper_types::WeightsVersion;
use tokio::task::{JoinError, JoinSet};
use tokio::time::{Instant, sleep, sleep_until};

use super::applications::{AtMostOnceCall, ListingCall};
use super::chat::{ChatCall, ChatQuestion};
use super::client::{Client, RetryPolicy, RouterTarget};
use super::executions::{CallRecord, ExecutionSource, ExecutionSourceError, compare, read_sources};
use super::outcome::Outcome;
use super::preview::PreviewCall;
use super::report::{Collector, LoadReport};
use super::retry::Caller;
use super::stream::{AnswerCheck, Expected};

/// One in this many low-priority chats is requested without streaming.
const UNSTREAMED_CHAT_INTERVAL: usize = 8;

/// Priority from which every chat is streamed.
const ALWAYS_STREAMED_PRIORITY: u8 = 6;

/// Time for application servers to finish running calls before their records are read.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Seed of generated texts; the default of the emulated engines.
const GENERATION_SEED: u64 = 0;

/// Options for sending a trace.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Routers that receive the requests.
    pub routers: Vec<RouterTarget>,
    /// Prefix of API keys; the tenant's name follows.
    pub key_prefix: String,
    /// Timeouts and retry limit of callers.
    pub retry_policy: RetryPolicy,
    /// Weights versions whose answers are accepted as correct.
    pub weights: Vec<WeightsVersion>,
    /// Execution records of the application servers; if empty, at-most-once
    /// requests aren't checked against them.
    pub executions: Vec<ExecutionSource>,
    /// Speed-up factor of the trace.
    pub speed: f64,
}

/// Failure to carry out a run.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum LoadError {
    /// The HTTP client can't be set up.
    #[error("the HTTP client can't be set up")]
    Http(#[from] reqwest::Error),
    /// A histogram can't be set up.
    #[error("a histogram can't be set up")]
    Histogram(#[from] CreationError),
    /// A request's task panicked.
    #[error("a request's task failed")]
    Task(#[from] JoinError),
    /// The record of an application server can't be read.
    #[error(transparent)]
    Executions(#[from] ExecutionSourceError),
}

type FinishedRequest = (Outcome, Option<CallRecord>);

struct Runner {
    client: Arc<Client>,
    texts: PromptTexts,
    weights: Vec<WeightsVersion>,
    /// Makes idempotency keys unique among runs of the same trace.
    run: u64,
}

/// Sends `trace` and checks every answer.
///
/// # Errors
/// Fails when the run can't be carried out. Faults of the fleet are in the report.
pub async fn run_load(trace: &Trace, options: LoadOptions) -> Result<LoadReport, LoadError> {
    let client = Client::new(options.routers, options.key_prefix, options.retry_policy)?;
    let mut runner = Runner {
        client: Arc::new(client),
        texts: PromptTexts::new(trace.header.seed),
        weights: options.weights,
        run: rand::random(),
    };
    let mut collector = Collector::new()?;
    let mut calls = Vec::new();
    let mut tasks: JoinSet<FinishedRequest> = JoinSet::new();
    let mut lag = Duration::ZERO;
    let start = Instant::now();
    for (number, record) in trace.records.iter().enumerate() {
        let due = start + Duration::from_secs_f64(record.at_us as f64 / 1e6 / options.speed);
        sleep_until(due).await;
        lag = lag.max(due.elapsed());
        runner.start(number, record, due, &mut tasks);
        while let Some(ended) = tasks.try_join_next() {
            record_finished(ended?, &mut collector, &mut calls);
        }
    }
    while let Some(ended) = tasks.join_next().await {
        record_finished(ended?, &mut collector, &mut calls);
    }
    let duration = start.elapsed();
    if !options.executions.is_empty() {
        sleep(SETTLE_TIME).await;
        let ran = read_sources(&options.executions).await?;
        collector.add_violations(compare(&calls, &ran));
    }
    Ok(collector.report(lag, duration))
}

fn record_finished(
    (outcome, call): FinishedRequest,
    collector: &mut Collector,
    calls: &mut Vec<CallRecord>,
) {
    collector.record(outcome);
    calls.extend(call);
}

impl Runner {
    fn start(
        &mut self,
        number: usize,
        record: &TraceRecord,
        arrived: Instant,
        tasks: &mut JoinSet<FinishedRequest>,
    ) {
        let client = Arc::clone(&self.client);
        let caller = Caller {
            number,
            zone: record.zone.clone(),
            tenant: record.tenant.clone(),
            service: record.service.clone(),
            arrived,
        };
        match &record.request {
            TraceRequest::Chat { output_tokens, priority, .. } => {
                let stream = *priority >= ALWAYS_STREAMED_PRIORITY
                    || !number.is_multiple_of(UNSTREAMED_CHAT_INTERVAL);
                let call = self.chat(caller, &record.request, *output_tokens, stream);
                tasks.spawn(async move { (call.run(&client).await, None) });
            }
            TraceRequest::AtMostOnce { number, body_bytes } => {
                let path = format!("/apply/{}/{number}", record.service);
                let body = vec![b'a' + (number % 26) as u8; *body_bytes as usize];
                let call = AtMostOnceCall::new(caller, path, self.key(*number), body);
                tasks.spawn(async move {
                    let (outcome, record) = call.run(&client).await;
                    (outcome, Some(record))
                });
            }
            TraceRequest::Listing { resource } => {
                let call = ListingCall::new(caller, format!("/board/postings/{resource}"));
                tasks.spawn(async move { (call.run(&client).await, None) });
            }
            TraceRequest::Preview { clip } => {
                let call = PreviewCall::new(caller, *clip);
                tasks.spawn(async move { (call.run(&client).await, None) });
            }
        }
    }

    fn chat(
        &mut self,
        caller: Caller,
        request: &TraceRequest,
        output_tokens: u32,
        stream: bool,
    ) -> ChatCall {
        let text = self.texts.text(request.prompt());
        let of_weights =
            |weights: &WeightsVersion| GeneratedText::new(&text, GENERATION_SEED, *weights);
        let prompt_tokens = request.prompt_tokens();
        let expected = Expected {
            id: String::new(),
            texts: self.weights.iter().map(of_weights).collect(),
            prompt_tokens,
            output_tokens,
        };
        let messages = self.texts.messages(request.prompt());
        let question = ChatQuestion { messages, stream, prompt_tokens, output_tokens };
        ChatCall::new(caller, question, AnswerCheck::new(expected))
    }

    fn key(&self, number: u64) -> String {
        let seconds = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_secs());
        format!("{seconds}-{:016x}-{number}", self.run)
    }
}
