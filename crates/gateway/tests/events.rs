//! Splitting of streams into complete events, regardless of how the bytes arrive.

use juniper_gateway::EventSplitter;
use quickcheck::quickcheck;

const STREAM: &[u8] = b"first: line\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 7\ndata: c\n\n";

#[test]
fn events_keep_their_bytes_and_ids() {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(STREAM).expect("short events");
    let ids: Vec<_> = events.iter().map(|event| event.id).collect();
    assert_eq!(ids, [Some(1), Some(2), Some(7)]);
    let bytes: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
    assert_eq!(bytes, STREAM);
    assert!(splitter.is_between_events());
}

#[test]
fn a_partial_event_is_not_returned() {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").expect("short events");
    assert_eq!(events.len(), 1);
    assert!(!splitter.is_between_events());
}

#[test]
fn an_event_beyond_the_maximum_size_is_refused() {
    let mut splitter = EventSplitter::default();
    let mut refused = false;
    for _ in 0..40 {
        refused |= splitter.push(&[b'x'; 64 << 10]).is_err();
    }
    assert!(refused);
}

quickcheck! {
    /// The same events result wherever the bytes are split.
    fn splits_of_the_bytes_make_no_difference(splits: Vec<u8>) -> bool {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        let mut rest = STREAM;
        for split in splits {
            let (chunk, remaining) = rest.split_at(usize::from(split % 9).min(rest.len()));
            events.extend(splitter.push(chunk).expect("short events"));
            rest = remaining;
        }
        events.extend(splitter.push(rest).expect("short events"));
        events.len() == 3 && splitter.is_between_events()
    }
}
