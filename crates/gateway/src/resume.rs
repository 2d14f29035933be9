//! Resumption of streams by callers. The events of different software versions don't fit together,
//! so a stream continues only at servers of the version that began it.
//!
//! The router that passes on the first event of an answer records the version under the caller's id
//! of the request, and tells the replicas before it sends the event. A caller that resumes the stream
//! names that id; the router that it asks looks the record up. Without a record nothing is resumed,
//! unless the caller names no id and only one version can have begun the stream. What has served before
//! a router started it asks the replicas.

use std::sync::Mutex;
use std::time::Duration;

use hyper::header::HeaderValue;
use juniper_catalog::{Route, SplitPart, Tenant};
use juniper_feed::OriginLookup;
use juniper_protocol::message::RouterUpdate;
use juniper_registry::SoftwareVersion;
use juniper_stream_origins::{
    OriginTable, ServedVersions, StreamOrigin, StreamRecord, sole_version,
};
use juniper_types::StreamKey;

use crate::call::Call;
use crate::dialect::CallInfo;
use crate::gateway::Gateway;
use crate::lock::lock;

/// Maximum number of records in one update to the replicas.
const MAX_PUBLISHED_RECORDS: usize = 256;

/// Time for which a router may go on using a server that has left the list.
const LIST_LAG: Duration = Duration::from_secs(1);

/// Why a stream can't be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResumeRefusal {
    /// The caller doesn't name the request that began the stream, or no replica has a record of it.
    NoRecord,
    /// No replica answered.
    Unanswered,
    /// The route no longer leads to the service that began the stream.
    NoService,
    /// No server runs the software version that began the stream.
    NoSoftware,
}

impl ResumeRefusal {
    /// Value of `reason` in logs, metrics and the body of the answer.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            ResumeRefusal::NoRecord => "stream_origin_unknown",
            ResumeRefusal::Unanswered => "stream_origin_unanswered",
            ResumeRefusal::NoService => "stream_service_gone",
            ResumeRefusal::NoSoftware => "software_version_gone",
        }
    }
}

/// Who knows where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OriginSource {
    /// This router began it.
    Own,
    /// A replica has a record.
    Replica,
    /// Only one software version can have begun it.
    SoleVersion,
}

impl OriginSource {
    /// Value of `source` in logs, and of `outcome` in metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            OriginSource::Own => "own",
            OriginSource::Replica => "replica",
            OriginSource::SoleVersion => "sole_version",
        }
    }
}

/// Origins of the streams whose first event this router passed on.
#[derive(Default)]
pub(crate) struct OwnOrigins(Mutex<OriginTable>);

impl Gateway {
    /// Records the software version that made the first event of the call's answer. Call it before
    /// the event is passed on: a caller that has the event may resume at another router.
    pub(crate) fn record_stream(&self, call: &Call, software: Option<&SoftwareVersion>) {
        let Some(software) = software.filter(|_| call.route.resumable) else { return };
        let record = StreamRecord {
            stream: self.stream_key(call.tenant.as_deref(), call.info.id.as_bytes()),
            origin: StreamOrigin { service: call.service.clone(), software: software.clone() },
        };
        let now = self.now_with_suspensions();
        lock(&self.origins.0).record(&record, now);
        self.updates.push_stream_record(record);
    }

    /// Finds out where the stream began that a caller resumes.
    pub(crate) async fn find_origin(
        &self,
        route: &Route,
        tenant: Option<&Tenant>,
        info: &CallInfo,
    ) -> Result<StreamOrigin, ResumeRefusal> {
        let found = self.look_up_origin(route, tenant, info).await.and_then(|(origin, source)| {
            let leads_there = |part: &SplitPart| part.service == origin.service && part.weight > 0;
            match route.split.iter().any(leads_there) {
                true => Ok((origin, source)),
                false => Err(ResumeRefusal::NoService),
            }
        });
        let (id, resumed) =
            (header_text(&info.id), info.resumed_attempt.as_ref().map_or("-", header_text));
        match &found {
            Ok((origin, source)) => {
                self.metrics.count_resume(source.as_str());
                log::info!(
                    "event=stream_origin_found request={id} resumes={resumed} service={} \
                     software={} source={}",
                    origin.service,
                    origin.software,
                    source.as_str()
                );
            }
            Err(refusal) => {
                self.metrics.count_resume(refusal.as_str());
                log::info!(
                    "event=not_resumable request={id} resumes={resumed} route={} reason={}",
                    route.name,
                    refusal.as_str()
                );
            }
        }
        found.map(|(origin, _)| origin)
    }

    async fn look_up_origin(
        &self,
        route: &Route,
        tenant: Option<&Tenant>,
        info: &CallInfo,
    ) -> Result<(StreamOrigin, OriginSource), ResumeRefusal> {
        let Some(attempt) = &info.resumed_attempt else {
            let sole = self.sole_origin(route).await.ok_or(ResumeRefusal::NoRecord)?;
            return Ok((sole, OriginSource::SoleVersion));
        };
        let stream = self.stream_key(tenant.map(|tenant| tenant.name.as_str()), attempt.as_bytes());
        let own = lock(&self.origins.0).find(&stream).cloned();
        if let Some(origin) = own {
            return Ok((origin, OriginSource::Own));
        }
        match self.feed.find_stream_origin(stream).await {
            OriginLookup::Known(origin) => Ok((origin, OriginSource::Replica)),
            OriginLookup::Unknown => Err(ResumeRefusal::NoRecord),
            OriginLookup::Unanswered => Err(ResumeRefusal::Unanswered),
        }
    }

    /// Origin of any stream that a caller of the route may resume: its only service, if all its
    /// servers ran one software version for as long as the stream can have lasted.
    async fn sole_origin(&self, route: &Route) -> Option<StreamOrigin> {
        let age = self.feed.confirmation_age()?;
        if age >= self.settings.rejection_age_limit() {
            return None;
        }
        let mut parts = route.split.iter().filter(|part| part.weight > 0);
        let part = parts.next().filter(|_| parts.next().is_none())?;
        let window = Duration::from_millis(route.timeout_ms) + LIST_LAG;
        let statements = self.served_versions(&part.service, window).await;
        let software = sole_version(&statements, window)?;
        Some(StreamOrigin { service: part.service.clone(), software })
    }

    /// Software versions that have served a service. A router that has just started doesn't know those
    /// that have gone, and asks the replicas, which may have run for longer.
    async fn served_versions(&self, service: &str, window: Duration) -> Vec<ServedVersions> {
        let own = lock(&self.software_history).served(service, self.now_with_suspensions());
        if own.covers(window) {
            return vec![own];
        }
        let mut statements = self.feed.find_served_versions(service).await;
        log::info!(
            "event=served_versions_asked service={service} window_ms={} own_known_ms={} \
             replicas_known_ms={:?} versions={}",
            window.as_millis(),
            own.known_ms,
            statements.iter().map(|statement| statement.known_ms).collect::<Vec<_>>(),
            statements.iter().map(|statement| statement.versions.len()).max().unwrap_or(0)
        );
        // Servers may have registered in the meantime.
        statements.push(lock(&self.software_history).served(service, self.now_with_suspensions()));
        statements
    }

    /// Tells a replica of all streams that this router began, since it may have restarted.
    pub(crate) async fn publish_own_origins(&self) {
        let records: Vec<StreamRecord> = {
            let mut origins = lock(&self.origins.0);
            origins.expire(self.now_with_suspensions());
            origins.records().collect()
        };
        for chunk in records.chunks(MAX_PUBLISHED_RECORDS) {
            let stream_records = Some(chunk.to_vec());
            self.feed.publish(RouterUpdate { stream_records, ..RouterUpdate::default() }).await;
        }
    }

    fn stream_key(&self, tenant: Option<&str>, request_id: &[u8]) -> StreamKey {
        self.settings.fingerprint_key.stream_key(tenant, request_id)
    }
}

/// Header value for logs.
fn header_text(value: &HeaderValue) -> &str {
    value.to_str().unwrap_or("-")
}
