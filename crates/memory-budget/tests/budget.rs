//! Properties of the account: it is never exceeded, small bodies keep their part, and stalled bodies give
//! way to those that advance.

use std::time::Duration;

use juniper_memory_budget::{
    BodyId, BudgetLimits, Growth, MachineFault, MachineLimits, MemoryBudget, Shortage, Usage,
};
use juniper_types::Timestamp;
use quickcheck::quickcheck;

const LIMITS: BudgetLimits = BudgetLimits {
    total: 1_000_000,
    for_connections: 600_000,
    kept_for_connections: 200_000,
    for_large: 500_000,
    for_answers: 300_000,
    large_body: 50_000,
    connections: 10,
};

const HEAD_BYTES: usize = 1_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Adds a body that holds this many bytes since `now`.
fn add_body(budget: &mut MemoryBudget, bytes: usize, now: Timestamp) -> BodyId {
    let id = budget.begin_body(now);
    budget.advance(id, bytes, now);
    assert_eq!(budget.grow(id, bytes, now), Ok(Growth::Granted));
    id
}

#[test]
fn a_body_that_stalls_gives_way_to_one_that_advances() {
    let mut budget = MemoryBudget::new(LIMITS);
    let smaller = add_body(&mut budget, 100_000, at(0));
    let larger = add_body(&mut budget, 300_000, at(0));
    let recent = add_body(&mut budget, 60_000, at(1_900));
    let asking = budget.begin_body(at(2_000));
    let growth = budget.grow(asking, 200_000, at(2_000));
    assert_eq!(growth, Ok(Growth::Waits { evicted: vec![larger] }));
    assert_eq!(budget.grow(larger, 1, at(2_000)), Err(Shortage));
    // Nobody else is told while the first is giving its memory back.
    let growth = budget.grow(asking, 200_000, at(2_001));
    assert_eq!(growth, Ok(Growth::Waits { evicted: vec![] }));
    budget.remove_body(larger);
    assert_eq!(budget.grow(asking, 200_000, at(2_002)), Ok(Growth::Granted));
    for id in [smaller, recent, asking] {
        budget.remove_body(id);
    }
    assert_eq!(budget.usage(), Usage::default());
}

#[test]
fn a_body_that_trickles_gives_way_like_one_that_stalls() {
    let mut budget = MemoryBudget::new(LIMITS);
    let trickling = add_body(&mut budget, 400_000, at(0));
    for millis in (0..6_000).step_by(300) {
        budget.advance(trickling, 1, at(millis));
    }
    let asking = budget.begin_body(at(6_000));
    let growth = budget.grow(asking, 200_000, at(6_000));
    assert_eq!(growth, Ok(Growth::Waits { evicted: vec![trickling] }));
}

#[test]
fn the_latest_of_bodies_that_advance_gives_way() {
    let mut budget = MemoryBudget::new(LIMITS);
    let first = add_body(&mut budget, 240_000, at(0));
    let second = add_body(&mut budget, 240_000, at(100));
    let third = budget.begin_body(at(200));
    assert_eq!(budget.grow(third, 60_000, at(200)), Err(Shortage));
    let growth = budget.grow(first, 60_000, at(300));
    assert_eq!(growth, Ok(Growth::Waits { evicted: vec![second] }));
}

#[test]
fn whole_bodies_keep_their_memory() {
    let mut budget = MemoryBudget::new(LIMITS);
    let whole = add_body(&mut budget, 480_000, at(0));
    budget.complete_body(whole);
    let asking = budget.begin_body(at(5_000));
    assert_eq!(budget.grow(asking, 60_000, at(5_000)), Err(Shortage));
}

#[test]
fn small_bodies_and_connections_find_room_beside_large_ones() {
    let mut budget = MemoryBudget::new(LIMITS);
    let large = add_body(&mut budget, 500_000, at(0));
    budget.complete_body(large);
    let small = budget.begin_body(at(0));
    assert_eq!(budget.grow(small, 50_000, at(0)), Ok(Growth::Granted));
    assert!(budget.add_connection(HEAD_BYTES).is_some());
    assert!(budget.add_answer(50_000));
}

#[test]
fn answers_that_nobody_reads_leave_room_for_bodies() {
    let mut budget = MemoryBudget::new(LIMITS);
    assert!(budget.add_answer(LIMITS.for_answers));
    assert!(!budget.add_answer(1));
    add_body(&mut budget, 400_000, at(0));
}

#[test]
fn small_bodies_that_stall_give_way_to_a_small_one() {
    let mut budget = MemoryBudget::new(LIMITS);
    for _ in 0..16 {
        add_body(&mut budget, LIMITS.large_body, at(0));
    }
    let asking = budget.begin_body(at(2_000));
    let growth = budget.grow(asking, LIMITS.large_body, at(2_000));
    assert!(matches!(growth, Ok(Growth::Waits { evicted }) if evicted.len() == 1));
}

#[test]
fn connections_are_bounded_by_number_and_by_memory() {
    let mut budget = MemoryBudget::new(LIMITS);
    let granted = (0..20).filter(|_| budget.add_connection(HEAD_BYTES).is_some()).count();
    assert_eq!(granted, LIMITS.connections);
    let mut budget = MemoryBudget::new(LIMITS);
    let granted = (0..20).filter(|_| budget.add_connection(100_000).is_some()).count();
    assert_eq!(granted, 4);
}

#[test]
fn a_body_of_the_largest_size_fits_the_smallest_machine() {
    let smallest = MachineLimits { memory: Some(32_000_000), descriptors: Some(300) };
    assert_eq!(smallest.check(), Ok(()));
    let mut budget = MemoryBudget::new(BudgetLimits::of_machine(smallest));
    add_body(&mut budget, 4 << 20, at(0));
}

#[test]
fn machines_that_are_too_small_are_refused() {
    let memory = MachineLimits { memory: Some(31_999_999), descriptors: None };
    assert_eq!(memory.check(), Err(MachineFault::Memory { given: 31_999_999 }));
    let descriptors = MachineLimits { memory: None, descriptors: Some(299) };
    assert_eq!(descriptors.check(), Err(MachineFault::Descriptors { given: 299 }));
    assert_eq!(MachineLimits::default().check(), Ok(()));
}

/// Applies random operations; each is a kind and an amount.
fn run(operations: &[(u8, u32)]) -> bool {
    let mut budget = MemoryBudget::new(LIMITS);
    let (mut bodies, mut connections) = (Vec::new(), Vec::new());
    let (mut answers, mut millis) = (Vec::new(), 0);
    for (kind, amount) in operations {
        let bytes = *amount as usize % 120_000;
        let chosen = bodies.get(bytes % bodies.len().max(1)).copied();
        match (kind % 8, chosen) {
            (0, _) => bodies.push(budget.begin_body(at(millis))),
            (1..=3, Some(id)) => {
                budget.advance(id, bytes, at(millis));
                let before = budget.usage().total();
                let granted = budget.grow(id, bytes, at(millis)) == Ok(Growth::Granted);
                let grown = if granted { bytes } else { 0 };
                if budget.usage().total() != before + grown {
                    return false;
                }
            }
            (4, Some(id)) => {
                budget.remove_body(id);
                bodies.retain(|body| *body != id);
            }
            (5, _) => connections.extend(budget.add_connection(bytes)),
            (6, _) if bytes.is_multiple_of(2) => {
                answers.extend(budget.add_answer(bytes).then_some(bytes))
            }
            (6, _) => answers.drain(..).for_each(|bytes| budget.remove_answer(bytes)),
            (7, _) => {
                let closed = connections.pop();
                closed.into_iter().for_each(|charged| budget.remove_connection(charged));
            }
            _ => millis += u64::from(amount % 700),
        }
        let usage = budget.usage();
        let is_within = usage.total() <= LIMITS.total
            && usage.large_bytes <= LIMITS.for_large
            && usage.answer_bytes <= LIMITS.for_answers
            && usage.connections <= LIMITS.connections
            && usage.connection_bytes <= LIMITS.for_connections;
        if !is_within {
            return false;
        }
    }
    bodies.into_iter().for_each(|id| budget.remove_body(id));
    connections.into_iter().for_each(|charged| budget.remove_connection(charged));
    answers.into_iter().for_each(|bytes| budget.remove_answer(bytes));
    budget.usage() == Usage::default()
}

quickcheck! {
    /// The account is never exceeded, and empty once everything was given back.
    fn the_account_is_never_exceeded(operations: Vec<(u8, u32)>) -> bool {
        run(&operations)
    }

    /// Whatever large bodies do, a small one is granted: others give way, or there is room.
    fn large_bodies_never_shut_out_a_small_one(sizes: Vec<u32>) -> bool {
        let mut budget = MemoryBudget::new(LIMITS);
        for size in &sizes {
            let id = budget.begin_body(at(0));
            let bytes = LIMITS.large_body + 1 + *size as usize % 500_000;
            if budget.grow(id, bytes, at(0)) == Ok(Growth::Granted) {
                budget.complete_body(id);
            }
        }
        let small = budget.begin_body(at(0));
        budget.grow(small, LIMITS.large_body, at(0)) == Ok(Growth::Granted)
    }

    /// Time alone takes nothing off the account.
    fn a_stalled_body_keeps_its_memory_while_nobody_needs_it(seconds: u8) -> bool {
        let mut budget = MemoryBudget::new(LIMITS);
        let id = add_body(&mut budget, 400_000, at(0));
        let later = at(0).after(Duration::from_secs(seconds.into()));
        budget.grow(id, 1, later) == Ok(Growth::Granted)
    }
}
