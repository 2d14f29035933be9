//! `explain`: timeline of one request from the logs of any number of processes.
//!
//! Log lines are `key=value` pairs with a time and an event name. Lines that can't be parsed are
//! skipped and counted, since logs may be truncated or mixed with other output.

use std::collections::BTreeSet;
use std::io::Read;
use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::Arg;

use crate::arguments::ArgumentError;

/// Time before and after a request in which related server and node events are shown, in
/// milliseconds.
const CONTEXT_MS: u64 = 3_000;

/// Events about the state of a server or node, included near a request.
const CONTEXT_EVENTS: [&str; 13] = [
    "instance_heard",
    "instance_silent",
    "server_reached",
    "server_ended",
    "departure_recorded",
    "order_given",
    "order_state",
    "readiness",
    "replica_lost",
    "catalog_in_force",
    "gateway_leaving",
    "limit_owner_silent",
    "lines_left_out",
];

/// Failure to read logs.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ExplainError {
    /// Unreadable log file.
    #[error("can't read {path}: {source}")]
    Read {
        /// Path of the file; `-` for standard input.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
}

/// Event parsed from one log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// Time of the log line, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Event name.
    pub name: String,
    /// All other fields, in log order.
    pub fields: Vec<(String, String)>,
}

impl LogEvent {
    /// Parses a line; `None` if the time or the event name is missing.
    pub fn parse(line: &str) -> Option<Self> {
        let mut time_ms = None;
        let mut name = None;
        let mut fields = Vec::new();
        for (key, value) in parse_pairs(line) {
            match key.as_str() {
                "time_ms" => time_ms = value.parse().ok(),
                "event" => name = Some(value),
                _ => fields.push((key, value)),
            }
        }
        Some(LogEvent { time_ms: time_ms?, name: name?, fields })
    }

    /// Returns the value of the first field with this key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.fields.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_str())
    }
}

/// Parses the `key=value` pairs of a line. Quoted values may contain spaces; words without `=`
/// are skipped.
fn parse_pairs(line: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let mut rest = line.trim();
    while !rest.is_empty() {
        let word_end = rest.find(' ').unwrap_or(rest.len());
        let Some(equals) = rest[..word_end].find('=') else {
            rest = rest[word_end..].trim_start();
            continue;
        };
        let (key, after) = (&rest[..equals], &rest[equals + 1..]);
        let (value, remainder) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        pairs.push((key.to_owned(), value.to_owned()));
        rest = remainder.trim_start();
    }
    pairs
}

/// Timeline of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestTimeline {
    /// Events of the request and related events, ordered by time.
    pub events: Vec<LogEvent>,
    /// Number of lines that can't be parsed.
    pub unreadable: usize,
}

impl RequestTimeline {
    /// Collects the timeline of `request` from log texts.
    pub fn collect(request: &str, texts: &[String]) -> Self {
        let mut all_events = Vec::new();
        let mut unreadable = 0;
        for line in
            texts.iter().flat_map(|text| text.lines()).filter(|line| !line.trim().is_empty())
        {
            match LogEvent::parse(line) {
                Some(event) => all_events.push(event),
                None => unreadable += 1,
            }
        }
        all_events.sort_by_key(|event| event.time_ms);
        let is_own = |event: &&LogEvent| event.get("request") == Some(request);
        let related = RelatedEvents::of_request(all_events.iter().filter(is_own));
        let is_shown = |event: &LogEvent| is_own(&event) || related.includes(event);
        let events = all_events.iter().filter(|event| is_shown(event)).cloned().collect();
        RequestTimeline { events, unreadable }
    }

    /// Renders the timeline with times relative to the first event of `request`.
    pub fn render(&self, request: &str) -> String {
        let started = self.events.iter().find(|event| event.get("request") == Some(request));
        let Some(started) = started.map(|event| event.time_ms) else {
            return format!(
                "no event of request {request}; {} unreadable lines\n",
                self.unreadable
            );
        };
        let mut text = String::new();
        for event in &self.events {
            let mark = if event.get("request") == Some(request) { '*' } else { ' ' };
            let after_ms = i128::from(event.time_ms) - i128::from(started);
            let node = event.get("node").unwrap_or("-");
            text.push_str(&format!("{mark} {after_ms:>7} ms  {node:<24} {}", event.name));
            let shown = |key: &str| !matches!(key, "node" | "level" | "request");
            for (key, value) in event.fields.iter().filter(|(key, _)| shown(key)) {
                text.push_str(&format!(" {key}={value}"));
            }
            text.push('\n');
        }
        text.push_str(&format!("{} unreadable lines\n", self.unreadable));
        text
    }
}

/// Nodes, servers, content and time range of a request, by which related events are found.
#[derive(Debug, Default)]
struct RelatedEvents {
    nodes: BTreeSet<String>,
    instances: BTreeSet<String>,
    /// Fingerprints of the request's content; the same content under another request id matches.
    fingerprints: BTreeSet<String>,
    from_ms: u64,
    to_ms: u64,
}

impl RelatedEvents {
    fn of_request<'a>(own: impl Iterator<Item = &'a LogEvent>) -> Self {
        let mut scope = RelatedEvents { from_ms: u64::MAX, ..RelatedEvents::default() };
        for event in own {
            scope.nodes.extend(event.get("node").map(str::to_owned));
            scope.instances.extend(event.get("instance").map(str::to_owned));
            scope.fingerprints.extend(event.get("fingerprint").map(str::to_owned));
            scope.from_ms = scope.from_ms.min(event.time_ms.saturating_sub(CONTEXT_MS));
            scope.to_ms = scope.to_ms.max(event.time_ms + CONTEXT_MS);
        }
        scope
    }

    /// Whether the event names a fingerprint of the request, at any time.
    fn matches_fingerprint(&self, event: &LogEvent) -> bool {
        let one = event.get("fingerprint").into_iter();
        let many = event.get("fingerprints").into_iter().flat_map(|names| names.split(','));
        one.chain(many).any(|name| self.fingerprints.contains(name))
    }

    fn includes(&self, event: &LogEvent) -> bool {
        if self.matches_fingerprint(event) {
            return true;
        }
        let is_in_range = (self.from_ms..=self.to_ms).contains(&event.time_ms);
        let is_context_event = CONTEXT_EVENTS.contains(&event.name.as_str());
        let is_related = match event.get("instance") {
            Some(instance) => self.instances.contains(instance),
            None => event.get("node").is_some_and(|node| self.nodes.contains(node)),
        };
        is_in_range && is_context_event && is_related
    }
}

/// Runs `explain REQUEST FILE...`; `-` stands for standard input.
pub fn explain(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let request = crate::arguments::next_positional(parser)?;
    let request = request.ok_or(ArgumentError::Missing("a request id"))?;
    let mut texts = Vec::new();
    while let Some(argument) = parser.next().map_err(ArgumentError::from)? {
        match argument {
            Arg::Value(path) => texts.push(read_log(path.into())?),
            other => return Err(ArgumentError::from(other.unexpected()).into()),
        }
    }
    if texts.is_empty() {
        return Err(ArgumentError::Missing("a log file").into());
    }
    let timeline = RequestTimeline::collect(&request, &texts);
    print!("{}", timeline.render(&request));
    Ok(ExitCode::SUCCESS)
}

fn read_log(path: PathBuf) -> Result<String, ExplainError> {
    let mut bytes = Vec::new();
    let outcome = match path.as_os_str() == "-" {
        true => std::io::stdin().read_to_end(&mut bytes).map(|_| ()),
        false => std::fs::read(&path).map(|content| bytes = content),
    };
    outcome.map_err(|source| ExplainError::Read { path, source })?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
