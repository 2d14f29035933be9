//! Brittle servers: what their answers state, and rejections by them, which all routers have to know.

use juniper_limits::RejectionTolerance;
use juniper_protocol::message::BrittleServiceUpdate;
use juniper_registry::{InstanceId, StartTime};

use crate::dialect::AnswerInfo;
use crate::gateway::Gateway;

impl Gateway {
    /// Records what an answer of `instance` to `request` states about its tolerance of rejections,
    /// and whether it is a rejection for want of room.
    pub(crate) fn observe_tolerance(
        &self,
        instance: &InstanceId,
        info: &AnswerInfo,
        is_rejection: bool,
        request: &str,
    ) {
        if info.is_wrong_server || !info.matches_request {
            return;
        }
        match info.rejection_tolerance {
            RejectionTolerance::Nothing => return,
            RejectionTolerance::PerSecond(tolerance) => {
                let service = self.placement().observe_brittle(instance, tolerance, self.now());
                if let Some(service) = service {
                    log::info!(
                        "event=server_brittle request={request} instance={instance} \
                         service={service} rejections_per_s={tolerance}"
                    );
                    self.updates.push_brittle(&service, tolerance, None);
                }
            }
            RejectionTolerance::Invalid(error) => log::warn!(
                "event=server_brittle_unreadable request={request} instance={instance} \
                 reason=\"{error}\""
            ),
        }
        if is_rejection {
            self.record_rejection(instance, request);
        }
    }

    fn record_rejection(&self, instance: &InstanceId, request: &str) {
        let rejected = self.placement().record_rejection(instance, self.now(), rand::random());
        let Some((service, tolerance)) = rejected else { return };
        self.metrics.brittle_rejections.inc();
        log::info!("event=brittle_server_full request={request} instance={instance}");
        self.updates.push_brittle(&service, tolerance, Some(instance));
    }

    /// Applies another router's report about a service whose servers are brittle.
    pub(crate) fn apply_peer_brittle(&self, update: &BrittleServiceUpdate) {
        let (now, mut placement) = (self.now(), self.placement());
        placement.apply_peer_brittle(&update.service, update.tolerance, now);
        for instance in &update.rejecting {
            let instance = InstanceId::started_at(instance.clone(), StartTime::UNKNOWN);
            placement.record_rejection(&instance, now, rand::random());
        }
    }
}
