//! Loopback addresses for servers that tests and the lab start.
//!
//! A free port found by binding to port 0 and closing the socket may be taken before it is bound
//! again, by another test or as the source port of an outgoing connection (from 32,768 up). The
//! addresses here use a host within 127.0.0.0/8 that is derived from the process id and a counter,
//! and a port below the ephemeral range, so that they stay free while a server is restarted.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// First port, below the ephemeral range of Linux.
const FIRST_PORT: u16 = 7_100;

/// Hosts per network of 256 addresses, without the first and the last.
const HOSTS: u32 = 254;

/// Second byte of the first network; lower ones are left to other programs.
const FIRST_NETWORK: u32 = 20;
/// Number of values of the second byte: 20 to 249.
const NETWORKS: u32 = 230;

/// Number of values of the third byte.
const BLOCKS: u32 = 256;

/// Number of ports before allocation starts over at the first.
const PORTS: u32 = 10_000;

/// Returns an address that no other test or process uses.
pub fn unused_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    address(std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Returns the address number `number` of a process. Addresses of two processes differ unless the
/// difference of their process ids is a multiple of 58,880.
fn address(process_id: u32, number: u32) -> SocketAddr {
    let network = FIRST_NETWORK + process_id / BLOCKS % NETWORKS;
    let block = process_id % BLOCKS;
    let host = 1 + number % HOSTS;
    let port = FIRST_PORT + (number / HOSTS % PORTS) as u16;
    let ip = Ipv4Addr::new(127, network as u8, block as u8, host as u8);
    SocketAddr::from((ip, port))
}
