//! Sizes of the messages that every router sends or gets all the time. The figures in
//! docs/CAPACITY.md rest on them.

use juniper_protocol::message::{
    Crash, CrashNews, RelayedNews, RouterNews, ServerNoticeNews, Sighting, encode,
};
use juniper_protocol::{Message, Reply, Request};
use juniper_registry::{InstanceName, StartTime};
use juniper_types::{NodeId, RequestFingerprint, ZoneName};

/// Bytes before each message on the wire.
const FRAME_HEADER: usize = 5;

fn bytes(message: &Message) -> usize {
    encode(message).len() + FRAME_HEADER
}

#[test]
fn a_confirmation_is_small() {
    let request = Message::Request { call: 100_000, request: Request::Confirm };
    let reply = Reply::Confirmed { age_ms: 300, revision: 1_000_000, routers: 340 };
    let both_ways = bytes(&request) + bytes(&Message::Reply { call: 100_000, reply });
    println!("confirmation: {both_ways} bytes both ways");
    assert!(both_ways <= 50, "{both_ways}");
}

#[test]
fn a_sighting_is_small() {
    let sighting = |number: u64| Sighting {
        instance: InstanceName::new("i-0123456789"),
        version: 12,
        chains: vec![u64::MAX - number; 2],
        tokens: 20_000,
        read_tokens: 3_000,
        part_tokens: vec![9_000; 2],
        own_tokens: 2_000,
        number: u16::MAX,
    };
    let told =
        |sightings| bytes(&Message::RouterNews(RouterNews { sightings, ..RouterNews::default() }));
    let one = told(vec![sighting(0)]);
    let more = told((0..11).map(sighting).collect());
    let each = (more - one) / 10;
    println!("sighting of two beginnings: {each} bytes, alone {one}");
    let ended = |ended| bytes(&Message::RouterNews(RouterNews { ended, ..RouterNews::default() }));
    let end = (ended(vec![u16::MAX; 11]) - ended(vec![u16::MAX])) / 10;
    println!("end of a request: {end} bytes");
    // The beginning and the end of a request together, which were 50 and 13 bytes while ends named
    // the server.
    assert!(each + end <= 56, "{each} {end}");
}

/// What the size of a message to a listener grows by with each router that told something.
#[test]
fn the_name_of_a_router_and_its_zone_is_small() {
    let zone = ZoneName::new("new-england-1").expect("a name");
    let relayed = RelayedNews { from: NodeId(u64::MAX), zone, news: RouterNews::default() };
    let each = bytes(&Message::RelayedNews(vec![relayed.clone(); 2]))
        - bytes(&Message::RelayedNews(vec![relayed]));
    println!("router in a relayed message: {each} bytes");
    assert!(each <= 30, "{each}");
}

/// Daemons are replaced one after the other, so two versions talk to each other for a while.
#[test]
fn a_sighting_of_an_earlier_version_can_be_read() {
    let earlier = ("i-1", 12_u64, [7_u64, 8], 20_000_u32, 3_000_u32);
    let mut bytes = Vec::new();
    let mut encoder = minicbor::Encoder::new(&mut bytes);
    let (instance, version, chains, tokens, read_tokens) = earlier;
    encoder.array(5).expect("memory").str(instance).expect("memory");
    encoder.u64(version).expect("memory").encode(chains).expect("memory");
    encoder.u32(tokens).expect("memory").u32(read_tokens).expect("memory");
    let read: Sighting = minicbor::decode(&bytes).expect("it is read");
    assert_eq!((read.chains.len(), read.tokens, read.part_tokens.len()), (2, 20_000, 0));
}

#[test]
fn an_end_of_a_server_is_small_and_costs_nothing_where_none_ends() {
    let crash = |number: u8| Crash {
        request: RequestFingerprint([number; 16]),
        instance: InstanceName::new("i-0123456789"),
        started: StartTime::from_unix_ms(1_784_840_000_000),
        age_ms: 90_000,
        under_way_ms: 30_000,
        ended_well: true,
    };
    let told = |crashes: Option<CrashNews>| {
        bytes(&Message::RouterNews(RouterNews { crashes, ..RouterNews::default() }))
    };
    let with = |count: u8| {
        told(Some(CrashNews { crashes: (0..count).map(crash).collect(), cleared: Vec::new() }))
    };
    let each = (with(11) - with(1)) / 10;
    println!("end of a server under a request: {each} bytes");
    // It names the incarnation, since a server may end under a request, start again under its name
    // and end once more: 9 bytes beside the 42 of an end that named the server alone.
    assert!(each <= 42 + 9, "{each}");
    // Envelope of 4 bytes and four empty lists, as before there were such reports.
    assert_eq!(told(None), FRAME_HEADER + 8);
}

#[test]
fn a_notice_of_a_server_is_small_and_costs_nothing_where_there_is_none() {
    let notice = || ServerNoticeNews {
        instance: InstanceName::new("i-0123456789"),
        started: StartTime::from_unix_ms(1_784_840_000_000),
        pause_ms: 30_000,
        is_leaving: false,
    };
    let told =
        |notices| bytes(&Message::RouterNews(RouterNews { notices, ..RouterNews::default() }));
    let with = |count| told(Some((0..count).map(|_| notice()).collect()));
    let each = (with(11) - with(1)) / 10;
    println!("notice of a server: {each} bytes");
    assert!(each <= 28, "{each}");
    assert_eq!(told(None), FRAME_HEADER + 8);
}

/// Routers and replicas of builds that know no notices read the rest.
#[test]
fn news_with_a_notice_are_read_by_who_knows_none() {
    #[derive(minicbor::Decode)]
    struct EarlierNews {
        #[n(0)]
        sightings: Vec<Sighting>,
        #[n(3)]
        #[cbor(default)]
        ended: Vec<u16>,
    }
    let notice = ServerNoticeNews {
        instance: InstanceName::new("i-1"),
        started: StartTime::UNKNOWN,
        pause_ms: 3_000,
        is_leaving: true,
    };
    let news = RouterNews { ended: vec![7], notices: Some(vec![notice]), ..RouterNews::default() };
    let bytes = minicbor::to_vec(&news).expect("encodes");
    let read: EarlierNews = minicbor::decode(&bytes).expect("it is read");
    assert_eq!((read.sightings.len(), read.ended), (0, vec![7]));
    assert_eq!(minicbor::decode::<RouterNews>(&bytes).expect("it is read"), news);
}
