//! Checks of the load generator: detection of each kind of violation.

use std::collections::BTreeMap;

use juniper_emulators::application::Execution;
use juniper_emulators::content::GeneratedText;
use juniper_emulators::http::chat::{
    Chunk, ChunkChoice, ChunkPlace, Delta, PromptTokensDetails, Usage,
};
use juniper_lab::load::client::AttemptError;
use juniper_lab::load::executions::{Belief, CallRecord, compare};
use juniper_lab::load::outcome::ViolationKind;
use juniper_lab::load::stream::{AnswerCheck, ErrorDetail, Expected, StreamEvent, StreamReader};
use juniper_types::WeightsVersion;
use quickcheck::{Gen, QuickCheck};

const OUTPUT_TOKENS: u32 = 6;

fn text(weights: u32) -> GeneratedText {
    GeneratedText::new(b"a prompt", 0, WeightsVersion(weights))
}

fn check() -> AnswerCheck {
    AnswerCheck::new(Expected {
        id: "1".into(),
        texts: vec![text(1), text(2)],
        prompt_tokens: 2,
        output_tokens: OUTPUT_TOKENS,
    })
}

fn chunk(weights: u32, from: u32, to: u32) -> Chunk {
    let last = from == to;
    let usage = Usage {
        prompt_tokens: 2,
        completion_tokens: OUTPUT_TOKENS,
        prompt_tokens_details: PromptTokensDetails { cached_tokens: 0 },
    };
    Chunk {
        id: "1".into(),
        object: "chat.completion.chunk".into(),
        model: "base".into(),
        choices: vec![ChunkChoice {
            index: 0,
            delta: Delta { content: Some(text(weights).range(from, to)) },
            finish_reason: last.then(|| "length".into()),
        }],
        juniper: ChunkPlace { index: from, count: to - from },
        usage: last.then_some(usage),
    }
}

/// Returns the kind of the first violation in a stream of the given chunks.
fn first_violation(chunks: &[Chunk]) -> Option<ViolationKind> {
    let mut check = check();
    let pushed = chunks.iter().try_for_each(|chunk| check.push(chunk));
    pushed.and_then(|()| check.done()).err().map(|violation| violation.kind)
}

/// Property tests with a fixed seed.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 20_261))
}

#[test]
fn complete_answer_passes_and_each_damage_has_its_violation_kind() {
    let whole = [chunk(1, 0, 1), chunk(1, 1, 4), chunk(1, 4, 6), chunk(1, 6, 6)];
    assert_eq!(first_violation(&whole), None);
    let cases = [
        (vec![0, 2, 3], ViolationKind::Gap),
        (vec![0, 1, 1, 2, 3], ViolationKind::Doubled),
        (vec![0, 1], ViolationKind::Truncated),
        (vec![0, 1, 2], ViolationKind::Truncated),
        (vec![0, 1, 2, 3, 3], ViolationKind::Overlong),
    ];
    for (places, kind) in cases {
        let chunks: Vec<Chunk> = places.iter().map(|place| whole[*place].clone()).collect();
        assert_eq!(first_violation(&chunks), Some(kind), "{places:?}");
    }
    let mut foreign = chunk(1, 0, 1);
    foreign.id = "2".into();
    assert_eq!(first_violation(&[foreign]), Some(ViolationKind::WrongId));
    let mut usage = chunk(1, 6, 6);
    usage.usage = None;
    let chunks = [chunk(1, 0, 6), usage];
    assert_eq!(first_violation(&chunks), Some(ViolationKind::WrongUsage));
}

#[test]
fn answer_with_mixed_weights_versions_is_a_violation() {
    assert_eq!(first_violation(&[chunk(2, 0, 6), chunk(2, 6, 6)]), None);
    let mixed = [chunk(1, 0, 3), chunk(2, 3, 6), chunk(2, 6, 6)];
    assert_eq!(first_violation(&mixed), Some(ViolationKind::WrongContent));
}

#[test]
fn resumed_answer_may_have_another_id() {
    let mut check = check();
    check.push(&chunk(1, 0, 3)).unwrap();
    check.resume("2".into());
    let mut rest = [chunk(1, 3, 6), chunk(1, 6, 6)];
    rest.iter_mut().for_each(|chunk| chunk.id = "2".into());
    rest.iter().for_each(|chunk| check.push(chunk).unwrap());
    check.done().unwrap();
}

fn call(key: &str, belief: Belief) -> CallRecord {
    CallRecord { execution: Execution { tenant: "acme".into(), key: key.into() }, belief }
}

#[test]
fn execution_records_reveal_false_answers() {
    let calls = [
        call("refused", Belief::NotRun),
        call("refused-but-ran", Belief::NotRun),
        call("done", Belief::Run),
        call("done-but-not-run", Belief::Run),
        call("open-and-ran", Belief::Open),
        call("open", Belief::Open),
        call("twice", Belief::Run),
    ];
    let ran: BTreeMap<Execution, u64> =
        [("refused-but-ran", 1), ("done", 1), ("open-and-ran", 1), ("twice", 2)]
            .into_iter()
            .map(|(key, count)| (call(key, Belief::Run).execution, count))
            .collect();
    let kinds: Vec<ViolationKind> = compare(&calls, &ran).into_iter().map(|v| v.kind).collect();
    let wanted = [
        ViolationKind::RanTwice,
        ViolationKind::FalseRefusal,
        ViolationKind::AnsweredWithoutRunning,
    ];
    assert_eq!(kinds, wanted);
}

#[test]
fn belief_stays_open_after_an_attempt_with_unknown_outcome() {
    let refused =
        |not_run| AttemptError::Refused(ErrorDetail { not_run, ..ErrorDetail::default() });
    let after = |errors: &[AttemptError]| {
        errors.iter().fold(Belief::NotRun, |belief, error| belief.after(error))
    };
    assert_eq!(after(&[AttemptError::NotReached, refused(true)]), Belief::NotRun);
    assert_eq!(after(&[AttemptError::Broken, refused(true)]), Belief::Open);
    assert_eq!(after(&[refused(false)]), Belief::Open);
    assert_eq!(after(&[AttemptError::Stalled, AttemptError::NotReached]), Belief::Open);
}

#[test]
fn stream_parsing_is_independent_of_chunk_boundaries() {
    fn property(cuts: Vec<u8>) -> bool {
        let mut stream = String::new();
        for place in 0..OUTPUT_TOKENS {
            let json = serde_json::to_string(&chunk(1, place, place + 1)).expect("plain data");
            stream.push_str(&format!("data: {json}\n\n"));
        }
        stream.push_str("event: error\ndata: {\"error\":{\"code\":\"x\"}}\n\ndata: [DONE]\n\n");
        let mut reader = StreamReader::default();
        let mut events = Vec::new();
        let mut rest = stream.as_bytes();
        for cut in cuts {
            let (piece, after) = rest.split_at(usize::from(cut).min(rest.len()));
            events.extend(reader.push(piece).expect("a sound stream"));
            rest = after;
        }
        events.extend(reader.push(rest).expect("a sound stream"));
        let chunks = events.iter().filter(|event| matches!(event, StreamEvent::Chunk(_))).count();
        chunks == OUTPUT_TOKENS as usize
            && matches!(&events[chunks], StreamEvent::Error(detail) if detail.code == "x")
    }
    seeded().tests(200).quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn damaged_streams_never_panic_and_stay_bounded() {
    fn property(pieces: Vec<Vec<u8>>) -> bool {
        let mut reader = StreamReader::default();
        for piece in pieces {
            let _ = reader.push(b"data: ");
            let _ = reader.push(&piece);
            let _ = reader.push(b"\n");
        }
        let endless = vec![b'x'; 1 << 20];
        reader.push(&endless).and_then(|_| reader.push(&endless)).is_err()
    }
    seeded().tests(100).quickcheck(property as fn(Vec<Vec<u8>>) -> bool);
}
