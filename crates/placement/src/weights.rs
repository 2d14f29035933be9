//! Models, and what is known of their weights on one server.
//!
//! A server may have several models, each with a version of its own: a version says nothing about
//! the server without the model that it belongs to.

use std::time::Duration;

use juniper_types::Timestamp;

use crate::server::fnv1a;

/// Time for which a server isn't used after it rejected a version of the weights, unless it reports
/// another version before.
const REJECTION_TIME: Duration = Duration::from_secs(1);

/// Maximum number of models of one server whose weights are remembered. Callers choose the names.
pub(crate) const MAX_MODELS: usize = 32;

/// Key of a model's name, the same at all routers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelKey(u32);

impl ModelKey {
    /// Key of the model with this name.
    pub fn of(name: &str) -> Self {
        let hash = fnv1a(name);
        ModelKey((hash ^ (hash >> 32)) as u32)
    }

    /// Key from a message.
    pub const fn from_number(number: u32) -> Self {
        ModelKey(number)
    }

    /// Key for a message.
    pub const fn number(self) -> u32 {
        self.0
    }
}

/// A version of the weights that a server has rejected.
#[derive(Clone, Copy, Debug)]
struct RejectedVersion {
    version: u64,
    until: Timestamp,
}

/// What answers of a server have shown of one model's weights.
#[derive(Clone, Copy, Debug)]
struct ObservedModel {
    model: ModelKey,
    /// Highest version in an answer; zero if there was none.
    version: u64,
    rejected: Option<RejectedVersion>,
}

/// What answers of a server have shown of its models' weights. The few models of a server are
/// searched in order, and the first of too many is forgotten.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObservedWeights(Vec<ObservedModel>);

impl ObservedWeights {
    /// Records the version in an answer to a request for the model.
    pub(crate) fn observe(&mut self, model: ModelKey, version: u64) {
        let observed = self.entry(model);
        observed.version = observed.version.max(version);
    }

    /// Records that the server rejected a version of the model's weights. An earlier answer with this
    /// version proves nothing any more.
    pub(crate) fn reject(&mut self, model: ModelKey, version: u64, now: Timestamp) {
        let observed = self.entry(model);
        observed.rejected = Some(RejectedVersion { version, until: now.after(REJECTION_TIME) });
        if observed.version == version {
            observed.version = 0;
        }
    }

    /// Highest observed version of the model's weights; zero if none was observed.
    pub(crate) fn version_of(&self, model: ModelKey) -> u64 {
        self.get(model).map_or(0, |observed| observed.version)
    }

    /// Whether the server has recently rejected `version` of the model's weights.
    pub(crate) fn is_rejected(&self, model: ModelKey, version: u64, now: Timestamp) -> bool {
        let rejected = self.get(model).and_then(|observed| observed.rejected);
        rejected.is_some_and(|rejected| rejected.version == version && now < rejected.until)
    }

    fn get(&self, model: ModelKey) -> Option<&ObservedModel> {
        self.0.iter().find(|observed| observed.model == model)
    }

    fn entry(&mut self, model: ModelKey) -> &mut ObservedModel {
        let position = self.0.iter().position(|observed| observed.model == model);
        let position = position.unwrap_or_else(|| {
            if self.0.len() >= MAX_MODELS {
                self.0.remove(0);
            }
            self.0.push(ObservedModel { model, version: 0, rejected: None });
            self.0.len() - 1
        });
        &mut self.0[position]
    }
}
