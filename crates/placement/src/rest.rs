//! Servers that asked this router to send them nothing for a while.

use std::collections::HashMap;
use std::time::Duration;

use juniper_registry::{InstanceId, InstanceName};
use juniper_types::Timestamp;

/// Time after the end of a rest for which a server is remembered that gets nothing meanwhile.
const REMEMBERED: Duration = Duration::from_secs(60);

/// Rests above which forgotten ones are looked for.
const LEAST_LOOK: usize = 256;

/// The rest of one incarnation.
#[derive(Clone, Debug)]
struct Rest {
    id: InstanceId,
    until: Timestamp,
    /// When the request was sent, after the rest, that shows whether the server takes work again.
    trial: Option<Timestamp>,
}

/// The rests that servers asked this router for. They are kept apart from what is known of the
/// servers: one that is lost from view for a moment has asked all the same.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rests(HashMap<InstanceName, Rest>);

impl Rests {
    /// The incarnation asks for `pause`. Returns whether it rests for longer than was known. A rest
    /// never ends sooner than was asked for, whatever the server says later.
    pub(crate) fn asked(&mut self, id: &InstanceId, pause: Duration, now: Timestamp) -> bool {
        self.forget(now);
        let until = now.after(pause);
        match self.0.get_mut(id.name()).filter(|rest| rest.id.is_same(id)) {
            Some(rest) if rest.until >= until => false,
            Some(rest) => {
                rest.until = until;
                rest.trial = None;
                true
            }
            None => {
                self.0.insert(id.name().clone(), Rest { id: id.clone(), until, trial: None });
                true
            }
        }
    }

    fn forget(&mut self, now: Timestamp) {
        if self.0.len() >= LEAST_LOOK {
            self.0.retain(|_, rest| now < rest.until.after(REMEMBERED));
        }
    }

    fn of(&self, id: &InstanceId) -> Option<&Rest> {
        self.0.get(id.name()).filter(|rest| rest.id.is_same(id))
    }

    /// Time that the incarnation still rests; `None` if it takes requests.
    pub(crate) fn left(&self, id: &InstanceId, now: Timestamp) -> Option<Duration> {
        let until = self.of(id)?.until;
        (now < until).then(|| until.since(now))
    }

    /// Whether the first request after its rest is under way on the incarnation.
    pub(crate) fn is_on_trial(&self, id: &InstanceId) -> bool {
        self.of(id).is_some_and(|rest| rest.trial.is_some())
    }

    /// A request is sent to the incarnation.
    pub(crate) fn sent(&mut self, id: &InstanceId, now: Timestamp) {
        let Some(rest) = self.0.get_mut(id.name()).filter(|rest| rest.id.is_same(id)) else {
            return;
        };
        if now >= rest.until && rest.trial.is_none() {
            rest.trial = Some(now);
        }
    }

    /// The incarnation has begun to answer a request that was sent at `sent_at`.
    pub(crate) fn answers(&mut self, id: &InstanceId, sent_at: Timestamp) {
        if self.of(id).is_some_and(|rest| sent_at >= rest.until) {
            self.0.remove(id.name());
        }
    }

    /// A request that was sent at `sent_at` has ended without an answer.
    pub(crate) fn ended(&mut self, id: &InstanceId, sent_at: Timestamp) {
        if let Some(rest) = self.0.get_mut(id.name()).filter(|rest| rest.id.is_same(id))
            && rest.trial == Some(sent_at)
        {
            rest.trial = None;
        }
    }

    /// Servers that rest.
    pub(crate) fn count(&self, now: Timestamp) -> usize {
        self.0.values().filter(|rest| now < rest.until).count()
    }
}
