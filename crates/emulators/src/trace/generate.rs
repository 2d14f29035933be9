//! Generation of traces from a seed.
//!
//! Arrivals are open loop: a Poisson process plus bursts of requests that share
//! one inner prefix. The popularity of prefixes is skewed and shifts during the
//! trace.

use juniper_types::{NameError, ServiceName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::capacity::{REFERENCE_HIT_SHARE, engine_seconds};
use super::file::Trace;
use super::popularity::{Prefixes, SegmentIds, draw};
use super::profile::{Lengths, Profile, ProfileNames, ProfileShape};
use super::record::{FORMAT, TraceHeader, TraceRecord, TraceRequest, VERSION};

/// Time between shifts of each tenant's popularity, in microseconds.
const SHIFT_INTERVAL_US: u64 = 5_000_000;

/// Share of the requests that belong to bursts.
const BURST_SHARE: f64 = 0.15;

/// Time from the start of one burst to the start of the next, in microseconds.
const BURST_INTERVAL_US: u64 = 5_000_000;

/// Length of a burst, in microseconds.
const BURST_LENGTH_US: u64 = 2_000_000;

/// Priority of heavy chats, which people wait for.
const HEAVY_PRIORITY: u8 = 6;

/// Priority of light chats.
const LIGHT_PRIORITY: u8 = 4;

/// Range of body sizes of at-most-once requests, in bytes.
const BODY_BYTES: Lengths = Lengths { min: 200, max: 4_000 };

/// Number of clips that previews are requested for.
const CLIPS: u64 = 500;

/// Share of a tenant's requests that come from the tenant's home zone.
const HOME_ZONE_SHARE: f64 = 0.7;

/// Options of trace generation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TraceOptions {
    /// Deployment to generate a trace for.
    pub profile: Profile,
    /// Seed; equal options generate equal traces.
    pub seed: u64,
    /// Offered load as a share of the fleet's capacity; see [`super::capacity`].
    pub load: f64,
    /// Duration of the arrivals, in milliseconds.
    pub duration_ms: u64,
}

/// Computes the request rate, in requests per second, that puts `load` on the profile's fleet.
pub fn arrival_rate(shape: &ProfileShape, load: f64) -> f64 {
    let middle = |lengths: Lengths| f64::from(lengths.min + lengths.max) / 2.0;
    let outer = middle(shape.root_tokens) + middle(shape.group_tokens);
    let whole = outer + middle(shape.leaf_tokens);
    let seconds = |shared: f64, own: Lengths, output: Lengths| {
        engine_seconds(shared + middle(own), shared * REFERENCE_HIT_SHARE, middle(output))
    };
    let heavy = seconds(whole, shape.heavy_tokens, shape.heavy_output);
    let light = seconds(outer, shape.light_tokens, shape.light_output);
    let mean = shape.mix.heavy_chat * heavy + shape.mix.light_chat * light;
    load * f64::from(shape.engines) / mean
}

/// Generates the trace described by `options`.
///
/// # Errors
/// Fails when a profile has an invalid name, which the built-in profiles don't have.
pub fn generate(options: TraceOptions) -> Result<Trace, NameError> {
    let names = options.profile.names()?;
    let mut generator = Generator::new(options, names);
    let records = generator.records();
    let shape = options.profile.shape();
    let header = TraceHeader {
        format: FORMAT.to_owned(),
        version: VERSION,
        profile: options.profile,
        seed: options.seed,
        load: options.load,
        duration_ms: options.duration_ms,
        model: generator.names.model,
        engines: shape.engines,
        cache_blocks: shape.cache_blocks,
        zones: generator.names.zones,
        tenants: generator.names.tenants,
        records: records.len() as u64,
    };
    Ok(Trace { header, records })
}

/// Arrival time of a request.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at_us: u64,
    /// Index of the burst that the arrival belongs to, if any.
    burst: Option<usize>,
}

/// Tenant and inner prefix of a request.
#[derive(Clone, Copy, Debug)]
struct Target {
    tenant: usize,
    leaf: usize,
}

struct Generator {
    options: TraceOptions,
    shape: &'static ProfileShape,
    names: ProfileNames,
    random: ChaCha8Rng,
    segment_ids: SegmentIds,
    tenants: Vec<Prefixes>,
    at_most_once_requests: u64,
}

impl Generator {
    fn new(options: TraceOptions, names: ProfileNames) -> Self {
        let shape = options.profile.shape();
        let mut random = ChaCha8Rng::seed_from_u64(options.seed);
        let mut segment_ids = SegmentIds::default();
        let largest = shape.tenant_weights[0];
        let mut tenants: Vec<Prefixes> = shape
            .tenant_weights
            .iter()
            .map(|weight| Prefixes::new(shape, weight / largest, &mut segment_ids, &mut random))
            .collect();
        // All tenants share one outer prefix, so that a router which ignores the
        // tenant would hit another tenant's blocks.
        if let Some(root) = tenants.first().map(Prefixes::root) {
            tenants.iter_mut().for_each(|tenant| tenant.set_root(root));
        }
        Generator { options, shape, names, random, segment_ids, tenants, at_most_once_requests: 0 }
    }

    fn records(&mut self) -> Vec<TraceRecord> {
        let arrivals = self.arrivals();
        let mut targets: Vec<Option<Target>> = Vec::new();
        let mut next_shift = SHIFT_INTERVAL_US;
        let mut records = Vec::with_capacity(arrivals.len());
        for arrival in arrivals {
            while next_shift <= arrival.at_us {
                self.shift_popularity();
                next_shift += SHIFT_INTERVAL_US;
            }
            let target = match arrival.burst {
                Some(burst) => self.burst_target(&mut targets, burst),
                None => self.pick_target(),
            };
            records.push(self.record(arrival, target));
        }
        records
    }

    fn arrivals(&mut self) -> Vec<Arrival> {
        let rate = arrival_rate(self.shape, self.options.load) / 1e6;
        let end = self.options.duration_ms.saturating_mul(1_000);
        let mut arrivals = Vec::new();
        self.add_poisson_arrivals(rate * (1.0 - BURST_SHARE), 0, end, None, &mut arrivals);
        let burst_rate = rate * BURST_SHARE * BURST_INTERVAL_US as f64 / BURST_LENGTH_US as f64;
        let starts = (0..end).step_by(BURST_INTERVAL_US as usize);
        for (burst, interval) in starts.enumerate() {
            let slack = BURST_INTERVAL_US - BURST_LENGTH_US;
            let start = interval + self.random.random_range(0..slack);
            let stop = (start + BURST_LENGTH_US).min(end);
            self.add_poisson_arrivals(burst_rate, start, stop, Some(burst), &mut arrivals);
        }
        arrivals.sort_by_key(|arrival| arrival.at_us);
        arrivals
    }

    /// Adds the arrivals of a Poisson process with `rate` arrivals per microsecond.
    fn add_poisson_arrivals(
        &mut self,
        rate: f64,
        start: u64,
        end: u64,
        burst: Option<usize>,
        arrivals: &mut Vec<Arrival>,
    ) {
        let mut at = start as f64;
        loop {
            let uniform: f64 = self.random.random();
            at -= (1.0 - uniform).ln() / rate;
            if at >= end as f64 || !at.is_finite() {
                return;
            }
            arrivals.push(Arrival { at_us: at as u64, burst });
        }
    }

    fn shift_popularity(&mut self) {
        for tenant in &mut self.tenants {
            tenant.shift_popularity(&mut self.segment_ids, &mut self.random);
        }
    }

    fn pick_tenant(&mut self) -> usize {
        let mut point = self.random.random::<f64>();
        for (tenant, weight) in self.shape.tenant_weights.iter().enumerate() {
            point -= weight;
            if point < 0.0 {
                return tenant;
            }
        }
        0
    }

    fn pick_target(&mut self) -> Target {
        let tenant = self.pick_tenant();
        let leaf = self.tenants[tenant].pick_by_popularity(&mut self.random);
        Target { tenant, leaf }
    }

    /// Returns the target shared by all requests of a burst, chosen regardless of popularity.
    fn burst_target(&mut self, targets: &mut Vec<Option<Target>>, burst: usize) -> Target {
        if targets.len() <= burst {
            targets.resize(burst + 1, None);
        }
        if let Some(target) = targets[burst] {
            return target;
        }
        let tenant = self.pick_tenant();
        let leaf = self.tenants[tenant].pick_uniformly(&mut self.random);
        let target = Target { tenant, leaf };
        targets[burst] = Some(target);
        target
    }

    fn record(&mut self, arrival: Arrival, target: Target) -> TraceRecord {
        let (service, request) = self.request(target);
        let zones = self.names.zones.len();
        let in_home_zone = self.random.random::<f64>() < HOME_ZONE_SHARE;
        let zone =
            if in_home_zone { target.tenant % zones } else { self.random.random_range(0..zones) };
        TraceRecord {
            at_us: arrival.at_us,
            zone: self.names.zones[zone].clone(),
            tenant: self.names.tenants[target.tenant].clone(),
            service,
            request,
        }
    }

    fn request(&mut self, target: Target) -> (ServiceName, TraceRequest) {
        let mix = self.shape.mix;
        let mut point = self.random.random::<f64>();
        let mut falls_in = |share: f64| {
            point -= share;
            point < 0.0
        };
        if falls_in(mix.heavy_chat) {
            return (self.names.heavy.clone(), self.heavy_chat(target));
        }
        if falls_in(mix.light_chat) {
            return (self.names.light.clone(), self.light_chat(target));
        }
        if falls_in(mix.at_most_once) {
            return (self.names.at_most_once.clone(), self.at_most_once());
        }
        let request = match falls_in(mix.listing) {
            true => TraceRequest::Listing {
                resource: self.tenants[target.tenant].resource_id(target.leaf),
            },
            false => TraceRequest::Preview { clip: self.random.random_range(0..CLIPS) },
        };
        (self.names.plain.clone(), request)
    }

    fn heavy_chat(&mut self, target: Target) -> TraceRequest {
        let mut prompt = self.tenants[target.tenant].full_prefix(target.leaf);
        prompt.push(self.segment_ids.allocate(self.shape.heavy_tokens, &mut self.random));
        let output_tokens = draw(self.shape.heavy_output, &mut self.random);
        TraceRequest::Chat { prompt, output_tokens, priority: HEAVY_PRIORITY }
    }

    fn light_chat(&mut self, target: Target) -> TraceRequest {
        let mut prompt = self.tenants[target.tenant].outer_prefixes(target.leaf);
        prompt.push(self.segment_ids.allocate(self.shape.light_tokens, &mut self.random));
        let output_tokens = draw(self.shape.light_output, &mut self.random);
        TraceRequest::Chat { prompt, output_tokens, priority: LIGHT_PRIORITY }
    }

    fn at_most_once(&mut self) -> TraceRequest {
        self.at_most_once_requests += 1;
        let body_bytes = draw(BODY_BYTES, &mut self.random);
        TraceRequest::AtMostOnce { number: self.at_most_once_requests, body_bytes }
    }
}
