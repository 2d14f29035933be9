//! Servers, prompts and requests for the placement tests.

// Each test program uses only some of the helpers.
#![allow(dead_code)]

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use juniper_placement::{
    Choice, Outcome, Placement, Prompt, PromptSegment, ServerRequest, ServiceProfile,
};
use juniper_registry::{
    Instance, InstanceId, InstanceMap, InstanceName, InstanceReport, InstanceState, LoadedModel,
    StartTime,
};
use juniper_types::Timestamp;

pub const SERVICE: &str = "llm";

pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

pub fn address(number: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, (number >> 8) as u8, number as u8), 80)
}

pub fn instance(number: u16, version: u64) -> Instance {
    let report = InstanceReport {
        name: InstanceName::new(format!("i-{number}")),
        started: StartTime::UNKNOWN,
        software: None,
        service: SERVICE.to_owned(),
        address: address(number),
        zone: "north".to_owned(),
        slots: 32,
        state: InstanceState::Ready,
        cold_remaining_ms: 0,
        models: vec![LoadedModel { model: "m".to_owned(), version }],
        sequence: 1,
    };
    Instance::of(report)
}

pub fn placement(count: u16) -> Placement {
    let mut placement = Placement::new("north");
    let instances: InstanceMap = (1..=count).map(|number| Arc::new(instance(number, 1))).collect();
    placement.set_instances(&instances);
    let profile = ServiceProfile {
        transfer_ms_per_token: 0.005,
        cache_tokens: 160_000,
        ..ServiceProfile::default()
    };
    placement.set_profiles(HashMap::from([(SERVICE.to_owned(), profile)]));
    placement
}

pub fn prompt(shared: u64, own: u64) -> Prompt {
    let segment = |id, tokens| PromptSegment { id, tokens };
    Prompt {
        model: "m".to_owned(),
        segments: vec![segment(shared, 6_000), segment(own, 1_000)],
        tokens: 7_000,
        output_tokens: 50,
    }
}

pub fn request<'a>(prompt: &'a Prompt, excluded: &'a [InstanceId]) -> ServerRequest<'a> {
    ServerRequest {
        service: SERVICE,
        prompt: Some(prompt),
        sharing_key: 7,
        excluded,
        software: None,
        excludes_limited: false,
        rank: 1,
        may_be_refused: false,
        min_version: 0,
        objective: Duration::from_millis(800),
        time_left: Duration::from_millis(800),
        max_gap: None,
    }
}

pub fn choose(placement: &mut Placement, prompt: &Prompt, millis: u64) -> Choice {
    placement.choose(&request(prompt, &[]), at(millis), millis).expect("a server")
}

/// Sends a prompt and ends the request.
pub fn send(placement: &mut Placement, prompt: &Prompt, millis: u64) -> Choice {
    let choice = choose(placement, prompt, millis);
    let ticket = placement.begin_request(&choice, true, at(millis));
    placement.end_request(ticket, Outcome::Answered, at(millis + 200));
    choice
}
