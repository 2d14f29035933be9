//! Servers that asked this router to send them nothing for a while.

use std::collections::HashMap;
use std::time::Duration;

use juniper_registry::{InstanceId, InstanceName};
use juniper_types::{NodeId, Timestamp};

/// Rests above which those that are over are looked for.
const LEAST_LOOK: usize = 256;

/// Other routers that have to tell of a server's rest. Whatever turns them away turns this one away
/// too; a server that had enough of one router alone is still of use to the others.
const ENOUGH_TELL: usize = 2;

/// Longest time for which the word of others counts: then somebody has to find out anew, since those
/// who were turned away don't ask before their pause is over.
const MAX_TOLD: Duration = Duration::from_secs(10);

/// A rest that another router was asked for.
#[derive(Clone, Copy, Debug)]
struct Told {
    router: NodeId,
    until: Timestamp,
}

/// The rest of one incarnation.
#[derive(Clone, Debug)]
struct Rest {
    id: InstanceId,
    /// Until when it rests from this router.
    until: Timestamp,
    told: Vec<Told>,
}

impl Rest {
    fn is_over(&self, now: Timestamp) -> bool {
        now >= self.until && self.told.iter().all(|told| now >= told.until)
    }
}

/// The rests that servers asked for. They are kept apart from what is known of the servers: one that
/// is lost from view for a moment has asked all the same.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rests(HashMap<InstanceName, Rest>);

impl Rests {
    /// The incarnation asks this router for `pause`. Returns whether it rests for longer than was
    /// known. A rest never ends sooner than was asked for, whatever the server says later.
    pub(crate) fn asked(&mut self, id: &InstanceId, pause: Duration, now: Timestamp) -> bool {
        let rest = self.of_mut(id, now);
        let until = now.after(pause);
        let is_longer = rest.until < until;
        rest.until = rest.until.max(until);
        is_longer
    }

    /// Another router was asked for `pause`.
    pub(crate) fn told(
        &mut self,
        id: &InstanceId,
        router: NodeId,
        pause: Duration,
        now: Timestamp,
    ) {
        let told = &mut self.of_mut(id, now).told;
        told.retain(|told| told.router != router && now < told.until);
        if told.len() < ENOUGH_TELL {
            told.push(Told { router, until: now.after(pause.min(MAX_TOLD)) });
        }
    }

    fn of_mut(&mut self, id: &InstanceId, now: Timestamp) -> &mut Rest {
        if self.0.len() >= LEAST_LOOK {
            self.0.retain(|_, rest| !rest.is_over(now));
        }
        let new = || Rest { id: id.clone(), until: Timestamp::ZERO, told: Vec::new() };
        let rest = self.0.entry(id.name().clone()).or_insert_with(new);
        if !rest.id.is_same(id) {
            *rest = new();
        }
        rest
    }

    fn of(&self, id: &InstanceId) -> Option<&Rest> {
        self.0.get(id.name()).filter(|rest| rest.id.is_same(id))
    }

    /// Whether the incarnation has asked for a rest, which may be over.
    pub(crate) fn knows(&self, id: &InstanceId) -> bool {
        self.of(id).is_some()
    }

    /// Time that the incarnation still rests from this router; `None` if it takes requests.
    pub(crate) fn left(&self, id: &InstanceId, now: Timestamp) -> Option<Duration> {
        let until = self.of(id)?.until;
        (now < until).then(|| until.since(now))
    }

    /// Whether the incarnation turns enough other routers away for this one to spare it.
    pub(crate) fn is_told(&self, id: &InstanceId, now: Timestamp) -> bool {
        let rest = self.of(id);
        let told = rest.into_iter().flat_map(|rest| &rest.told);
        told.filter(|told| now < told.until).count() >= ENOUGH_TELL
    }

    /// Servers that rest from this router.
    pub(crate) fn count(&self, now: Timestamp) -> usize {
        self.0.values().filter(|rest| now < rest.until).count()
    }
}
