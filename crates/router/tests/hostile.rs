//! Bytes from outside: chat bodies of callers, streams of engines, a damaged settings file.

use juniper_router::chat::ChatRequest;
use juniper_router::settings_file::SettingsFile;
use juniper_router::sse::{Event, EventReader, MAX_LINE_BYTES};
use juniper_settings::SettingsTree;
use juniper_types::{ModelName, Revision};
use quickcheck::{Gen, QuickCheck, Testable};

const CASES: u64 = 2_000;
const SIZE: usize = 100;
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
    let generator = Gen::from_size_and_seed(SIZE, SEED);
    QuickCheck::new().rng(generator).tests(CASES).quickcheck(property);
}

fn damaged(text: &str, changes: &[(u16, u8)], cut: u16) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for (place, byte) in changes {
        let place = usize::from(*place) % bytes.len();
        // Half of the changes keep the text JSON-like.
        bytes[place] = if byte % 2 == 0 { *byte } else { b"{}[]\",:0"[usize::from(byte / 2) % 8] };
    }
    bytes.truncate(bytes.len() - usize::from(cut) % bytes.len());
    bytes
}

fn parse(body: &[u8]) -> Option<ChatRequest> {
    let model = ModelName::new("base").expect("a name");
    ChatRequest::parse(body, &model, MAX_OUTPUT_TOKENS).ok()
}

/// What was accepted is bounded by what came and by the settings.
fn is_bounded(chat: &ChatRequest, body: &[u8]) -> bool {
    let passed_on: Result<serde_json::Value, _> = serde_json::from_slice(&chat.engine_body);
    chat.prompt.len() <= body.len()
        && chat.max_tokens <= MAX_OUTPUT_TOKENS
        && passed_on.is_ok_and(|body| body["max_tokens"] == chat.max_tokens)
}

#[test]
fn damaged_chat_bodies_are_refused_or_stay_bounded() {
    assert!(parse(CHAT.as_bytes()).is_some());
    fn property(changes: Vec<(u16, u8)>, cut: u16) -> bool {
        let body = damaged(CHAT, &changes, cut);
        parse(&body).is_none_or(|chat| is_bounded(&chat, &body))
    }
    check(property as fn(Vec<(u16, u8)>, u16) -> bool);
}

#[test]
fn random_chat_bodies_never_panic() {
    fn property(bytes: Vec<u8>, text: String) -> bool {
        let deep = format!("{}{text}", "[{\"messages\":".repeat(bytes.len() * 40));
        parse(&bytes).is_none() && parse(deep.as_bytes()).is_none()
    }
    check(property as fn(Vec<u8>, String) -> bool);
}

fn read_in_pieces(stream: &[u8], cuts: &[u8]) -> Option<Vec<Event>> {
    let mut reader = EventReader::default();
    let mut events = Vec::new();
    let mut rest = stream;
    for cut in cuts {
        let (piece, after) = rest.split_at(usize::from(*cut).min(rest.len()));
        events.extend(reader.push(piece).ok()?);
        rest = after;
    }
    events.extend(reader.push(rest).ok()?);
    Some(events)
}

#[test]
fn a_stream_reads_the_same_however_it_is_cut() {
    fn property(cuts: Vec<u8>) -> bool {
        let whole = read_in_pieces(STREAM.as_bytes(), &[]);
        whole.as_ref().is_some_and(|events| events.len() == 3)
            && read_in_pieces(STREAM.as_bytes(), &cuts) == whole
    }
    check(property as fn(Vec<u8>) -> bool);
}

#[test]
fn damaged_streams_never_panic_and_read_the_same_however_cut() {
    fn property(changes: Vec<(u16, u8)>, cut: u16, cuts: Vec<u8>) -> bool {
        let stream = damaged(STREAM, &changes, cut);
        // A fault may be noticed sooner or later, but it is a fault either way.
        read_in_pieces(&stream, &cuts) == read_in_pieces(&stream, &[])
    }
    check(property as fn(Vec<(u16, u8)>, u16, Vec<u8>) -> bool);
}

#[test]
fn an_endless_line_is_given_up() {
    let mut reader = EventReader::default();
    let piece = vec![b'x'; 64 << 10];
    let taken = (0..).take_while(|_| reader.push(&piece).is_ok()).count();
    assert!(taken * piece.len() <= MAX_LINE_BYTES, "{taken} pieces were held");
}

#[test]
fn a_damaged_settings_file_is_never_taken_for_another_revision() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = SettingsFile::open(folder.path()).expect("a folder");
    file.write(Revision(41), &SettingsTree::default()).expect("written");
    let kept = Some((Revision(41), SettingsTree::default()));
    assert_eq!(file.read().expect("readable"), kept);
    let path = std::fs::read_dir(folder.path())
        .expect("a folder")
        .next()
        .expect("a file")
        .expect("a file")
        .path();
    let sound = std::fs::read(&path).expect("readable");
    for place in 0..sound.len() {
        let mut bytes = sound.clone();
        bytes[place] ^= 1;
        std::fs::write(&path, &bytes).expect("written");
        assert!(file.read().is_err(), "byte {place} was changed in silence");
        std::fs::write(&path, &sound[..place]).expect("written");
        assert!(file.read().is_err(), "the file was cut at {place} in silence");
    }
}
