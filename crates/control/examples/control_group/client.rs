//! Client connection with several calls in flight.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use juniper_protocol::{ClaimAnswer, Connection, Message, PeerRole, Reply, Request, connect};
use juniper_types::{BlockHash, ClaimKey, TenantName};

use crate::cluster::{identity, key};

/// Claim with a unique key.
pub fn claim(worker: u64, number: u64) -> Request {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a set clock").as_secs();
    Request::Claim {
        tenant: TenantName::new("acme").expect("a tenant"),
        key: ClaimKey::new(now, format!("{worker}-{number}")).expect("a key"),
        fingerprint: BlockHash([7; 16]),
        attempt: number + 1,
    }
}

/// Result of a run of calls.
#[derive(Default)]
pub struct Outcome {
    pub latencies: Vec<Duration>,
    pub refused: usize,
}

/// Keeps `window` calls in flight on one connection until `deadline` or the end of `requests`.
pub async fn run(
    address: SocketAddr,
    role: PeerRole,
    node: u64,
    window: usize,
    deadline: Instant,
    mut requests: impl Iterator<Item = Request>,
) -> Outcome {
    let connection = connect(address, &key(), &identity(node, role)).await.expect("a connection");
    let Connection { mut reader, mut writer, .. } = connection;
    let mut outcome = Outcome::default();
    let mut in_flight = HashMap::new();
    let mut call = 0;
    loop {
        while in_flight.len() < window && Instant::now() < deadline {
            let Some(request) = requests.next() else { break };
            call += 1;
            in_flight.insert(call, Instant::now());
            writer.send(&Message::Request { call, request }).await.expect("send a call");
        }
        if in_flight.is_empty() {
            return outcome;
        }
        let Ok(Message::Reply { call, reply }) = reader.receive().await else { continue };
        let Some(sent_at) = in_flight.remove(&call) else { continue };
        match reply {
            Reply::Claim(ClaimAnswer::Granted) | Reply::Applied { .. } => {
                outcome.latencies.push(sent_at.elapsed());
            }
            _ => outcome.refused += 1,
        }
    }
}
