//! Sends a trace, open loop: a request is sent when it is due, whatever became
//! of the ones before it.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hdrhistogram::CreationError;
use juniper_emulators::content::GeneratedText;
use juniper_emulators::trace::{PromptTexts, Trace, TraceRecord, TraceRequest};
use juniper_types::WeightsVersion;
use tokio::task::{JoinError, JoinSet};
use tokio::time::{Instant, sleep, sleep_until};

use super::applications::{ListingCall, OnceCall};
use super::chat::{ChatCall, ChatQuestion};
use super::client::{Client, Patience, RouterTarget};
use super::executions::{CallRecord, ExecutionSource, ExecutionSourceError, compare, read_sources};
use super::outcome::Outcome;
use super::persist::Caller;
use super::preview::PreviewCall;
use super::report::{Collector, LoadReport};
use super::stream::{AnswerCheck, Expected};

/// One in this many light chats is asked for as a whole rather than streamed.
const WHOLE_ANSWERS: usize = 8;

/// Priority below which a chat counts as light.
const HEAVY_PRIORITY: u8 = 6;

/// Time that servers get to finish what they run before their record is read.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Seed of generation: the emulated engines' default.
const GENERATION_SEED: u64 = 0;

/// How a trace is sent.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Routers to send to.
    pub routers: Vec<RouterTarget>,
    /// API keys are this text and the tenant's name.
    pub key_prefix: String,
    /// How callers behave.
    pub patience: Patience,
    /// Versions of the weights whose answers are right.
    pub weights: Vec<WeightsVersion>,
    /// Records of what the application servers ran; without any, calls that
    /// run at most once are not checked against them.
    pub executions: Vec<ExecutionSource>,
    /// Factor on the speed of the trace.
    pub speed: f64,
}

/// Why a run can't be carried out.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum LoadError {
    /// The HTTP client can't be set up.
    #[error("the HTTP client can't be set up")]
    Http(#[from] reqwest::Error),
    /// A histogram can't be set up.
    #[error("a histogram can't be set up")]
    Histogram(#[from] CreationError),
    /// A request's task ended with a panic.
    #[error("a request's task failed")]
    Task(#[from] JoinError),
    /// The record of an application server can't be read.
    #[error(transparent)]
    Executions(#[from] ExecutionSourceError),
}

type Ended = (Outcome, Option<CallRecord>);

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
/// Fails when the run can't be carried out; what the fleet does wrong is in the report.
pub async fn run_load(trace: &Trace, options: LoadOptions) -> Result<LoadReport, LoadError> {
    let client = Client::new(options.routers, options.key_prefix, options.patience)?;
    let mut runner = Runner {
        client: Arc::new(client),
        texts: PromptTexts::new(trace.header.seed),
        weights: options.weights,
        run: rand::random(),
    };
    let mut collector = Collector::new()?;
    let mut calls = Vec::new();
    let mut tasks: JoinSet<Ended> = JoinSet::new();
    let mut lag = Duration::ZERO;
    let start = Instant::now();
    for (number, record) in trace.records.iter().enumerate() {
        let due = start + Duration::from_secs_f64(record.at_us as f64 / 1e6 / options.speed);
        sleep_until(due).await;
        lag = lag.max(due.elapsed());
        runner.start(number, record, due, &mut tasks);
        while let Some(ended) = tasks.try_join_next() {
            take(ended?, &mut collector, &mut calls);
        }
    }
    while let Some(ended) = tasks.join_next().await {
        take(ended?, &mut collector, &mut calls);
    }
    let duration = start.elapsed();
    if !options.executions.is_empty() {
        sleep(SETTLE_TIME).await;
        let ran = read_sources(&options.executions).await?;
        collector.add_violations(compare(&calls, &ran));
    }
    Ok(collector.report(lag, duration))
}

fn take((outcome, call): Ended, collector: &mut Collector, calls: &mut Vec<CallRecord>) {
    collector.record(outcome);
    calls.extend(call);
}

impl Runner {
    fn start(
        &mut self,
        number: usize,
        record: &TraceRecord,
        arrived: Instant,
        tasks: &mut JoinSet<Ended>,
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
                let stream = *priority >= HEAVY_PRIORITY || !number.is_multiple_of(WHOLE_ANSWERS);
                let call = self.chat(caller, &record.request, *output_tokens, stream);
                tasks.spawn(async move { (call.run(&client).await, None) });
            }
            TraceRequest::AtMostOnce { number, body_bytes } => {
                let path = format!("/apply/{}/{number}", record.service);
                let body = vec![b'a' + (number % 26) as u8; *body_bytes as usize];
                let call = OnceCall::new(caller, path, self.key(*number), body);
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
