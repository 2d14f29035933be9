//! Relays the events of one server: which of them are passed on, and how long to wait for the next one.

use std::time::Duration;

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::StreamRelay;
use crate::attempt::Attempt;
use crate::relay::{BodyError, confirm_end};

/// Shortest gap in a stream after which another server is looked for.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Gap after which another server is looked for, relative to the route's maximum gap.
const STALL_FACTOR: u32 = 3;

impl StreamRelay {
    /// Relays the events of one server.
    pub(super) async fn relay_events(
        &mut self,
        attempt: &mut Attempt,
        upstream: &mut Incoming,
    ) -> Result<(), BodyError> {
        loop {
            let deadline = self.stall_deadline();
            let frame = match self.received.take() {
                Some(received) => Ok(received),
                None => tokio::select! {
                    frame = timeout_at(deadline, upstream.frame()) => frame,
                    () = self.answer.caller_left() => return Err(BodyError::CallerLeft),
                },
            };
            let frame = match frame {
                Err(_) if deadline == self.call.deadline => return Err(BodyError::Deadline),
                Err(_) => return Err(BodyError::Stalled),
                Ok(None) if self.splitter.is_between_events() => {
                    let deadline = self.call.confirm_deadline(self.progress);
                    return confirm_end(attempt, &self.answer, deadline).await;
                }
                Ok(None) | Ok(Some(Err(_))) => return Err(BodyError::Broken),
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(data) = frame.into_data() else { continue };
            attempt.record_first_output();
            let events = self.splitter.push(&data).map_err(|_| BodyError::Broken)?;
            self.check_software(attempt)?;
            let mut output = BytesMut::new();
            for event in events {
                if self.should_pass_on(event.id)? {
                    if self.stats.events == 0 && !self.is_resumed_by_caller() {
                        self.software = attempt.software.clone();
                        self.gateway.record_stream(&self.call, self.software.as_ref());
                    }
                    output.extend_from_slice(&event.bytes);
                    self.stats.events += 1;
                }
            }
            if !output.is_empty() {
                self.record_gap();
                self.answer.send(output.freeze()).await?;
            }
        }
    }

    /// Checks that the server still states the software version with which the request was sent. A
    /// restart closes all connections: if the list of servers shows another version while events
    /// arrive, this connection may have reached the new incarnation from the start.
    fn check_software(&mut self, attempt: &mut Attempt) -> Result<(), BodyError> {
        let changed = {
            let placement = self.gateway.placement();
            placement
                .changed_software(&attempt.instance, attempt.software.as_ref())
                .map(|software| software.cloned())
        };
        let Some(current) = changed else { return Ok(()) };
        attempt.software = None;
        // The events before are of another server.
        if self.resumed_after.is_some() {
            return Err(BodyError::SoftwareChanged);
        }
        if let Some(recorded) = self.software.take() {
            log::info!(
                "event=stream_origin_withdrawn request={} instance={} recorded={recorded}",
                self.call.id(),
                attempt.instance
            );
            // Two records that disagree cancel each other. The first one may have been lost.
            for software in [Some(&recorded), current.as_ref()] {
                self.gateway.record_stream(&self.call, software);
            }
        }
        Ok(())
    }

    /// Whether to pass on the event. Earlier events are skipped; a later one means that events are
    /// missing.
    fn should_pass_on(&mut self, id: Option<u64>) -> Result<bool, BodyError> {
        let Some(id) = id else { return Ok(true) };
        match self.last_event {
            Some(last) if id <= last => return Ok(false),
            Some(last) if self.stats.resumed > 0 && id > last + 1 => {
                return Err(BodyError::MissingEvents);
            }
            _ => {}
        }
        self.last_event = Some(id);
        Ok(true)
    }

    fn record_gap(&mut self) {
        let now = Instant::now();
        match self.last_sent_at {
            None => self.stats.first_event = Some(now - self.call.arrived),
            Some(last) => {
                self.stats.longest_gap = self.stats.longest_gap.max(now - last);
            }
        }
        self.last_sent_at = Some(now);
    }

    /// Time until which to wait for the next data; the deadline if the stream can't be resumed.
    fn stall_deadline(&self) -> Instant {
        let mut after = self.progress;
        after.may_have_run += 1;
        if !self.call.may_retry(after) {
            return self.call.deadline;
        }
        let timeout = match self.last_sent_at {
            None => self.call.objective() * 3,
            Some(_) => {
                let max_gap_ms = self.call.route.max_pause_ms.unwrap_or(0);
                Duration::from_millis(max_gap_ms) * STALL_FACTOR
            }
        };
        self.call.deadline.min(Instant::now() + timeout.max(MIN_STALL_TIMEOUT))
    }
}
