//! The work that all routers together have sent to a server, as far as they tell
//! each other.

use std::collections::VecDeque;
use std::time::Duration;

use juniper_types::Timestamp;

use crate::load::ReadingSpeed;
use crate::sighting::ToldRequest;

/// Age from which a request whose end nobody told of counts no more: its router was killed, or
/// the word was lost. Few streams take longer.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Work on one server: requests that were begun and not ended, and an estimate of what they
/// still have to read.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetLoad {
    /// Tokens that were still to be read when the last request was told of.
    waiting_tokens: f64,
    updated: Timestamp,
    /// Requests under way, the oldest first.
    under_way: VecDeque<UnderWay>,
}

/// A request under way.
#[derive(Clone, Copy, Debug)]
struct UnderWay {
    /// Names it, if its end will be told of.
    request: Option<ToldRequest>,
    begun: Timestamp,
}

impl FleetLoad {
    /// A request of which `tokens` have to be read was sent to the server.
    pub(crate) fn begin(
        &mut self,
        request: Option<ToldRequest>,
        tokens: u32,
        speed: ReadingSpeed,
        now: Timestamp,
    ) {
        self.waiting_tokens = self.waiting_tokens(speed, now) + f64::from(tokens);
        self.updated = now;
        while self.under_way.front().is_some_and(|oldest| is_forgotten(oldest.begun, now)) {
            self.under_way.pop_front();
        }
        self.under_way.push_back(UnderWay { request, begun: now });
    }

    /// A request has ended. If its beginning wasn't heard of, nothing changes: it must not count for
    /// another one.
    pub(crate) fn end(&mut self, request: ToldRequest) {
        let place = self.under_way.iter().position(|known| known.request == Some(request));
        if let Some(place) = place {
            self.under_way.remove(place);
        }
    }

    /// Tokens that should still be unread.
    pub(crate) fn waiting_tokens(&self, speed: ReadingSpeed, now: Timestamp) -> f64 {
        (self.waiting_tokens - speed.tokens_in(now.since(self.updated))).max(0.0)
    }

    /// Requests that are under way.
    pub(crate) fn requests(&self, now: Timestamp) -> usize {
        self.under_way.iter().rev().take_while(|known| !is_forgotten(known.begun, now)).count()
    }
}

pub(crate) fn is_forgotten(begun: Timestamp, now: Timestamp) -> bool {
    now.since(begun) >= MAX_AGE
}
