//! Calls and replies across reconnects.

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
    PeerIdentity { node: NodeId(number), role: PeerRole::Control, zone, incarnation: None }
}

/// Opens a connection and returns both ends.
async fn connected_pair() -> (Connection, Connection) {
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

/// Switches `calls` to a new connection whose far end sends `messages` and closes. Returns all
/// events of the connection.
async fn events_of_connection(calls: &mut OpenCalls, messages: &[Message]) -> Vec<IncomingFrame> {
    let (near, far) = connected_pair().await;
    let reader = calls.set_connection(near);
    send_all(far.writer, messages).await;
    let events = Arc::new(Mutex::new(Vec::new()));
    let deliver = async |incoming| {
        events.lock().expect("not poisoned").push(incoming);
        true
    };
    reader.run(deliver).await;
    Arc::into_inner(events).expect("one owner").into_inner().expect("not poisoned")
}

async fn send_all(mut writer: FrameWriter, messages: &[Message]) {
    for message in messages {
        writer.send(message).await.expect("send the message");
    }
}

fn reply(call: u64) -> Message {
    Message::Reply { call, reply: Reply::Done }
}

#[tokio::test]
async fn replies_in_any_order_reach_their_calls() {
    let mut calls = OpenCalls::default();
    let (first, mut first_reply) = oneshot::channel();
    let (second, mut second_reply) = oneshot::channel();
    let _ = calls.start_call(Request::ConfirmedRevision, first);
    let _ = calls.start_call(Request::ConfirmedRevision, second);
    let events = events_of_connection(&mut calls, &[reply(2), reply(9)]).await;
    let ended: Vec<bool> =
        events.into_iter().map(|incoming| calls.handle_frame(incoming)).collect();
    assert_eq!(ended, [false, false, true]);
    assert_eq!(second_reply.try_recv().expect("a reply"), Ok(Reply::Done));
    calls.disconnect();
    assert_eq!(first_reply.try_recv().expect("an outcome"), Err(CallError::Disconnected));
    assert!(!calls.is_connected());
}

#[tokio::test]
async fn late_events_of_an_earlier_connection_are_dropped() {
    let mut calls = OpenCalls::default();
    let late = events_of_connection(&mut calls, &[reply(1)]).await;
    calls.disconnect();
    let (answer, mut outcome) = oneshot::channel();
    let _ = calls.start_call(Request::ConfirmedRevision, answer);
    let current = events_of_connection(&mut calls, &[]).await;
    for incoming in late {
        assert!(
            !calls.handle_frame(incoming),
            "end of an earlier connection was taken for the current one"
        );
    }
    assert!(outcome.try_recv().is_err(), "reply on an earlier connection reached a later call");
    assert!(current.into_iter().any(|incoming| calls.handle_frame(incoming)));
}
