//! Fault injection of network partitions.
//!
//! The daemon blocks no address. The lab, which runs many nodes in one process on one
//! loopback interface, injects partitions between zones.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};

/// Set of blocked addresses, shared with the code that injects the fault.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    blocked: Arc<RwLock<HashSet<SocketAddr>>>,
}

impl Reachability {
    /// Whether messages to and from `address` are allowed.
    pub fn allows(&self, address: SocketAddr) -> bool {
        let blocked = self.blocked.read().unwrap_or_else(|poisoned| poisoned.into_inner());
        !blocked.contains(&address)
    }

    /// Replaces the set of blocked addresses.
    pub fn block(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let mut blocked = self.blocked.write().unwrap_or_else(|poisoned| poisoned.into_inner());
        *blocked = addresses.into_iter().collect();
    }
}
