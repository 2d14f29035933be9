//! Claims of at-most-once requests: no key is granted to two attempts.

use std::collections::{BTreeMap, BTreeSet};

use juniper_control_state::{Answer, Command, ControlState, SettleAnswer};
use juniper_types::{BlockHash, ClaimAnswer, ClaimKey, ClaimOutcome, EngineId, TenantName};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const CASES: u64 = 3_000;
const COMMANDS: usize = 60;
const SEED: u64 = 0xc1a1;

fn claim(made_at: u64, fingerprint: u8, attempt: u64, now: u64) -> Command {
    Command::Claim {
        tenant: TenantName::new("acme").unwrap(),
        key: ClaimKey::new(made_at, "key").unwrap(),
        fingerprint: BlockHash([fingerprint; 16]),
        attempt,
        now,
    }
}

fn settle(made_at: u64, attempt: u64, body: usize) -> Command {
    let (content_type, body) = ("text/plain".to_owned(), vec![7; body]);
    Command::Settle {
        tenant: TenantName::new("acme").unwrap(),
        key: ClaimKey::new(made_at, "key").unwrap(),
        attempt,
        outcome: ClaimOutcome { status: 200, content_type, body, whole: true },
    }
}

#[test]
fn claims_are_granted_settled_and_expired() {
    let mut state = ControlState::default();
    let mut index = 0;
    let mut apply = |command| {
        index += 1;
        state.apply(index, command)
    };
    assert_eq!(apply(claim(100, 1, 11, 100)), Answer::Claim(ClaimAnswer::Granted));
    assert_eq!(apply(claim(100, 1, 11, 100)), Answer::Claim(ClaimAnswer::Granted), "resent");
    assert_eq!(apply(claim(100, 1, 12, 100)), Answer::Claim(ClaimAnswer::OutcomeUnknown));
    assert_eq!(apply(claim(100, 2, 13, 100)), Answer::Claim(ClaimAnswer::KeyReused));
    assert_eq!(apply(settle(100, 12, 3)), Answer::Settle(SettleAnswer::NotHeld));
    assert_eq!(apply(settle(100, 11, 3)), Answer::Settle(SettleAnswer::Recorded));
    let again = apply(claim(100, 1, 14, 100));
    assert!(matches!(again, Answer::Claim(ClaimAnswer::Settled(ref o)) if o.whole), "{again:?}");
    assert_eq!(apply(claim(9_999, 1, 15, 100)), Answer::Claim(ClaimAnswer::TooEarly));
    assert_eq!(apply(Command::AdvanceHorizon { to: 101 }), Answer::Horizon(101));
    assert_eq!(apply(Command::AdvanceHorizon { to: 50 }), Answer::Horizon(101));
    let expired = ClaimAnswer::Expired { horizon: 101 };
    assert_eq!(apply(claim(100, 1, 16, 100)), Answer::Claim(expired));
    // The answer is not `NotHeld`, because an earlier settlement may have been recorded.
    let expired = SettleAnswer::Expired { horizon: 101 };
    assert_eq!(apply(settle(100, 11, 3)), Answer::Settle(expired));
    assert_eq!(apply(settle(101, 11, 3)), Answer::Settle(SettleAnswer::NotHeld));
}

#[test]
fn a_large_outcome_is_truncated_and_marked() {
    let mut state = ControlState::default();
    state.apply(1, claim(100, 1, 11, 100));
    state.apply(2, settle(100, 11, 100_000));
    match state.apply(3, claim(100, 1, 12, 100)) {
        Answer::Claim(ClaimAnswer::Settled(outcome)) => {
            assert_eq!((outcome.body.len(), outcome.whole), (16 << 10, false));
        }
        other => panic!("unexpected {other:?}"),
    }
}

#[test]
fn fencing_tokens_increase() {
    let mut state = ControlState::default();
    let draw = |state: &mut ControlState, index, engine| {
        state.apply(index, Command::NextFence { engine: EngineId(engine) })
    };
    assert_eq!(draw(&mut state, 1, 4), Answer::Fence(1));
    let mut state = ControlState::from_snapshot(&state.to_snapshot()).unwrap();
    assert_eq!(draw(&mut state, 2, 5), Answer::Fence(2));
    assert_eq!(draw(&mut state, 3, 4), Answer::Fence(3));
    assert_eq!((state.fence(EngineId(4)), state.fence(EngineId(5))), (Some(3), Some(2)));
}

/// Random command with few keys and attempts and arbitrary clocks.
#[derive(Clone, Debug)]
struct ArbitraryCommand(Command);

impl Arbitrary for ArbitraryCommand {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let small = |gen_: &mut Gen, below: u8| u64::from(u8::arbitrary(gen_) % below);
        let (made_at, attempt) = (small(gen_, 4), small(gen_, 5));
        ArbitraryCommand(match u8::arbitrary(gen_) % 8 {
            0 => Command::AdvanceHorizon { to: small(gen_, 6) },
            1 | 2 => settle(made_at, attempt, 1),
            _ => claim(made_at, small(gen_, 2) as u8, attempt, small(gen_, 200)),
        })
    }
}

#[test]
fn no_key_is_granted_to_two_attempts_and_replicas_agree() {
    fn property(commands: Vec<ArbitraryCommand>) -> bool {
        let mut state = ControlState::default();
        let mut replica = ControlState::default();
        let mut granted: BTreeMap<u64, BTreeSet<u64>> = BTreeMap::new();
        for (position, ArbitraryCommand(command)) in commands.into_iter().enumerate() {
            let index = position as u64 + 1;
            if position % 7 == 3 {
                replica = ControlState::from_snapshot(&replica.to_snapshot()).unwrap();
            }
            let answer = state.apply(index, command.clone());
            assert_eq!(answer, replica.apply(index, command.clone()));
            if let (Command::Claim { key, attempt, .. }, Answer::Claim(ClaimAnswer::Granted)) =
                (command, answer)
            {
                granted.entry(key.made_at()).or_default().insert(attempt);
            }
        }
        assert_eq!(state, replica);
        granted.values().all(|attempts| attempts.len() == 1)
    }
    let random = Gen::from_size_and_seed(COMMANDS, SEED);
    let mut check = QuickCheck::new().rng(random).tests(CASES);
    check.quickcheck(property as fn(Vec<ArbitraryCommand>) -> bool);
}
