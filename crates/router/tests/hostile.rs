//! Tests of parsers with malformed input: chat bodies, engine streams and the settings file.

use juniper_router::chat::ChatRequest;
use juniper_router::settings_file::SettingsFile;
use juniper_router::sse::{Event, EventReader, MAX_LINE_BYTES};
use juniper_settings::SettingsTree;
use juniper_types::{ModelName, Revision};
use quickcheck::{Gen, QuickCheck, Testable};

const CASES_PER_PROPERTY: u64 = 2_000;
const MAX_GENERATED_SIZE: usize = 100;
const SEED: u64 = 0x2007;
const MAX_OUTPUT_TOKENS: u32 = 100;

const CHAT: &str = r#"{"model":"base","messages":[
    {"role":"system","content":"You tag postings."},
    {"role":"user","content":[{"type":"text","text":"A clerk, "},{"type":"text","text":"part time"}]}],
    "max_tokens":40,"temperature":0.5,"seed":18446744073709551615}"#;

const STREAM: &str = "data: {\"id\":\"1\",\"choices\":[{\"delta\":{\"content\":\"abc \"},\
    \"finish_reason\":null}],\"juniper\":{\"index\":0}}\r\n\r\n: a comment\n\
    data: {\"id\":\"1\",\"choices\":[{\"delta\":{},\"finish_reason\":\"length\"}],\
    \"usage\":{\"prompt_tokens\":3},\"juniper\":{\"index\":1}}\n\ndata: [DONE]\n\n";

fn check<P: Testable>(property: P) {
    let generator = Gen::from_size_and_seed(MAX_GENERATED_SIZE, SEED);
    QuickCheck::new().rng(generator).tests(CASES_PER_PROPERTY).quickcheck(property);
}

/// Returns `text` with bytes changed at the given offsets and up to `removed` bytes cut off its end;
/// offsets and `removed` are taken modulo the length.
fn damaged(text: &str, changes: &[(u16, u8)], removed: u16) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for (offset, byte) in changes {
        let offset = usize::from(*offset) % bytes.len();
        // Half of the changes insert JSON syntax.
        bytes[offset] = if byte % 2 == 0 { *byte } else { b"{}[]\",:0"[usize::from(byte / 2) % 8] };
    }
    bytes.truncate(bytes.len() - usize::from(removed) % bytes.len());
    bytes
}

fn parse(body: &[u8]) -> Option<ChatRequest> {
    let model = ModelName::new("base").expect("a name");
    ChatRequest::parse(body, &model, MAX_OUTPUT_TOKENS).ok()
}

/// Whether an accepted request is bounded by its body and by the settings.
fn is_bounded(chat: &ChatRequest, body: &[u8]) -> bool {
    let forwarded: Result<serde_json::Value, _> = serde_json::from_slice(&chat.engine_body);
    chat.prompt.len() <= body.len()
        && chat.max_tokens <= MAX_OUTPUT_TOKENS
        && forwarded.is_ok_and(|body| body["max_tokens"] == chat.max_tokens)
}

#[test]
fn damaged_chat_bodies_are_rejected_or_bounded() {
    assert!(parse(CHAT.as_bytes()).is_some());
    fn property(changes: Vec<(u16, u8)>, removed: u16) -> bool {
        let body = damaged(CHAT, &changes, removed);
        parse(&body).is_none_or(|chat| is_bounded(&chat, &body))
    }
    check(property as fn(Vec<(u16, u8)>, u16) -> bool);
}

#[test]
fn random_chat_bodies_are_rejected() {
    fn property(bytes: Vec<u8>, text: String) -> bool {
        let nested = format!("{}{text}", "[{\"messages\":".repeat(bytes.len() * 40));
        parse(&bytes).is_none() && parse(nested.as_bytes()).is_none()
    }
    check(property as fn(Vec<u8>, String) -> bool);
}

/// Parses `stream` in pieces of the given lengths. Returns `None` on an error.
fn parse_in_pieces(stream: &[u8], lengths: &[u8]) -> Option<Vec<Event>> {
    let mut reader = EventReader::default();
    let mut events = Vec::new();
    let mut rest = stream;
    for length in lengths {
        let (piece, after) = rest.split_at(usize::from(*length).min(rest.len()));
        events.extend(reader.push(piece).ok()?);
        rest = after;
    }
    events.extend(reader.push(rest).ok()?);
    Some(events)
}

#[test]
fn stream_events_dont_depend_on_how_bytes_are_split() {
    fn property(lengths: Vec<u8>) -> bool {
        let whole = parse_in_pieces(STREAM.as_bytes(), &[]);
        whole.as_ref().is_some_and(|events| events.len() == 3)
            && parse_in_pieces(STREAM.as_bytes(), &lengths) == whole
    }
    check(property as fn(Vec<u8>) -> bool);
}

#[test]
fn results_of_damaged_streams_dont_depend_on_how_bytes_are_split() {
    fn property(changes: Vec<(u16, u8)>, removed: u16, lengths: Vec<u8>) -> bool {
        let stream = damaged(STREAM, &changes, removed);
        // Both are `None` after an error, wherever it was detected.
        parse_in_pieces(&stream, &lengths) == parse_in_pieces(&stream, &[])
    }
    check(property as fn(Vec<(u16, u8)>, u16, Vec<u8>) -> bool);
}

#[test]
fn a_line_without_end_is_rejected_at_the_length_limit() {
    let mut reader = EventReader::default();
    let piece = vec![b'x'; 64 << 10];
    let accepted = (0..).take_while(|_| reader.push(&piece).is_ok()).count();
    assert!(accepted * piece.len() <= MAX_LINE_BYTES, "{accepted} pieces were buffered");
}

#[test]
fn every_damage_of_the_settings_file_is_detected() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = SettingsFile::open(folder.path()).expect("a folder");
    file.write(Revision(41), &SettingsTree::default()).expect("written");
    let expected = Some((Revision(41), SettingsTree::default()));
    assert_eq!(file.read().expect("readable"), expected);
    let path = std::fs::read_dir(folder.path())
        .expect("a folder")
        .next()
        .expect("a file")
        .expect("a file")
        .path();
    let intact = std::fs::read(&path).expect("readable");
    for offset in 0..intact.len() {
        let mut bytes = intact.clone();
        bytes[offset] ^= 1;
        std::fs::write(&path, &bytes).expect("written");
        assert!(file.read().is_err(), "a changed byte at offset {offset} was not detected");
        std::fs::write(&path, &intact[..offset]).expect("written");
        assert!(file.read().is_err(), "truncation to {offset} bytes was not detected");
    }
}
