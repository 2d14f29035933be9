//! Ports for the processes of a fleet.
//!
//! The ports lie below those that the system gives to outgoing connections, so
//! that a process that is restarted finds its port free again.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

use super::FleetError;

/// First port used.
const FIRST_PORT: u16 = 12_000;

/// Ports used; Linux gives out 32,768 and up by itself.
const PORT_COUNT: u16 = 20_000;

/// Hands out ports that are free for TCP and UDP.
#[derive(Clone, Debug)]
pub struct Ports {
    next: u16,
    left: u16,
}

impl Ports {
    /// Starts at a place drawn by chance, so that fleets side by side seldom meet.
    pub fn new() -> Self {
        Ports { next: rand::random_range(0..PORT_COUNT), left: PORT_COUNT }
    }

    /// An address that is free now.
    ///
    /// # Errors
    /// Fails when no port is free.
    pub fn take(&mut self) -> Result<SocketAddr, FleetError> {
        while self.left > 0 {
            let port = FIRST_PORT + self.next;
            self.next = (self.next + 1) % PORT_COUNT;
            self.left -= 1;
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return Ok(address);
            }
        }
        Err(FleetError::NoPort)
    }
}

impl Default for Ports {
    fn default() -> Self {
        Ports::new()
    }
}
