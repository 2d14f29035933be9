//! Returns of refused callers of services with tight objectives.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use juniper_types::Timestamp;
use juniper_waiting::{PromiseCounts, Return, ReturnSchedule};

use crate::lock::lock;

/// Schedules of returns, by service with tight objectives.
#[derive(Default)]
pub(crate) struct Returns {
    schedules: Mutex<HashMap<String, ReturnSchedule>>,
}

impl Returns {
    /// Sets the services with tight objectives. Schedules of services that remain are kept.
    pub(crate) fn set_services(&self, services: &[&str]) {
        let mut schedules = lock(&self.schedules);
        schedules.retain(|service, _| services.contains(&service.as_str()));
        for service in services {
            if !schedules.contains_key(*service) {
                schedules.insert((*service).to_owned(), ReturnSchedule::default());
            }
        }
    }

    /// Records a prompt that was admitted.
    pub(crate) fn record_admission(&self, service: &str, rank: u8, now: Timestamp) {
        if let Some(schedule) = lock(&self.schedules).get_mut(service) {
            schedule.record_admission(rank, now);
        }
    }

    /// When a caller should return whose prompt was refused because of an overload that is expected
    /// to end after `excess`. `None` if the service has no tight objectives.
    pub(crate) fn next(
        &self,
        service: &str,
        rank: u8,
        time_left: Duration,
        excess: Duration,
        now: Timestamp,
    ) -> Option<Return> {
        let mut schedules = lock(&self.schedules);
        let schedule = schedules.get_mut(service)?;
        schedule.record_overload(excess, now);
        Some(schedule.next(rank, time_left, now, rand::random()))
    }

    /// Promised returns of all services since the last call.
    pub(crate) fn take_counts(&self) -> PromiseCounts {
        let mut schedules = lock(&self.schedules);
        let counts = schedules.values_mut().map(ReturnSchedule::take_counts);
        counts.fold(PromiseCounts::default(), |sum, counts| PromiseCounts {
            promised: sum.promised + counts.promised,
            held: sum.held + counts.held,
            broken: sum.broken + counts.broken,
        })
    }
}
