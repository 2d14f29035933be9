//! Classification of services by the latency objectives of their routes.

use crate::model::{Catalog, Route, RouteKind, Service};

/// Longest objective of a tight service, in milliseconds. The fixed part of a first output takes 50
/// to 100 ms, a fifth or more of such an objective, so that errors of its estimate decide whether
/// an answer is expected in time.
const MAX_TIGHT_OBJECTIVE_MS: u64 = 450;

impl Catalog {
    /// Whether the service has tight objectives: it runs model engines, and all streaming routes to
    /// it have an objective of at most `MAX_TIGHT_OBJECTIVE_MS`. Beside prompts with longer
    /// objectives, whose queues urgent prompts overtake, expected times of first outputs were half of
    /// the observed ones under overload.
    ///
    /// A service without engines counts as tight if the configuration has a tight service with
    /// engines.
    pub fn is_tight(&self, service: &Service) -> bool {
        match service.engine {
            Some(_) => self.has_only_tight_streams(&service.name),
            None => self
                .services
                .iter()
                .any(|other| other.engine.is_some() && self.has_only_tight_streams(&other.name)),
        }
    }

    /// Whether any streaming route to a service with engines has an objective of at most
    /// `MAX_TIGHT_OBJECTIVE_MS`.
    pub fn has_tight_stream(&self) -> bool {
        let mut engines = self.services.iter().filter(|service| service.engine.is_some());
        engines.any(|service| self.streams_to(&service.name).any(is_tight))
    }

    fn has_only_tight_streams(&self, service: &str) -> bool {
        let mut streams = self.streams_to(service).peekable();
        streams.peek().is_some() && streams.all(is_tight)
    }

    fn streams_to(&self, service: &str) -> impl Iterator<Item = &Route> {
        self.routes.iter().filter(move |route| {
            route.kind == RouteKind::Stream
                && route.split.iter().any(|part| part.service == service && part.weight > 0)
        })
    }
}

fn is_tight(route: &Route) -> bool {
    (1..=MAX_TIGHT_OBJECTIVE_MS).contains(&route.objective_ms)
}
