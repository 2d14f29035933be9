//! Size limits of frequent messages, on which docs/CAPACITY.md relies.

use juniper_protocol::message::{
    Crash, CrashUpdate, DispatchReport, RelayedUpdate, RouterUpdate, ServerNoticeUpdate, encode,
};
use juniper_protocol::{Message, Reply, Request};
use juniper_registry::{InstanceName, SoftwareVersion, StartTime};
use juniper_stream_origins::{StreamOrigin, StreamRecord};
use juniper_types::{NodeId, RequestFingerprint, StreamKey, ZoneName};

/// Length of a frame header, in bytes.
const FRAME_HEADER_BYTES: usize = 5;

fn wire_bytes(message: &Message) -> usize {
    encode(message).len() + FRAME_HEADER_BYTES
}

#[test]
fn confirmation_size() {
    let request = Message::Request { call: 100_000, request: Request::Confirm };
    let reply = Reply::Confirmed { age_ms: 300, revision: 1_000_000, routers: 340, weights: None };
    let both_ways = wire_bytes(&request) + wire_bytes(&Message::Reply { call: 100_000, reply });
    println!("confirmation: {both_ways} bytes both ways");
    assert!(both_ways <= 50, "{both_ways}");
}

#[test]
fn dispatch_report_size() {
    let report = |number: u64| DispatchReport {
        instance: InstanceName::new("i-0123456789"),
        version: 12,
        prefix_hashes: vec![u64::MAX - number; 2],
        uncached_tokens: 20_000,
        prefill_tokens: 3_000,
        segment_tokens: vec![9_000; 2],
        unshared_tokens: 2_000,
        request_number: u16::MAX,
        model: None,
    };
    let with_reports = |dispatches| {
        wire_bytes(&Message::RouterUpdate(RouterUpdate { dispatches, ..RouterUpdate::default() }))
    };
    let one = with_reports(vec![report(0)]);
    let more = with_reports((0..11).map(report).collect());
    let each = (more - one) / 10;
    println!("dispatch report with two prefixes: {each} bytes, message with one: {one}");
    let with_ended = |ended_requests| {
        wire_bytes(&Message::RouterUpdate(RouterUpdate {
            ended_requests,
            ..RouterUpdate::default()
        }))
    };
    let end = (with_ended(vec![u16::MAX; 11]) - with_ended(vec![u16::MAX])) / 10;
    println!("end of a request: {end} bytes");
    // Every request costs one report of its dispatch and one of its end.
    assert!(each + end <= 56, "{each} {end}");
}

#[test]
fn relay_overhead_per_router() {
    let zone = ZoneName::new("new-england-1").expect("a name");
    let relayed = RelayedUpdate { from: NodeId(u64::MAX), zone, update: RouterUpdate::default() };
    let each = wire_bytes(&Message::RelayedUpdate(vec![relayed.clone(); 2]))
        - wire_bytes(&Message::RelayedUpdate(vec![relayed]));
    println!("overhead per relayed router: {each} bytes");
    assert!(each <= 30, "{each}");
}

/// Two versions talk to each other during a rolling upgrade.
#[test]
fn dispatch_report_of_an_earlier_version_is_decoded() {
    let earlier = ("i-1", 12_u64, [7_u64, 8], 20_000_u32, 3_000_u32);
    let mut bytes = Vec::new();
    let mut encoder = minicbor::Encoder::new(&mut bytes);
    let (instance, version, prefix_hashes, uncached_tokens, prefill_tokens) = earlier;
    encoder.array(5).expect("memory").str(instance).expect("memory");
    encoder.u64(version).expect("memory").encode(prefix_hashes).expect("memory");
    encoder.u32(uncached_tokens).expect("memory").u32(prefill_tokens).expect("memory");
    let decoded: DispatchReport = minicbor::decode(&bytes).expect("decode");
    assert_eq!(
        (decoded.prefix_hashes.len(), decoded.uncached_tokens, decoded.segment_tokens.len()),
        (2, 20_000, 0)
    );
}

#[test]
fn crash_report_size_and_no_overhead_without_crashes() {
    let crash = |number: u8| Crash {
        request: RequestFingerprint([number; 16]),
        instance: InstanceName::new("i-0123456789"),
        started: StartTime::from_unix_ms(1_784_840_000_000),
        age_ms: 90_000,
        in_flight_ms: 30_000,
        completed_before: true,
    };
    let with_crashes = |crashes: Option<CrashUpdate>| {
        wire_bytes(&Message::RouterUpdate(RouterUpdate { crashes, ..RouterUpdate::default() }))
    };
    let with_count = |count: u8| {
        with_crashes(Some(CrashUpdate {
            crashes: (0..count).map(crash).collect(),
            cleared: Vec::new(),
        }))
    };
    let each = (with_count(11) - with_count(1)) / 10;
    println!("crash report: {each} bytes");
    // 42 bytes for the request and the server, 9 for the incarnation: a server may crash under a
    // request, restart under the same name and crash again.
    assert!(each <= 42 + 9, "{each}");
    // 4 bytes of envelope and four empty lists.
    assert_eq!(with_crashes(None), FRAME_HEADER_BYTES + 8);
}

#[test]
fn server_notice_size_and_no_overhead_without_notices() {
    let notice = || ServerNoticeUpdate {
        instance: InstanceName::new("i-0123456789"),
        started: StartTime::from_unix_ms(1_784_840_000_000),
        backoff_ms: 30_000,
        is_departing: false,
        through: None,
    };
    let with_notices = |notices| {
        wire_bytes(&Message::RouterUpdate(RouterUpdate { notices, ..RouterUpdate::default() }))
    };
    let with_count = |count| with_notices(Some((0..count).map(|_| notice()).collect()));
    let each = (with_count(11) - with_count(1)) / 10;
    println!("server notice: {each} bytes");
    assert!(each <= 28, "{each}");
    assert_eq!(with_notices(None), FRAME_HEADER_BYTES + 8);
}

/// Earlier builds without server notices decode the other fields.
#[test]
fn updates_with_notices_are_decoded_by_earlier_builds() {
    #[derive(minicbor::Decode)]
    struct EarlierUpdate {
        #[n(0)]
        dispatches: Vec<DispatchReport>,
        #[n(3)]
        #[cbor(default)]
        ended_requests: Vec<u16>,
    }
    let notice = ServerNoticeUpdate {
        instance: InstanceName::new("i-1"),
        started: StartTime::UNKNOWN,
        backoff_ms: 3_000,
        is_departing: true,
        through: None,
    };
    let update = RouterUpdate {
        ended_requests: vec![7],
        notices: Some(vec![notice]),
        ..RouterUpdate::default()
    };
    let bytes = minicbor::to_vec(&update).expect("encode");
    let decoded: EarlierUpdate = minicbor::decode(&bytes).expect("decode");
    assert_eq!((decoded.dispatches.len(), decoded.ended_requests), (0, vec![7]));
    assert_eq!(minicbor::decode::<RouterUpdate>(&bytes).expect("decode"), update);
}

#[test]
fn stream_record_and_lookup_sizes() {
    let origin = || StreamOrigin {
        service: "huvo11a".to_owned(),
        software: SoftwareVersion::new("v1.1").expect("a version"),
    };
    let record = |number| StreamRecord { stream: StreamKey([number; 16]), origin: origin() };
    let with_records = |stream_records| {
        let update = RouterUpdate { stream_records, ..RouterUpdate::default() };
        wire_bytes(&Message::RouterUpdate(update))
    };
    let with_count = |count| with_records(Some((0..count).map(record).collect()));
    let each = (with_count(11) - with_count(1)) / 10;
    let request = Request::FindStreamOrigin { stream: StreamKey([7; 16]) };
    let lookup = wire_bytes(&Message::Request { call: 100_000, request })
        + wire_bytes(&Message::Reply { call: 100_000, reply: Reply::StreamOrigin(Some(origin())) });
    println!("stream record: {each} bytes, lookup: {lookup} bytes both ways");
    assert!(each <= 36 && lookup <= 66, "{each} {lookup}");
    assert_eq!(with_records(None), FRAME_HEADER_BYTES + 8);
}
