//! A connection with several calls under way.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use juniper_protocol::{ClaimAnswer, Connection, Message, PeerRole, Reply, Request, connect};
use juniper_types::{BlockHash, ClaimKey, TenantName};

use crate::fleet::{identity, key};

/// A claim under a key of its own.
pub fn claim(worker: u64, number: u64) -> Request {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a set clock").as_secs();
    Request::Claim {
        tenant: TenantName::new("acme").expect("a tenant"),
        key: ClaimKey::new(now, format!("{worker}-{number}")).expect("a key"),
        fingerprint: BlockHash([7; 16]),
        attempt: number + 1,
    }
}

/// What a run of calls came to.
#[derive(Default)]
pub struct Outcome {
    pub latencies: Vec<Duration>,
    pub refused: usize,
}

/// Keeps `window` calls under way on one connection until `deadline` or until
/// `requests` ends.
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
    let mut under_way = HashMap::new();
    let mut call = 0;
    loop {
        while under_way.len() < window && Instant::now() < deadline {
            let Some(request) = requests.next() else { break };
            call += 1;
            under_way.insert(call, Instant::now());
            writer.send(&Message::Request { call, request }).await.expect("a call is sent");
        }
        if under_way.is_empty() {
            return outcome;
        }
        let Ok(Message::Reply { call, reply }) = reader.receive().await else { continue };
        let Some(asked) = under_way.remove(&call) else { continue };
        match reply {
            Reply::Claim(ClaimAnswer::Granted) | Reply::Applied { .. } => {
                outcome.latencies.push(asked.elapsed());
            }
            _ => outcome.refused += 1,
        }
    }
}
