//! Tests of traces: deterministic generation, round trips through files and
//! typed errors for damaged files.

use std::collections::HashSet;

use juniper_emulators::trace::{
    Profile, PromptTexts, Trace, TraceError, TraceLineError, TraceOptions, TraceRequest, generate,
    read_trace, write_trace,
};
use juniper_types::{CacheScope, ModelName, TenantName, WeightsVersion};
use quickcheck::{Gen, QuickCheck};

fn options(profile: Profile, seed: u64) -> TraceOptions {
    TraceOptions { profile, seed, load: 0.6, duration_ms: 20_000 }
}

fn serialize(trace: &Trace) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_trace(trace, &mut bytes).expect("writing to memory");
    bytes
}

fn scope(tenant: &TenantName) -> CacheScope {
    let model = ModelName::new("base").expect("a name");
    CacheScope { tenant: tenant.clone(), model, adapter: None, weights: WeightsVersion(1) }
}

/// QuickCheck runner with a fixed seed.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 20_261))
}

#[test]
fn traces_depend_only_on_options_and_seed() {
    for profile in [Profile::GraniteLedger, Profile::Pryderi] {
        let first = serialize(&generate(options(profile, 7)).expect("names"));
        assert_eq!(first, serialize(&generate(options(profile, 7)).expect("names")));
        assert_ne!(first, serialize(&generate(options(profile, 8)).expect("names")));
        assert_eq!(first, serialize(&read_trace(first.as_slice()).expect("a valid trace")));
    }
}

#[test]
fn prompts_share_prefixes_and_match_segment_lengths() {
    let trace = generate(options(Profile::GraniteLedger, 1)).expect("names");
    let mut texts = PromptTexts::new(trace.header.seed);
    let mut seen = HashSet::new();
    let (mut blocks, mut repeated, mut chats) = (0, 0, 0);
    for record in &trace.records {
        let TraceRequest::Chat { prompt, .. } = &record.request else { continue };
        let text = texts.text(prompt);
        assert_eq!(text.len(), record.request.prompt_tokens() as usize * 4);
        let messages = texts.messages(prompt);
        let joined: String =
            messages.iter().map(|m| format!("{}\n{}\n", m.role, m.content)).collect();
        assert_eq!(joined.as_bytes(), text);
        chats += 1;
        for hash in texts.blocks(&scope(&record.tenant), prompt).hashes {
            blocks += 1;
            repeated += u32::from(!seen.insert(hash));
        }
    }
    assert!(chats > 100, "only {chats} chats");
    assert!(repeated * 2 > blocks, "only {repeated} of {blocks} blocks repeat");
    assert!(repeated < blocks * 95 / 100, "{repeated} of {blocks} blocks repeat");
}

#[test]
fn every_kind_and_tenant_occurs() {
    for profile in [Profile::GraniteLedger, Profile::Pryderi] {
        let trace = generate(options(profile, 3)).expect("names");
        let kinds: HashSet<_> =
            trace.records.iter().map(|r| std::mem::discriminant(&r.request)).collect();
        assert_eq!(kinds.len(), 3, "{profile:?}");
        let tenants: HashSet<_> = trace.records.iter().map(|r| &r.tenant).collect();
        assert_eq!(tenants.len(), 8, "{profile:?}");
    }
}

fn line_error_of(text: &str) -> TraceLineError {
    match read_trace(text.as_bytes()) {
        Err(TraceError::Line { error, .. }) => error,
        other => panic!("expected an invalid line, not {other:?}"),
    }
}

#[test]
fn invalid_files_are_rejected_with_their_error() {
    let valid =
        String::from_utf8(serialize(&generate(options(Profile::Pryderi, 2)).expect("names")))
            .expect("text");
    assert!(matches!(line_error_of(""), TraceLineError::Empty));
    let cases = [
        ("\"version\":1", "\"version\":2"),
        ("juniper-trace", "another"),
        ("\"records\":", "\"records\":1"),
        ("\"load\":0.6", "\"load\":-1.0"),
    ];
    for (from, to) in cases {
        let text = valid.replacen(from, to, 1);
        assert_ne!(text, valid, "{from} does not occur");
        let error = line_error_of(&text);
        let expected = match from {
            "\"version\":1" => matches!(error, TraceLineError::Version(2)),
            "juniper-trace" => matches!(error, TraceLineError::Format(_)),
            "\"records\":" => matches!(error, TraceLineError::Count { .. }),
            _ => matches!(error, TraceLineError::Load(_)),
        };
        assert!(expected, "{from}: {error:?}");
    }
    let cut = &valid[..valid.len() / 2];
    assert!(matches!(line_error_of(cut), TraceLineError::Json(_) | TraceLineError::Count { .. }));
    let long = format!("{}{}", valid, "x".repeat(1 << 20));
    assert!(matches!(
        line_error_of(&long),
        TraceLineError::LineTooLong | TraceLineError::Count { .. }
    ));
}

#[test]
fn damaged_bytes_never_panic() {
    fn property(position: usize, byte: u8, cut: usize) -> bool {
        let trace =
            generate(TraceOptions { duration_ms: 1_000, ..options(Profile::Pryderi, cut as u64) });
        let mut bytes = serialize(&trace.expect("names"));
        bytes.truncate(bytes.len() - 1 - cut % 200);
        let position = position % bytes.len();
        bytes[position] = byte;
        // The last line is truncated, so the file is invalid whatever byte is changed.
        read_trace(bytes.as_slice()).is_err()
    }
    seeded().tests(200).quickcheck(property as fn(usize, u8, usize) -> bool);
}
