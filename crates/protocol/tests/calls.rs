//! Calls and replies over connections that are replaced.

use std::sync::{Arc, Mutex};

use juniper_protocol::{
    CallError, ClusterKey, Connection, FrameWriter, IncomingFrame, Message, OpenCalls,
    PeerIdentity, PeerRole, Reply, Request, accept, connect,
};
use juniper_types::{NodeId, ZoneName};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

fn key() -> ClusterKey {
    ClusterKey::from_text("a cluster key for tests").expect("long enough")
}

fn identity(number: u64) -> PeerIdentity {
    let zone = ZoneName::new("north").expect("valid");
    PeerIdentity { node: NodeId(number), role: PeerRole::Control, zone }
}

/// Both ends of a connection.
async fn pair() -> (Connection, Connection) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let far = async {
        let (stream, _) = listener.accept().await.expect("a connection");
        accept(stream, &key(), &identity(2)).await.expect("the handshake passes")
    };
    let (key, own) = (key(), identity(1));
    let near = async { connect(address, &key, &own).await.expect("the handshake passes") };
    tokio::join!(near, far)
}

/// Uses a new connection; everything read from it, to its end, is returned once the far
/// end has written `messages` and closed.
async fn read_all(calls: &mut OpenCalls, messages: &[Message]) -> Vec<IncomingFrame> {
    let (near, far) = pair().await;
    let reader = calls.connected(near);
    write_all(far.writer, messages).await;
    let seen = Arc::new(Mutex::new(Vec::new()));
    let deliver = async |incoming| {
        seen.lock().expect("not poisoned").push(incoming);
        true
    };
    reader.run(deliver).await;
    Arc::into_inner(seen).expect("one owner").into_inner().expect("not poisoned")
}

async fn write_all(mut writer: FrameWriter, messages: &[Message]) {
    for message in messages {
        writer.send(message).await.expect("written");
    }
}

fn reply(call: u64) -> Message {
    Message::Reply { call, reply: Reply::Done }
}

#[tokio::test]
async fn replies_reach_their_calls_in_any_order() {
    let mut calls = OpenCalls::default();
    let (first, mut first_reply) = oneshot::channel();
    let (second, mut second_reply) = oneshot::channel();
    let _ = calls.begin(Request::ConfirmedRevision, first);
    let _ = calls.begin(Request::ConfirmedRevision, second);
    let read = read_all(&mut calls, &[reply(2), reply(9)]).await;
    let ended: Vec<bool> = read.into_iter().map(|incoming| calls.take(incoming)).collect();
    assert_eq!(ended, [false, false, true]);
    assert_eq!(second_reply.try_recv().expect("a reply"), Ok(Reply::Done));
    calls.disconnect();
    assert_eq!(first_reply.try_recv().expect("an outcome"), Err(CallError::Disconnected));
    assert!(!calls.is_connected());
}

#[tokio::test]
async fn what_an_earlier_connection_delivers_late_is_dropped() {
    let mut calls = OpenCalls::default();
    let late = read_all(&mut calls, &[reply(1)]).await;
    calls.disconnect();
    let (answer, mut outcome) = oneshot::channel();
    let _ = calls.begin(Request::ConfirmedRevision, answer);
    let current = read_all(&mut calls, &[]).await;
    for incoming in late {
        assert!(!calls.take(incoming), "the end of another connection");
    }
    assert!(outcome.try_recv().is_err(), "a reply to another call");
    assert!(current.into_iter().any(|incoming| calls.take(incoming)));
}
