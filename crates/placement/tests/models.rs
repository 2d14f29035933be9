//! Servers with several models, whose weights change independently.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use juniper_placement::{ModelKey, Outcome, Placement, Prompt};
use juniper_registry::{Instance, InstanceId, InstanceMap, LoadedModel};
use juniper_simulation::Random;

use support::{at, choose, instance, placement, prompt, request, send};

const MODELS: [&str; 3] = ["m0", "m1", "m2"];

fn server(number: u16, versions: &[(&str, u64)]) -> Instance {
    let mut report = instance(number, 0).report.as_ref().clone();
    let loaded = |(model, version): &(&str, u64)| LoadedModel {
        model: (*model).to_owned(),
        version: *version,
    };
    report.models = versions.iter().map(loaded).collect();
    Instance::of(report)
}

/// Placement with servers that have these versions.
fn servers(each: &[&[(&str, u64)]]) -> Placement {
    let mut placement = placement(0);
    let numbered = (1..).zip(each);
    let map: InstanceMap =
        numbered.map(|(number, versions)| Arc::new(server(number, versions))).collect();
    placement.set_instances(&map);
    placement
}

fn prompt_for(model: &str, shared: u64, own: u64) -> Prompt {
    Prompt { model: model.to_owned(), ..prompt(shared, own) }
}

fn reject(placement: &mut Placement, prompt: &Prompt, millis: u64) -> InstanceId {
    let choice = choose(placement, prompt, millis);
    let ticket = placement.begin_request(&choice, true, at(millis));
    placement.end_request(ticket, Outcome::VersionMismatch(choice.version), at(millis));
    choice.instance
}

// Guards against requests for one model that expect the version of another one's weights, which every
// server rejects.
#[test]
fn an_answer_for_one_model_says_nothing_about_the_weights_of_another() {
    let mut placement = servers(&[&[("m0", 1), ("m1", 1)]]);
    placement.observe_version(&InstanceId::new("i-1"), ModelKey::of("m1"), 2);
    assert_eq!(choose(&mut placement, &prompt_for("m0", 1, 1), 0).version, 1);
    assert_eq!(choose(&mut placement, &prompt_for("m1", 1, 1), 0).version, 2);
}

// Guards against the same for a rejection.
#[test]
fn a_rejected_version_of_one_model_is_still_used_for_another() {
    let mut placement = servers(&[&[("m0", 1), ("m1", 1)], &[("m0", 1), ("m1", 1)]]);
    let rejecting = reject(&mut placement, &prompt_for("m1", 1, 1), 0);
    let uses = |placement: &mut Placement, model: &str| {
        (0..40).any(|shared| {
            choose(placement, &prompt_for(model, 10 + shared, 1), 500).instance == rejecting
        })
    };
    assert!(uses(&mut placement, "m0"));
    assert!(!uses(&mut placement, "m1"));
}

// Guards against a wrong belief that lasts: the server's own report counts again.
#[test]
fn an_observed_version_that_the_server_rejects_is_forgotten() {
    let mut placement = servers(&[&[("m0", 1), ("m1", 1)]]);
    placement.observe_version(&InstanceId::new("i-1"), ModelKey::of("m0"), 2);
    reject(&mut placement, &prompt_for("m0", 1, 1), 0);
    assert_eq!(choose(&mut placement, &prompt_for("m0", 1, 2), 100).version, 1);
}

// Guards against cached segments that are attributed to another model or forgotten for it.
#[test]
fn cached_segments_belong_to_the_model_that_computed_them() {
    let mut placement = servers(&[&[("m0", 1), ("m1", 2)]]);
    send(&mut placement, &prompt_for("m1", 1, 1), 0);
    let cached = |placement: &mut Placement, model| {
        choose(placement, &prompt_for(model, 1, 2), 1_000).cached_tokens
    };
    assert_eq!([cached(&mut placement, "m0"), cached(&mut placement, "m1")], [0, 6_000]);
    send(&mut placement, &prompt_for("m0", 1, 3), 1_000);
    assert_eq!([cached(&mut placement, "m0"), cached(&mut placement, "m1")], [6_000, 6_000]);
}

// Guards against requests that are sent to a server without their model.
#[test]
fn a_server_that_lists_other_models_only_is_not_used() {
    let mut placement = servers(&[&[("m0", 1)], &[("m1", 1)], &[("m0", 1), ("m1", 1)]]);
    for shared in 0..40 {
        let chosen = choose(&mut placement, &prompt_for("m1", shared, 1), 0).instance;
        assert_ne!(chosen, InstanceId::new("i-1"));
    }
    // While no server lists the model, its servers may not have reported it yet.
    assert!(placement.choose(&request(&prompt_for("m2", 1, 1), &[]), at(0), 0).is_ok());
}

type HeldVersions = BTreeMap<&'static str, u64>;

fn listed(held: &[HeldVersions]) -> InstanceMap {
    let versions = |held: &HeldVersions| -> Vec<(&'static str, u64)> {
        held.iter().map(|(model, version)| (*model, *version)).collect()
    };
    let numbered = (1..).zip(held.iter().map(versions));
    numbered.map(|(number, versions)| Arc::new(server(number, &versions))).collect()
}

/// Servers whose models get new weights at different times, a router that learns of them late and in
/// any order. Returns the number of rejected requests and that of new weights.
fn run(seed: u64) -> (u64, u64) {
    const SERVERS: usize = 4;
    let mut random = Random::new(seed);
    let mut pick = move |count: usize| random.between(0, count as u64) as usize % count;
    let mut held: Vec<HeldVersions> = vec![MODELS.map(|model| (model, 1)).into(); SERVERS];
    let mut placement = placement(0);
    placement.set_instances(&listed(&held));
    let (mut rejected, mut renewals) = (0, 0);
    for step in 0..400_u64 {
        let now = step * 50;
        match pick(10) {
            0 => {
                let model = MODELS[pick(MODELS.len())];
                *held[pick(SERVERS)].entry(model).or_default() += 1;
                renewals += 1;
            }
            1 => placement.set_instances(&listed(&held)),
            _ => {}
        }
        let prompt = prompt_for(MODELS[pick(MODELS.len())], pick(6) as u64, step);
        let request = request(&prompt, &[]);
        let choice = placement.choose(&request, at(now), step * 977).expect("a server");
        let number: usize = choice.instance.as_str()[2..].parse().expect("a number");
        let version = held[number - 1][prompt.model.as_str()];
        assert!(choice.version <= version, "seed {seed}: {choice:?} but {held:?}");
        let ticket = placement.begin_request(&choice, true, at(now));
        placement.observe_version(&choice.instance, ModelKey::of(&prompt.model), version);
        let outcome = match choice.version == version {
            true => Outcome::Answered,
            false => Outcome::VersionMismatch(choice.version),
        };
        placement.end_request(ticket, outcome, at(now));
        rejected += u64::from(outcome != Outcome::Answered);
    }
    (rejected, renewals)
}

// Guards against beliefs about a model's weights that no server ever had.
#[test]
fn no_request_expects_weights_that_the_server_never_had() {
    for seed in 0..200 {
        let (rejected, renewals) = run(seed);
        assert!(rejected <= renewals, "seed {seed}: {rejected} rejected, {renewals} renewals");
    }
}

// Guards against reports of other routers that count for each model of a server, or for none.
#[test]
fn a_dispatch_report_names_the_model_whose_segments_are_cached() {
    let mut sender = servers(&[&[("m0", 1), ("m1", 1)]]);
    let mut receiver = sender.clone();
    let dispatch = choose(&mut sender, &prompt_for("m0", 1, 1), 0).dispatch_record();
    receiver.apply_untracked_dispatch(&dispatch, at(0));
    let cached = |placement: &mut Placement, model| {
        choose(placement, &prompt_for(model, 1, 2), 1_000).cached_tokens
    };
    assert_eq!([cached(&mut receiver, "m0"), cached(&mut receiver, "m1")], [6_000, 0]);
    // Of a server with one model the report needs no name.
    let mut single = servers(&[&[("m0", 1)]]);
    assert_eq!(choose(&mut single, &prompt_for("m0", 1, 1), 0).dispatch_record().model, None);
}

// Guards against memory that callers fill with names of models, and against a bound that forgets the
// models in use.
#[test]
fn a_flood_of_model_names_leaves_the_models_in_use() {
    let mut placement = servers(&[&[("m0", 1), ("m1", 1)]]);
    let id = InstanceId::new("i-1");
    for number in 0..10_000_u64 {
        placement.observe_version(&id, ModelKey::of(&format!("x{number}")), number);
        placement.observe_version(&id, ModelKey::of("m0"), 3);
    }
    assert_eq!(placement.version_of(&id, "x1"), Some(0));
    assert_eq!(placement.version_of(&id, "m0"), Some(3));
}
