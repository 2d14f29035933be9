//! Classification of services by the latency objectives of their routes.

use crate::model::{Catalog, RouteKind, Service};

/// Longest objective of a tight service, in milliseconds. The fixed part of a first output takes 50
/// to 100 ms, a fifth or more of such an objective, so that errors of its estimate decide whether
/// an answer is expected in time.
const MAX_TIGHT_OBJECTIVE_MS: u64 = 450;

impl Catalog {
    /// Whether the service has tight objectives: it runs model engines and a streaming route to it
    /// has an objective of at most [`MAX_TIGHT_OBJECTIVE_MS`]. A service without engines counts as
    /// tight if the configuration has a tight service with engines.
    pub fn is_tight(&self, service: &Service) -> bool {
        match service.engine {
            Some(_) => self.has_tight_stream(&service.name),
            None => self
                .services
                .iter()
                .any(|other| other.engine.is_some() && self.has_tight_stream(&other.name)),
        }
    }

    fn has_tight_stream(&self, service: &str) -> bool {
        self.routes.iter().any(|route| {
            let is_tight = (1..=MAX_TIGHT_OBJECTIVE_MS).contains(&route.objective_ms);
            is_tight
                && route.kind == RouteKind::Stream
                && route.split.iter().any(|part| part.service == service && part.weight > 0)
        })
    }
}
