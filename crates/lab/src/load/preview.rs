//! One preview stream, fetched with retries until all bytes are received.

use std::net::SocketAddr;
use std::time::Duration;

use juniper_emulators::preview::preview_bytes;
use reqwest::Method;
use tokio::time::timeout;

use super::client::{AttemptError, Client};
use super::outcome::{Outcome, RequestKind, Violation, ViolationKind};
use super::retry::{AttemptResult, Caller, RetriedRequest, run_with_retries};

/// A preview in flight.
#[derive(Clone, Debug)]
pub struct PreviewCall {
    caller: Caller,
    clip: u64,
    wanted: Vec<u8>,
    next: usize,
    first: Option<Duration>,
}

impl PreviewCall {
    /// Creates the request for the preview of `clip`.
    pub fn new(caller: Caller, clip: u64) -> Self {
        PreviewCall { caller, clip, wanted: preview_bytes(clip), next: 0, first: None }
    }

    /// Retries until the preview is complete or the caller gives up.
    pub async fn run(mut self, client: &Client) -> Outcome {
        run_with_retries(&mut self, client).await
    }

    fn check_bytes(&mut self, bytes: &[u8]) -> Result<(), Violation> {
        let end = self.next + bytes.len();
        let detail = || format!("clip={} at={} end={end}", self.clip, self.next);
        let Some(wanted) = self.wanted.get(self.next..end) else {
            return Err(Violation::new(ViolationKind::Overlong, detail()));
        };
        if wanted != bytes {
            return Err(Violation::new(ViolationKind::WrongContent, detail()));
        }
        self.next = end;
        self.first.get_or_insert_with(|| self.caller.arrived.elapsed());
        Ok(())
    }

    /// Checks that a regular end of the stream follows the last byte.
    fn check_end(&self) -> Result<(), Violation> {
        let (bytes, wanted) = (self.next, self.wanted.len());
        if bytes == wanted {
            return Ok(());
        }
        let detail = format!("clip={} bytes={bytes} wanted={wanted}", self.clip);
        Err(Violation::new(ViolationKind::Truncated, detail))
    }
}

impl RetriedRequest for PreviewCall {
    const KIND: RequestKind = RequestKind::Preview;

    fn caller(&self) -> &Caller {
        &self.caller
    }

    async fn attempt(&mut self, client: &Client, router: SocketAddr) -> AttemptResult {
        let path = format!("/previews/{}", self.clip);
        let mut call = self.caller.call(client, Method::GET, router, &path);
        if self.next > 0 {
            call = call.header("range", format!("bytes={}-", self.next));
        }
        let mut response = match client.send(call).await {
            Ok(response) => response,
            Err(error) => return AttemptResult::Broken(error),
        };
        loop {
            match timeout(client.retry_policy.stall, response.chunk()).await {
                Err(_) => return AttemptResult::Broken(AttemptError::Stalled),
                Ok(Err(_)) => return AttemptResult::Broken(AttemptError::Broken),
                Ok(Ok(None)) => return self.check_end().into(),
                Ok(Ok(Some(bytes))) => {
                    if let Err(violation) = self.check_bytes(&bytes) {
                        return AttemptResult::Violated(violation);
                    }
                }
            }
        }
    }

    fn is_partial(&self) -> bool {
        self.next > 0
    }

    fn first(&self) -> Option<Duration> {
        self.first
    }
}
