//! The forms in which callers get an answer.

use futures_util::StreamExt;
use juniper_types::RequestId;
use serde_json::json;
use tokio_stream::wrappers::ReceiverStream;

use super::job::Piece;
use crate::error::RequestError;
use crate::sse::Chunk;

/// The caller's form of a chunk.
pub fn caller_event(request_id: RequestId, model: &str, chunk: &Chunk) -> String {
    let body = json!({
        "id": request_id.to_string(),
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{
            "index": 0,
            "delta": { "content": chunk.text() },
            "finish_reason": chunk.finish_reason(),
        }],
        "usage": chunk.usage,
        "juniper": { "index": chunk.juniper.index },
    });
    format!("data: {body}\n\n")
}

/// Collects a whole answer for a caller that doesn't want a stream.
pub async fn collect(
    request_id: RequestId,
    model: &str,
    mut pieces: ReceiverStream<Piece>,
) -> Result<serde_json::Value, RequestError> {
    let mut text = String::new();
    let mut finish_reason = None;
    let mut usage = None;
    while let Some(piece) = pieces.next().await {
        match piece {
            Piece::Chunk(chunk) => {
                text.push_str(chunk.text());
                finish_reason = chunk.finish_reason().map(str::to_owned).or(finish_reason);
                usage = chunk.usage.or(usage);
            }
            Piece::Failed(error) => return Err(error),
            Piece::Done => {
                return Ok(json!({
                    "id": request_id.to_string(),
                    "object": "chat.completion",
                    "model": model,
                    "choices": [{
                        "index": 0,
                        "message": { "role": "assistant", "content": text },
                        "finish_reason": finish_reason,
                    }],
                    "usage": usage,
                }));
            }
        }
    }
    Err(RequestError::BackEndFailed)
}
