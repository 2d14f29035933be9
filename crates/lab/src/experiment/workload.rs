//! Chat requests of a trace, prepared for routing.

use std::collections::BTreeMap;
use std::sync::Arc;

use juniper_emulators::trace::{PromptTexts, Trace, TraceRequest};
use juniper_routing::ServingKey;
use juniper_settings::{EffectiveSettings, Overrides};
use juniper_types::{CacheScope, PromptBlocks, ServiceName, TenantName, Timestamp, WeightsVersion};

use super::deployment::Deployment;

/// Weights version served by all engines.
pub const WEIGHTS: WeightsVersion = WeightsVersion(1);

/// Chat request.
#[derive(Clone, Debug)]
pub struct Job {
    /// Time of arrival at the router.
    pub at: Timestamp,
    /// Zone of the caller and of its router.
    pub zone: usize,
    /// Tenant of the request.
    pub tenant: TenantName,
    /// Requested service.
    pub service: ServiceName,
    /// Cache scope of the prompt.
    pub scope: CacheScope,
    /// Model and adapter that the engine must have loaded.
    pub serving: ServingKey,
    /// Block hashes of the prompt.
    pub blocks: Arc<[juniper_types::BlockHash]>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Length of the answer, in tokens.
    pub output_tokens: u32,
    /// Priority, 0 (lowest) to 9.
    pub priority: u8,
    /// Effective settings of the service.
    pub settings: Arc<EffectiveSettings>,
}

/// Returns the chat requests of `trace` in order of arrival. Other kinds of traffic
/// don't use engines and are omitted.
pub fn jobs(trace: &Trace, deployment: &Deployment) -> Vec<Job> {
    let mut builder = Builder {
        trace,
        deployment,
        texts: PromptTexts::new(trace.header.seed),
        settings: BTreeMap::new(),
    };
    trace.records.iter().filter_map(|record| builder.job(record)).collect()
}

struct Builder<'a> {
    trace: &'a Trace,
    deployment: &'a Deployment,
    texts: PromptTexts,
    settings: BTreeMap<ServiceName, Arc<EffectiveSettings>>,
}

impl Builder<'_> {
    fn job(&mut self, record: &juniper_emulators::trace::TraceRecord) -> Option<Job> {
        let TraceRequest::Chat { prompt, output_tokens, priority } = &record.request else {
            return None;
        };
        let scope = CacheScope {
            tenant: record.tenant.clone(),
            model: self.trace.header.model.clone(),
            adapter: None,
            weights: WEIGHTS,
        };
        let PromptBlocks { hashes, tokens } = self.texts.blocks(&scope, prompt);
        let zone = self.trace.header.zones.iter().position(|zone| *zone == record.zone)?;
        let serving = ServingKey {
            model: scope.model.clone(),
            adapter: scope.adapter.clone(),
            weights: scope.weights,
        };
        Some(Job {
            at: Timestamp::from_micros(record.at_us),
            zone,
            tenant: record.tenant.clone(),
            service: record.service.clone(),
            scope,
            serving,
            blocks: hashes.into(),
            prompt_tokens: tokens,
            output_tokens: *output_tokens,
            priority: *priority,
            settings: self.settings_of(&record.service, *priority),
        })
    }

    fn settings_of(&mut self, service: &ServiceName, priority: u8) -> Arc<EffectiveSettings> {
        let deployment = self.deployment;
        let known = self.settings.entry(service.clone()).or_insert_with(|| {
            let overrides = Overrides {
                model: Some(self.trace.header.model.clone()),
                weights: Some(WEIGHTS),
                priority: Some(priority),
                waste_weight: Some(deployment.waste_weight),
                latency_weight: Some(deployment.latency_weight),
                first_token_deadline_ms: Some(deployment.first_token_deadline_ms),
                deadline_ms: Some(deployment.deadline_ms),
                ..Overrides::default()
            };
            Arc::new(EffectiveSettings::resolve(&overrides))
        });
        Arc::clone(known)
    }
}
