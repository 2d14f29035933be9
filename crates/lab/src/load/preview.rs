//! One preview stream, fetched until all its bytes have come.

use std::net::SocketAddr;
use std::time::Duration;

use juniper_emulators::preview::preview_bytes;
use reqwest::Method;
use tokio::time::timeout;

use super::client::{AttemptError, Client};
use super::outcome::{Outcome, RequestKind, Violation, ViolationKind};
use super::persist::{Caller, Persistent, Reading, persist};

/// A preview under way.
#[derive(Clone, Debug)]
pub struct PreviewCall {
    caller: Caller,
    clip: u64,
    wanted: Vec<u8>,
    next: usize,
    first: Option<Duration>,
}

impl PreviewCall {
    /// The preview of `clip`.
    pub fn new(caller: Caller, clip: u64) -> Self {
        PreviewCall { caller, clip, wanted: preview_bytes(clip), next: 0, first: None }
    }

    /// Fetches until the preview is complete or the caller gives up.
    pub async fn run(mut self, client: &Client) -> Outcome {
        persist(&mut self, client).await
    }

    fn take(&mut self, bytes: &[u8]) -> Result<(), Violation> {
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

    /// A proper end must not come before the last byte.
    fn end(&self) -> Result<(), Violation> {
        let (bytes, wanted) = (self.next, self.wanted.len());
        if bytes == wanted {
            return Ok(());
        }
        let detail = format!("clip={} bytes={bytes} wanted={wanted}", self.clip);
        Err(Violation::new(ViolationKind::Truncated, detail))
    }
}

impl Persistent for PreviewCall {
    const KIND: RequestKind = RequestKind::Preview;

    fn caller(&self) -> &Caller {
        &self.caller
    }

    async fn attempt(&mut self, client: &Client, router: SocketAddr) -> Reading {
        let path = format!("/previews/{}", self.clip);
        let mut call = self.caller.call(client, Method::GET, router, &path);
        if self.next > 0 {
            call = call.header("range", format!("bytes={}-", self.next));
        }
        let mut response = match client.send(call).await {
            Ok(response) => response,
            Err(error) => return Reading::Broken(error),
        };
        loop {
            match timeout(client.patience.stall, response.chunk()).await {
                Err(_) => return Reading::Broken(AttemptError::Stalled),
                Ok(Err(_)) => return Reading::Broken(AttemptError::Broken),
                Ok(Ok(None)) => return self.end().into(),
                Ok(Ok(Some(bytes))) => {
                    if let Err(violation) = self.take(&bytes) {
                        return Reading::Violated(violation);
                    }
                }
            }
        }
    }

    fn has_begun(&self) -> bool {
        self.next > 0
    }

    fn first(&self) -> Option<Duration> {
        self.first
    }
}
