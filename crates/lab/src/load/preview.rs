//! One preview stream, fetched until all its bytes have come.

use std::time::Duration;

use juniper_emulators::preview::preview_bytes;
use juniper_types::{ServiceName, TenantName, ZoneName};
use reqwest::Method;
use tokio::time::{Instant, sleep, timeout};

use super::client::{AttemptError, Client, Next};
use super::outcome::{Ending, Outcome, RequestKind, Violation, ViolationKind};

/// A preview that is about to be fetched.
#[derive(Clone, Debug)]
pub struct PreviewCall {
    /// Number of the request in the trace.
    pub number: usize,
    /// Zone of the caller.
    pub zone: ZoneName,
    /// Whose request.
    pub tenant: TenantName,
    /// Service.
    pub service: ServiceName,
    /// Which clip.
    pub clip: u64,
    /// When the request arrived.
    pub arrived: Instant,
}

enum Reading {
    Complete,
    Broken(AttemptError),
    Violated(Violation),
}

/// Bytes wanted and how many have come.
struct Progress {
    wanted: Vec<u8>,
    next: usize,
    first: Option<Duration>,
}

impl PreviewCall {
    /// Fetches until the preview is complete or the caller gives up.
    pub async fn run(self, client: &Client) -> Outcome {
        let mut progress = Progress { wanted: preview_bytes(self.clip), next: 0, first: None };
        let (mut attempts, mut resumed, mut refusals) = (0, 0, 0);
        let ending = loop {
            let Some(router) = client.router(&self.zone, self.number, attempts) else {
                break Ending::Failed("no_router".to_owned());
            };
            attempts += 1;
            resumed += u32::from(progress.next > 0);
            let error = match self.attempt(client, router, &mut progress).await {
                Reading::Complete => break Ending::Complete,
                Reading::Violated(violation) => break Ending::Violated(violation),
                Reading::Broken(error) => error,
            };
            match client.next(&error, self.arrived, &mut refusals) {
                Next::Again(pause) => sleep(pause).await,
                Next::Leave => break error.ending(),
            }
        };
        Outcome {
            kind: RequestKind::Preview,
            ending,
            first: progress.first,
            total: self.arrived.elapsed(),
            attempts,
            resumed,
            prompt_tokens: 0,
            cached_tokens: 0,
        }
    }

    async fn attempt(
        &self,
        client: &Client,
        router: std::net::SocketAddr,
        progress: &mut Progress,
    ) -> Reading {
        let path = format!("/previews/{}", self.clip);
        let mut call = client
            .call(Method::GET, router, &path, &self.tenant)
            .header("x-service", self.service.as_str());
        if progress.next > 0 {
            call = call.header("range", format!("bytes={}-", progress.next));
        }
        let mut response = match client.send(call).await {
            Ok(response) => response,
            Err(error) => return Reading::Broken(error),
        };
        loop {
            match timeout(client.patience.stall, response.chunk()).await {
                Err(_) => return Reading::Broken(AttemptError::Stalled),
                Ok(Err(_)) => return Reading::Broken(AttemptError::Broken),
                Ok(Ok(None)) => return self.end(progress),
                Ok(Ok(Some(bytes))) => {
                    if let Err(violation) = self.take(&bytes, progress) {
                        return Reading::Violated(violation);
                    }
                }
            }
        }
    }

    fn take(&self, bytes: &[u8], progress: &mut Progress) -> Result<(), Violation> {
        let end = progress.next + bytes.len();
        let detail = || format!("clip={} at={} end={end}", self.clip, progress.next);
        let Some(wanted) = progress.wanted.get(progress.next..end) else {
            return Err(Violation::new(ViolationKind::Overlong, detail()));
        };
        if wanted != bytes {
            return Err(Violation::new(ViolationKind::WrongContent, detail()));
        }
        progress.next = end;
        progress.first.get_or_insert_with(|| self.arrived.elapsed());
        Ok(())
    }

    /// A proper end must not come before the last byte.
    fn end(&self, progress: &Progress) -> Reading {
        if progress.next == progress.wanted.len() {
            return Reading::Complete;
        }
        let wanted = progress.wanted.len();
        let detail = format!("clip={} bytes={} wanted={wanted}", self.clip, progress.next);
        Reading::Violated(Violation::new(ViolationKind::Truncated, detail))
    }
}
