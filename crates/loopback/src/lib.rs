//! Addresses on this machine for processes that tests and the lab start.
//!
//! A port that was bound once to find a free one, let go and bound again later may be
//! taken in between: by another test, or by an outgoing connection, to which the system
//! gives ports from 32,768 up. The addresses here have a host of their own within
//! 127.0.0.0/8, made of the number of this process and a counter, and a port below that
//! range. So nobody else takes them, also while whoever listens there is restarted.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Port of the first hosts; below those that Linux gives to outgoing connections.
const FIRST_PORT: u16 = 7_100;

/// Hosts in a network of 256 addresses, without the first and the last.
const HOSTS: u32 = 254;

/// Second bytes of hosts: 20 to 249. Lower ones are left to people and other programs.
const FIRST_NETWORK: u32 = 20;
const NETWORKS: u32 = 230;

/// Values of the third byte.
const BLOCKS: u32 = 256;

/// Ports after which the numbers begin again. By then the first are long unused.
const PORTS: u32 = 10_000;

/// An address that nobody else uses.
pub fn unused_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    address(std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// The address with this number in a process. Those of different processes differ
/// while their numbers lie less than 58,880 apart, or have different remainders by it.
fn address(process: u32, number: u32) -> SocketAddr {
    let network = FIRST_NETWORK + process / BLOCKS % NETWORKS;
    let block = process % BLOCKS;
    let host = 1 + number % HOSTS;
    let port = FIRST_PORT + (number / HOSTS % PORTS) as u16;
    let ip = Ipv4Addr::new(127, network as u8, block as u8, host as u8);
    SocketAddr::from((ip, port))
}
