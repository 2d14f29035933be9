//! `explain`: the story of one request, from the logs of any number of processes.
//!
//! Lines are `key=value` pairs with a time and an event. A line that can't be read
//! is counted and passed over, since logs come cut off and mixed with other output.

use std::collections::BTreeSet;
use std::io::Read;
use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::Arg;

use crate::arguments::ArgumentError;

/// Time around a request in which events of its servers and nodes are shown, in
/// milliseconds.
const CONTEXT_MS: u64 = 3_000;

/// Events that tell of the state of a server or a node.
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

/// Why the logs can't be explained.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ExplainError {
    /// A file can't be read.
    #[error("can't read {path}: {source}")]
    Read {
        /// The file; `-` for standard input.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
}

/// One event of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// When it was written, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Its name.
    pub name: String,
    /// Everything else, in its order.
    pub fields: Vec<(String, String)>,
}

impl LogEvent {
    /// Reads a line; `None` if it is no event.
    pub fn parse(line: &str) -> Option<Self> {
        let mut time_ms = None;
        let mut name = None;
        let mut fields = Vec::new();
        for (key, value) in pairs(line) {
            match key.as_str() {
                "time_ms" => time_ms = value.parse().ok(),
                "event" => name = Some(value),
                _ => fields.push((key, value)),
            }
        }
        Some(LogEvent { time_ms: time_ms?, name: name?, fields })
    }

    /// The value of a field.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.fields.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_str())
    }
}

/// The `key=value` pairs of a line. A value in quotes may hold blanks; words
/// without `=` are passed over.
fn pairs(line: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let mut rest = line.trim();
    while !rest.is_empty() {
        let word_end = rest.find(' ').unwrap_or(rest.len());
        let Some(equals) = rest[..word_end].find('=') else {
            rest = rest[word_end..].trim_start();
            continue;
        };
        let (key, after) = (&rest[..equals], &rest[equals + 1..]);
        let (value, left) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        pairs.push((key.to_owned(), value.to_owned()));
        rest = left.trim_start();
    }
    pairs
}

/// The story of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Story {
    /// Its events and those around it, in their order.
    pub events: Vec<LogEvent>,
    /// Lines that are no events.
    pub unreadable: usize,
}

impl Story {
    /// Gathers the story of `request` from log texts.
    pub fn of(request: &str, texts: &[String]) -> Self {
        let mut all = Vec::new();
        let mut unreadable = 0;
        for line in
            texts.iter().flat_map(|text| text.lines()).filter(|line| !line.trim().is_empty())
        {
            match LogEvent::parse(line) {
                Some(event) => all.push(event),
                None => unreadable += 1,
            }
        }
        all.sort_by_key(|event| event.time_ms);
        let own = |event: &&LogEvent| event.get("request") == Some(request);
        let around = Surroundings::of(all.iter().filter(own));
        let is_told = |event: &LogEvent| own(&event) || around.includes(event);
        let events = all.iter().filter(|event| is_told(event)).cloned().collect();
        Story { events, unreadable }
    }

    /// The story as text, with times from its first event.
    pub fn text(&self, request: &str) -> String {
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

/// What a request had to do with, and when.
#[derive(Debug, Default)]
struct Surroundings {
    nodes: BTreeSet<String>,
    instances: BTreeSet<String>,
    /// Names of the request's content: the same one under another id tells of it too.
    fingerprints: BTreeSet<String>,
    from_ms: u64,
    to_ms: u64,
}

impl Surroundings {
    fn of<'a>(own: impl Iterator<Item = &'a LogEvent>) -> Self {
        let mut around = Surroundings { from_ms: u64::MAX, ..Surroundings::default() };
        for event in own {
            around.nodes.extend(event.get("node").map(str::to_owned));
            around.instances.extend(event.get("instance").map(str::to_owned));
            around.fingerprints.extend(event.get("fingerprint").map(str::to_owned));
            around.from_ms = around.from_ms.min(event.time_ms.saturating_sub(CONTEXT_MS));
            around.to_ms = around.to_ms.max(event.time_ms + CONTEXT_MS);
        }
        around
    }

    /// Whether the event tells of a server that ended under the same content, whenever that was.
    fn tells_of_content(&self, event: &LogEvent) -> bool {
        let one = event.get("fingerprint").into_iter();
        let many = event.get("fingerprints").into_iter().flat_map(|names| names.split(','));
        one.chain(many).any(|name| self.fingerprints.contains(name))
    }

    fn includes(&self, event: &LogEvent) -> bool {
        if self.tells_of_content(event) {
            return true;
        }
        let in_time = (self.from_ms..=self.to_ms).contains(&event.time_ms);
        let tells = CONTEXT_EVENTS.contains(&event.name.as_str());
        let concerns = match event.get("instance") {
            Some(instance) => self.instances.contains(instance),
            None => event.get("node").is_some_and(|node| self.nodes.contains(node)),
        };
        in_time && tells && concerns
    }
}

/// `explain REQUEST FILE...`; `-` stands for standard input.
pub fn explain(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let request = crate::arguments::next_word(parser)?;
    let request = request.ok_or(ArgumentError::Missing("the id of a request"))?;
    let mut texts = Vec::new();
    while let Some(argument) = parser.next().map_err(ArgumentError::from)? {
        match argument {
            Arg::Value(path) => texts.push(read(path.into())?),
            other => return Err(ArgumentError::from(other.unexpected()).into()),
        }
    }
    if texts.is_empty() {
        return Err(ArgumentError::Missing("a log file").into());
    }
    let story = Story::of(&request, &texts);
    print!("{}", story.text(&request));
    Ok(ExitCode::SUCCESS)
}

fn read(path: PathBuf) -> Result<String, ExplainError> {
    let mut bytes = Vec::new();
    let read = match path.as_os_str() == "-" {
        true => std::io::stdin().read_to_end(&mut bytes).map(|_| ()),
        false => std::fs::read(&path).map(|content| bytes = content),
    };
    read.map_err(|source| ExplainError::Read { path, source })?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
