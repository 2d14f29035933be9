//! Decisions on single prompts, with incomplete knowledge and after restarts.

use std::time::Duration;

use juniper_admission::{
    Overload, PromptAdmission, PromptDemand, Resource, ServerUsage, ServiceScarcity, SizeClass,
};
use juniper_types::Timestamp;

const OBJECTIVE: Duration = Duration::from_millis(400);

fn prompt(tokens: u32, tenant: u64) -> PromptDemand {
    let max_gap = Some(Duration::from_millis(300));
    PromptDemand { rank: 1, tenant, tokens, work_tokens: tokens, objective: OBJECTIVE, max_gap }
}

/// A service of which `scarce` of eight servers are used like `usage`.
fn service(usage: ServerUsage, scarce: usize) -> ServiceScarcity {
    let mut servers = [ServerUsage::default(); 8];
    servers[..scarce].fill(usage);
    ServiceScarcity::of(&servers)
}

fn waiting(wait_ms: f64) -> ServerUsage {
    ServerUsage { wait_ms, ..ServerUsage::default() }
}

/// An admission that has seen 100 prompts of 1,000 to 1,990 tokens without scarcity.
fn known() -> PromptAdmission {
    let mut admission = PromptAdmission::default();
    for number in 0..100 {
        let idle = ServiceScarcity::default();
        let result = admission.decide(&prompt(1_000 + number * 10, 1), &idle, Timestamp::ZERO);
        assert_eq!(result, Ok(()));
    }
    admission
}

/// Number of 100 equal prompts that are admitted.
fn admitted(admission: &mut PromptAdmission, prompt: &PromptDemand, at: &ServiceScarcity) -> usize {
    (0..100).filter(|_| admission.decide(prompt, at, Timestamp::ZERO).is_ok()).count()
}

/// The earlier rules refused long prompts because of their own prefill.
#[test]
fn no_prompt_is_refused_for_its_own_length_or_for_one_busy_server() {
    let mut admission = known();
    let longest = prompt(39_600, 1);
    assert_eq!(admitted(&mut admission, &longest, &service(waiting(79.0), 8)), 100);
    assert_eq!(admitted(&mut admission, &longest, &service(waiting(1_000.0), 5)), 100);
    let admitted = admitted(&mut admission, &longest, &service(waiting(1_000.0), 6));
    assert!(admitted <= 12, "{admitted}");
}

#[test]
fn each_resource_can_be_scarce() {
    let none = ServerUsage::default();
    let cases = [
        (waiting(300.0), Resource::Prefill, 80.0, 0.1),
        (ServerUsage { slot_share: 1.2, ..none }, Resource::Slots, 0.85, 0.0),
        (ServerUsage { memory_share: 1.1, ..none }, Resource::Memory, 0.8, 0.0),
        (ServerUsage { gap_ms: 700.0, ..none }, Resource::Gaps, 300.0, 0.1),
    ];
    for (usage, resource, limit, share) in cases {
        let result = known().decide(&prompt(1_990, 1), &service(usage, 8), Timestamp::ZERO);
        let overload: Overload = result.expect_err("scarce");
        assert_eq!(overload.resource, resource);
        assert!((overload.share - share).abs() < 0.01, "{overload}: {}", overload.share);
        assert!((overload.limit - limit).abs() < 1e-9, "{overload}");
        assert_eq!(overload.size_class, SizeClass::Largest);
    }
}

#[test]
fn size_classes_follow_the_sizes_of_their_kind() {
    let class_of = |tokens| {
        let all_waiting = service(waiting(1_000.0), 8);
        known()
            .decide(&prompt(tokens, 1), &all_waiting, Timestamp::ZERO)
            .map_err(|overload| overload.size_class)
    };
    assert_eq!(class_of(1_950), Err(SizeClass::Largest));
    assert_eq!(class_of(1_800), Err(SizeClass::Large));
    assert_eq!(class_of(1_500), Err(SizeClass::Rest));
}

/// Failure: reports of other routers are missing, so that only this router's requests are counted.
#[test]
fn missing_reports_admit_more() {
    let (complete, partial) = (service(waiting(200.0), 8), service(waiting(100.0), 8));
    let with_all = admitted(&mut known(), &prompt(1_500, 1), &complete);
    let with_own = admitted(&mut known(), &prompt(1_500, 1), &partial);
    assert!(with_own > with_all + 30, "{with_own} with own requests, {with_all} with all");
    assert_eq!(admitted(&mut known(), &prompt(1_500, 1), &ServiceScarcity::of(&[])), 100);
}

/// Failure: a restarted router knows no shares.
#[test]
fn restarted_router_admits_until_shares_are_known() {
    let mut admission = PromptAdmission::default();
    let all_waiting = service(waiting(1_000.0), 8);
    let mut send = |count| {
        let sent =
            (0..count).map(|_| admission.decide(&prompt(1_500, 1), &all_waiting, Timestamp::ZERO));
        sent.filter(Result::is_ok).count()
    };
    assert_eq!(send(PromptAdmission::MIN_PROMPTS), PromptAdmission::MIN_PROMPTS);
    assert!(send(100) <= 12);
}

/// Shares are of work: a tenant with few large prompts gets no more than one with many small ones.
#[test]
fn shares_are_of_tokens_and_unused_ones_are_for_others() {
    let mut admission = known();
    let scarce = service(waiting(160.0), 8);
    let (mut light, mut heavy) = (0, 0);
    for number in 0..3_000_u64 {
        let now = Timestamp::from_millis(number * 10);
        heavy += u32::from(admission.decide(&prompt(8_000, 2), &scarce, now).is_ok());
        let is_light = number % 10 == 0;
        light += u32::from(is_light && admission.decide(&prompt(8_000, 3), &scarce, now).is_ok());
    }
    // Half of the work is admitted: all of the light tenant's tenth, and the rest of the heavy one.
    assert!(light >= 295, "{light} of 300");
    assert!((1_250..1_450).contains(&heavy), "{heavy} of 3,000");
}
