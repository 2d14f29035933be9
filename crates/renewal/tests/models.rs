//! Schedule of orders to servers with several models.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use juniper_feed::WantedWeights;
use juniper_registry::InstanceId;
use juniper_renewal::{PlanSettings, RenewalPlan, RenewalServer};
use juniper_types::Timestamp;

const SETTINGS: PlanSettings =
    PlanSettings { deadline: Duration::from_secs(6), retry_after: Duration::from_secs(4) };
const MODELS: [&str; 2] = ["m0", "m1"];
const LOAD_MS: u64 = 600;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Servers that have these versions of both models.
fn servers(count: usize, versions: [u64; 2]) -> Vec<RenewalServer> {
    let models = |number: usize| {
        let model = move |(model, version): (&str, u64)| RenewalServer {
            instance: InstanceId::new(format!("i-{number:03}")),
            model: model.to_owned(),
            version,
        };
        MODELS.into_iter().zip(versions).map(model)
    };
    (0..count).flat_map(models).collect()
}

fn wanted(versions: [u64; 2]) -> BTreeMap<String, WantedWeights> {
    let weights = |version| {
        let mut weights = WantedWeights::default();
        weights.record_version(version, at(0));
        weights
    };
    let models = MODELS.into_iter().zip(versions);
    models.map(|(model, version)| (model.to_owned(), weights(version))).collect()
}

/// Rolls out new weights of both models from `start_ms` after their announcement on. Returns the time
/// until all servers have them, the maximum number of servers that load weights at a time, and the
/// number of orders to servers that were loading.
fn roll_out(start_ms: u64, count: usize, from: [u64; 2], to: [u64; 2]) -> (u64, usize, usize) {
    let (mut servers, wanted) = (servers(count, from), wanted(to));
    let mut plan = RenewalPlan::new(SETTINGS);
    let mut loading: Vec<(u64, RenewalServer, u64)> = Vec::new();
    let (mut max_loading, mut collisions) = (0, 0);
    for millis in (start_ms..20_000).step_by(100) {
        for (_, ordered, version) in loading.iter().filter(|(done, ..)| *done <= millis) {
            let is_ordered = |server: &&mut RenewalServer| {
                server.instance == ordered.instance && server.model == ordered.model
            };
            servers.iter_mut().filter(is_ordered).for_each(|server| server.version = *version);
        }
        loading.retain(|(done, ..)| *done > millis);
        let is_done = |server: &RenewalServer| server.version == wanted[&server.model].version();
        if servers.iter().all(is_done) {
            return (millis, max_loading, collisions);
        }
        while let Some((server, version)) = plan.next(&servers, &wanted, at(millis)) {
            let is_busy =
                |(_, known, _): &(u64, RenewalServer, u64)| known.instance == server.instance;
            collisions += usize::from(loading.iter().any(is_busy));
            plan.record_order(&server, version, at(millis));
            loading.push((millis + LOAD_MS, server, version));
            let busy: BTreeSet<&InstanceId> =
                loading.iter().map(|(_, server, _)| &server.instance).collect();
            max_loading = max_loading.max(busy.len());
        }
    }
    panic!("some servers don't have the weights");
}

// Guards against an order for one model that is taken to be one for another: sent while the server is
// loading, or held back after it has loaded.
#[test]
fn new_weights_of_two_models_are_ordered_one_after_the_other_at_each_server() {
    for (from, to) in [([1, 5], [2, 6]), ([5, 1], [6, 2]), ([1, 1], [2, 9])] {
        let (done, _, collisions) = roll_out(0, 6, from, to);
        assert_eq!(collisions, 0, "{from:?} to {to:?}");
        assert!(done < 8_000, "{from:?} to {to:?}: {done}");
    }
}

// Guards against a rollout that counts each model of a server as a server, and so takes most servers
// out of service at a time.
#[test]
fn at_most_a_third_of_the_servers_load_weights_of_any_model() {
    let (_, max_loading, _) = roll_out(SETTINGS.deadline.as_millis() as u64, 24, [1, 1], [2, 2]);
    assert!(max_loading <= 9, "{max_loading}");
}

// Guards against a rollout in small steps after crashes of servers under an order for another model.
#[test]
fn a_server_that_loads_a_lower_version_than_its_other_model_has_counts_as_loading() {
    let mut plan = RenewalPlan::new(SETTINGS);
    let (wanted, mut held) = (wanted([9, 2]), servers(9, [9, 1]));
    let mut now = 0;
    // Three servers crash under their orders for the second model.
    for _ in 0..3 {
        let next = std::iter::repeat_with(|| {
            now += 100;
            plan.next(&held, &wanted, at(now))
        });
        let (server, version) = next.take(100).flatten().next().expect("an order");
        assert_eq!((server.model.as_str(), version), ("m1", 2));
        plan.record_order(&server, version, at(now));
        held.retain(|known| known.instance != server.instance);
    }
    // From then on one server at a time is tried.
    let mut ordered = 0;
    for millis in (now..now + 3_900).step_by(100) {
        while let Some((server, version)) = plan.next(&held, &wanted, at(millis)) {
            plan.record_order(&server, version, at(millis));
            ordered += 1;
        }
    }
    assert_eq!(ordered, 1);
}
