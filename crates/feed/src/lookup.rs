//! Lookups at the replicas: calls that all connected replicas answer.

use std::time::Duration;

use juniper_protocol::{Reply, Request};
use juniper_stream_origins::{ServedVersions, StreamOrigin};
use juniper_types::StreamKey;
use kameo::message::{Context, Message};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::actor::FeedActor;
use crate::feed::Feed;
use crate::link::LinkCommand;

/// Time for which the replicas' answers are awaited; a caller that resumes a stream is already
/// waiting for its next event.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);

/// Sender for the answers of several replicas to one lookup; closed once all have answered or
/// can't answer any more.
type AnswerSender<T> = mpsc::UnboundedSender<T>;

/// Lookup at one replica, and where its answer goes.
#[derive(Clone, Debug)]
pub(crate) enum Lookup {
    /// Where a stream began.
    StreamOrigin { stream: StreamKey, answer: AnswerSender<Option<StreamOrigin>> },
    /// Software versions that have served a service.
    ServedVersions { service: String, answer: AnswerSender<ServedVersions> },
}

impl Lookup {
    /// Call to the replica.
    pub(crate) fn request(&self) -> Request {
        match self {
            Lookup::StreamOrigin { stream, .. } => Request::FindStreamOrigin { stream: *stream },
            Lookup::ServedVersions { service, .. } => {
                Request::FindServedVersions { service: service.clone() }
            }
        }
    }

    /// Whether nobody waits for the answer any more.
    pub(crate) fn is_abandoned(&self) -> bool {
        match self {
            Lookup::StreamOrigin { answer, .. } => answer.is_closed(),
            Lookup::ServedVersions { answer, .. } => answer.is_closed(),
        }
    }

    /// Passes on a replica's reply. A replica of an earlier build refuses the call, which is no
    /// answer.
    pub(crate) fn pass_on(&self, reply: Reply) {
        // The caller may have stopped waiting.
        match (self, reply) {
            (Lookup::StreamOrigin { answer, .. }, Reply::StreamOrigin(origin)) => {
                let _ = answer.send(origin);
            }
            (Lookup::ServedVersions { answer, .. }, Reply::ServedVersions(served)) => {
                let _ = answer.send(served);
            }
            _ => {}
        }
    }
}

impl Message<Lookup> for FeedActor {
    type Reply = ();

    async fn handle(&mut self, lookup: Lookup, _context: &mut Context<Self, ()>) {
        for replica in self.zones.keys() {
            self.send_command(*replica, LinkCommand::LookUp(lookup.clone()));
        }
    }
}

/// Result of a lookup of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginLookup {
    /// A replica has a record of the stream.
    Known(StreamOrigin),
    /// Replicas answered, and none has a record.
    Unknown,
    /// No replica answered.
    Unanswered,
}

impl Feed {
    /// Finds out where a stream began, from the first replica that has a record of it.
    pub async fn find_stream_origin(&self, stream: StreamKey) -> OriginLookup {
        let (answer, mut answers) = mpsc::unbounded_channel();
        self.send(Lookup::StreamOrigin { stream, answer }).await;
        let mut result = OriginLookup::Unanswered;
        let first_record = async {
            while let Some(origin) = answers.recv().await {
                match origin {
                    Some(origin) => return OriginLookup::Known(origin),
                    None => result = OriginLookup::Unknown,
                }
            }
            result.clone()
        };
        match timeout(LOOKUP_TIMEOUT, first_record).await {
            Ok(lookup) => lookup,
            Err(_) => result,
        }
    }

    /// Software versions that have served a service, as each connected replica knows. Replicas that
    /// don't answer in time are left out.
    pub async fn find_served_versions(&self, service: &str) -> Vec<ServedVersions> {
        let (answer, mut answers) = mpsc::unbounded_channel();
        self.send(Lookup::ServedVersions { service: service.to_owned(), answer }).await;
        let mut statements = Vec::new();
        let all = async {
            while let Some(statement) = answers.recv().await {
                statements.push(statement);
            }
        };
        // Statements that have arrived by then count.
        let _ = timeout(LOOKUP_TIMEOUT, all).await;
        statements
    }
}
