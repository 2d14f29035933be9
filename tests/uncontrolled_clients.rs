//! Clients that don't behave, against the operator API of a control replica as a process.

#[path = "../platform/tests/crowds/clients.rs"]
#[allow(dead_code, reason = "shared with other tests")]
mod clients;
#[path = "support/replicas.rs"]
#[allow(dead_code, reason = "shared with other tests")]
mod replicas;

use std::net::SocketAddrV4;
use std::time::Duration;

use clients::{BodyPlan, Sending, ask_until, gather, send_body, send_bytes};
use replicas::{Fleet, OPERATOR_KEY};

/// Memory of the replica, in megabytes.
const MEMORY_MB: usize = 128;

/// Clients of a crowd.
const CROWD: usize = 40;

/// Largest body of a change, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Bytes of a head that never ends.
const HEAD_BYTES: usize = 300_000;

/// Clients that send such heads.
const CROWD_OF_HEADS: usize = 500;

/// Time for which a crowd stays after it has sent all, so that what it sent is read.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Starts a replica with little memory. Returns it and the address of its operator API.
async fn start() -> (Fleet, SocketAddrV4) {
    let mut fleet = Fleet::start(1).await;
    fleet.replicas[0].kill();
    fleet.replicas[0].add_settings(&format!("[control.limits]\nmemory_mb = {MEMORY_MB}\n"));
    fleet.replicas[0].start();
    fleet.leader().await;
    let std::net::SocketAddr::V4(address) = fleet.replicas[0].operator else {
        panic!("addresses are IPv4");
    };
    (fleet, address)
}

fn change_head() -> String {
    format!(
        "POST /v1/settings/changes HTTP/1.1\r\nHost: c\r\nAuthorization: Bearer {OPERATOR_KEY}\r\n\
         Content-Type: application/json\r\n"
    )
}

/// Checks that the replica answers an operator and has stayed within its memory.
async fn check(fleet: &Fleet, address: SocketAddrV4) {
    let status = format!(
        "GET /v1/status HTTP/1.1\r\nHost: c\r\nAuthorization: Bearer {OPERATOR_KEY}\r\n\
         Connection: close\r\n\r\n"
    );
    ask_until(address, status.as_bytes(), 200).await;
    let (peak, memory) = (fleet.replicas[0].peak_memory(), MEMORY_MB * 1_000_000);
    assert!(peak <= memory, "the replica took {peak} of {memory} bytes");
}

// Nothing bounded the bodies of all changes together, nor heads; both in one process, one after the other.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_and_heads_without_end_fill_the_memory_of_a_replica_of_the_tree() {
    let (fleet, address) = start().await;
    let plan = BodyPlan {
        announced: MAX_BODY_BYTES,
        sent: MAX_BODY_BYTES - 1,
        sending: Sending::Pieces(65_536),
    };
    let bodies = gather(CROWD, || send_body(address, change_head(), plan)).await;
    tokio::time::sleep(SETTLING_TIME).await;
    check(&fleet, address).await;
    drop(bodies);
    let head = format!("{}Padding: {}", change_head(), "x".repeat(HEAD_BYTES)).into_bytes();
    let heads = gather(CROWD_OF_HEADS, || send_bytes(address, head.clone())).await;
    tokio::time::sleep(SETTLING_TIME).await;
    check(&fleet, address).await;
    drop(heads);
}
