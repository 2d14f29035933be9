//! HTTP API of the preview server, with byte ranges and rate-limited streaming.

use std::convert::Infallible;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::Path;
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::Response;
use axum::routing::get;
use bytes::Bytes;
use futures_util::stream;

use super::error::ApiError;
use crate::preview::preview_bytes;

/// Size of a streamed chunk, in bytes.
const CHUNK_BYTES: usize = 8 << 10;

/// Time between chunks: 800 KB/s, far above the playback rate.
pub const CHUNK_INTERVAL: Duration = Duration::from_millis(10);

/// Builds the routes of a preview server that sends a chunk every `interval`.
pub fn router(interval: Duration) -> Router {
    Router::new()
        .route("/previews/{clip}", get(move |path, headers| preview(path, headers, interval)))
        .route("/healthz", get(|| async { "ok" }))
}

async fn preview(
    Path(clip): Path<String>,
    headers: HeaderMap,
    interval: Duration,
) -> Result<Response, ApiError> {
    let clip: u64 = clip.parse().map_err(|_| ApiError::NotFound)?;
    let bytes = Bytes::from(preview_bytes(clip));
    let start = range_start(&headers)?;
    let total = bytes.len();
    if start.is_some_and(|start| start >= total) {
        return Err(ApiError::Range);
    }
    let rest = bytes.slice(start.unwrap_or(0)..);
    let length = rest.len();
    let mut response = Response::new(Body::from_stream(chunk_stream(rest, interval)));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("audio/mpeg"));
    headers.insert(header::ACCEPT_RANGES, HeaderValue::from_static("bytes"));
    if let Ok(tag) = HeaderValue::from_str(&format!("\"clip-{clip}\"")) {
        headers.insert(header::ETAG, tag);
    }
    if let Some(start) = start {
        let range = format!("bytes {start}-{}/{total}", total - 1);
        if let Ok(range) = HeaderValue::from_str(&range) {
            headers.insert(header::CONTENT_RANGE, range);
        }
        *response.status_mut() = StatusCode::PARTIAL_CONTENT;
    }
    Ok(response)
}

/// Parses `range: bytes=N-`.
fn range_start(headers: &HeaderMap) -> Result<Option<usize>, ApiError> {
    let Some(value) = headers.get(header::RANGE) else {
        return Ok(None);
    };
    let start = value
        .to_str()
        .ok()
        .and_then(|text| text.strip_prefix("bytes=")?.strip_suffix('-')?.parse().ok());
    start.map(Some).ok_or(ApiError::Range)
}

fn chunk_stream(
    bytes: Bytes,
    interval: Duration,
) -> impl futures_util::Stream<Item = Result<Bytes, Infallible>> {
    stream::unfold(bytes, move |mut rest| async move {
        if rest.is_empty() {
            return None;
        }
        let chunk = rest.split_to(rest.len().min(CHUNK_BYTES));
        tokio::time::sleep(interval).await;
        Some((Ok(chunk), rest))
    })
}
