//! Conversion of an engine's answer to the callers' formats.

use futures_util::StreamExt;
use juniper_types::RequestId;
use serde_json::json;
use tokio_stream::wrappers::ReceiverStream;

use super::job::Piece;
use crate::error::RequestError;
use crate::sse::Chunk;

/// Converts a chunk to a server-sent event for the caller.
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

/// Collects a complete answer for a caller that didn't request a stream.
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
