//! Servers that asked this router to send them nothing for a while.

use std::collections::HashMap;
use std::time::Duration;

use juniper_registry::{InstanceId, InstanceName};
use juniper_types::Timestamp;

/// Rests above which those that are over are looked for.
const LEAST_LOOK: usize = 256;

/// The rest of one incarnation.
#[derive(Clone, Debug)]
struct Rest {
    id: InstanceId,
    until: Timestamp,
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
                true
            }
            None => {
                self.0.insert(id.name().clone(), Rest { id: id.clone(), until });
                true
            }
        }
    }

    fn forget(&mut self, now: Timestamp) {
        if self.0.len() >= LEAST_LOOK {
            self.0.retain(|_, rest| now < rest.until);
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

    /// Servers that rest.
    pub(crate) fn count(&self, now: Timestamp) -> usize {
        self.0.values().filter(|rest| now < rest.until).count()
    }
}
