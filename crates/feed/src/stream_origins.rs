//! Lookups of stream origins at the replicas.

use std::time::Duration;

use juniper_protocol::Reply;
use juniper_stream_origins::StreamOrigin;
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

/// Result of a lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginLookup {
    /// A replica has a record of the stream.
    Known(StreamOrigin),
    /// Replicas answered, and none has a record.
    Unknown,
    /// No replica answered.
    Unanswered,
}

/// Sender for the answers of several replicas to one lookup; closed once all have answered or
/// can't answer any more.
pub(crate) type OriginSender = mpsc::UnboundedSender<Option<StreamOrigin>>;

/// Passes on a replica's reply. A replica of an earlier build refuses the call, which is no answer.
pub(crate) fn pass_on(reply: Reply, answer: &OriginSender) {
    if let Reply::StreamOrigin(origin) = reply {
        // The caller may have stopped waiting.
        let _ = answer.send(origin);
    }
}

/// Asks all connected replicas for the origin of a stream.
pub(crate) struct FindStreamOrigin {
    pub(crate) stream: StreamKey,
    pub(crate) answer: OriginSender,
}

impl Message<FindStreamOrigin> for FeedActor {
    type Reply = ();

    async fn handle(&mut self, message: FindStreamOrigin, _context: &mut Context<Self, ()>) {
        let FindStreamOrigin { stream, answer } = message;
        for replica in self.zones.keys() {
            let answer = answer.clone();
            self.send_command(*replica, LinkCommand::FindStreamOrigin { stream, answer });
        }
    }
}

impl Feed {
    /// Finds out where a stream began, from the first replica that has a record of it.
    pub async fn find_stream_origin(&self, stream: StreamKey) -> OriginLookup {
        let (answer, mut answers) = mpsc::unbounded_channel();
        self.send(FindStreamOrigin { stream, answer }).await;
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
}
