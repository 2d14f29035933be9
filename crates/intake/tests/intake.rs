//! Connections, handshakes and bodies against a small account.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use juniper_intake::{
    CallerMemory, Connections, Handshakes, ReadError, ReadLimits, SegmentedBody, discard, read_body,
};
use juniper_memory_budget::{BudgetLimits, Usage};
use tokio::time::{Instant, sleep, timeout};

const LIMITS: BudgetLimits = BudgetLimits {
    total: 1_000_000,
    for_connections: 400_000,
    kept_for_connections: 100_000,
    for_large: 700_000,
    for_answers: 300_000,
    large_body: 100_000,
    connections: 3,
};

const HEAD_BYTES: usize = 8_192;

fn limits() -> ReadLimits {
    let deadline = Instant::now() + Duration::from_secs(5);
    ReadLimits { max_bytes: 500_000, idle_timeout: Duration::from_millis(50), deadline }
}

/// Polls a future once more than it needs if it is ready.
async fn is_pending<T>(future: impl Future<Output = T>) -> bool {
    timeout(Duration::from_millis(30), future).await.is_err()
}

#[tokio::test]
async fn a_body_is_on_the_account_until_its_last_user_is_gone() {
    let memory = CallerMemory::new(LIMITS);
    let sent = Bytes::from(vec![7; 200_001]);
    let body = read_body(&memory, &mut Full::new(sent.clone()), limits()).await.expect("a body");
    assert_eq!(body.len(), sent.len());
    assert!(memory.usage().body_bytes >= sent.len());
    let passed_on = SegmentedBody::from(body.clone()).collect().await.expect("whole").to_bytes();
    assert_eq!(passed_on, sent);
    let joined = Bytes::from(body);
    assert_eq!(joined, sent);
    assert!(memory.usage().body_bytes >= sent.len());
    drop(joined);
    assert_eq!(memory.usage(), Usage::default());
}

#[tokio::test]
async fn a_body_over_its_limit_is_not_read() {
    let memory = CallerMemory::new(LIMITS);
    let mut body = Full::new(Bytes::from(vec![7; 500_001]));
    assert_eq!(read_body(&memory, &mut body, limits()).await.err(), Some(ReadError::TooLarge));
    assert_eq!(memory.usage(), Usage::default());
}

#[tokio::test]
async fn a_body_without_a_byte_for_the_idle_timeout_is_given_up() {
    let memory = CallerMemory::new(LIMITS);
    let silent = http_body_util::StreamBody::new(Silent);
    let read = read_body(&memory, &mut Box::pin(silent), limits()).await;
    assert_eq!(read.err(), Some(ReadError::Stalled));
}

/// A body that never continues.
struct Silent;

impl futures_util::Stream for Silent {
    type Item = Result<hyper::body::Frame<Bytes>, std::convert::Infallible>;

    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        _context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        std::task::Poll::Pending
    }
}

/// A body without end, which counts the pieces that were read.
struct Endless(Arc<AtomicUsize>);

/// Bytes of a piece of it.
const PIECE_BYTES: usize = 16_384;

impl futures_util::Stream for Endless {
    type Item = Result<hyper::body::Frame<Bytes>, std::convert::Infallible>;

    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        _context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.fetch_add(1, Ordering::SeqCst);
        let piece = Bytes::from(vec![7; PIECE_BYTES]);
        std::task::Poll::Ready(Some(Ok(hyper::body::Frame::data(piece))))
    }
}

impl Drop for Endless {
    fn drop(&mut self) {
        self.0.fetch_add(DROPPED, Ordering::SeqCst);
    }
}

/// Added to the number of pieces when the body is dropped, which closes its connection.
const DROPPED: usize = 1_000_000;

#[tokio::test(start_paused = true)]
async fn a_connection_is_reset_before_its_caller_has_read_the_refusal() {
    let pieces = Arc::<AtomicUsize>::default();
    let body = http_body_util::StreamBody::new(Endless(Arc::clone(&pieces)));
    discard(Box::pin(body));
    sleep(Duration::from_millis(900)).await;
    let read = pieces.load(Ordering::SeqCst);
    assert!((1..=16).contains(&read), "{read} pieces were read, or the body was dropped");
    sleep(Duration::from_millis(200)).await;
    assert_eq!(pieces.load(Ordering::SeqCst), read + DROPPED);
}

#[tokio::test]
async fn a_new_connection_displaces_one_that_sent_nothing_before_one_that_rests() {
    let connections = Connections::new(CallerMemory::new(LIMITS));
    let resting = connections.admit(HEAD_BYTES).await.expect("room");
    drop(resting.begin_request());
    let silent = connections.admit(HEAD_BYTES).await.expect("room");
    let busy = connections.admit(HEAD_BYTES).await.expect("room");
    let request = busy.begin_request();
    let closing = tokio::spawn(async move { silent.evicted().await });
    let admitted = connections.admit(HEAD_BYTES).await.expect("the place of the silent one");
    closing.await.expect("no panic");
    let second_request = admitted.begin_request();
    let closing = tokio::spawn(async move { resting.evicted().await });
    let another = connections.admit(HEAD_BYTES).await.expect("the place of the resting one");
    closing.await.expect("no panic");
    let third_request = another.begin_request();
    assert!(connections.admit(HEAD_BYTES).await.is_none());
    drop((request, second_request, third_request));
}

#[tokio::test]
async fn a_connection_with_a_request_in_progress_is_not_displaced() {
    let connections = Connections::new(CallerMemory::new(LIMITS));
    let busy = connections.admit(HEAD_BYTES).await.expect("room");
    let request = busy.begin_request();
    assert!(is_pending(busy.evicted()).await);
    drop(request);
}

#[tokio::test(start_paused = true)]
async fn a_handshake_is_displaced_only_once_it_has_had_its_time() {
    let handshakes = Handshakes::new(1);
    let first = handshakes.begin().await;
    let silent = tokio::spawn(first.run(std::future::pending::<()>()));
    let started = Instant::now();
    let second = handshakes.begin().await;
    assert!(started.elapsed() >= Duration::from_secs(1));
    assert_eq!(silent.await.expect("no panic"), None);
    assert_eq!(second.run(async { 7 }).await, Some(7));
}
