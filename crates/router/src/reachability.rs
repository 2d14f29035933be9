//! Which addresses a node can reach; a fault-injection point for cuts.
//!
//! The daemon reaches every address. The lab, which runs many nodes in one
//! process on one loopback interface, cuts zones off from each other here.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};

/// Addresses that can't be reached, shared by whoever injects the fault.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    blocked: Arc<RwLock<HashSet<SocketAddr>>>,
}

impl Reachability {
    /// Whether messages to and from `address` get through.
    pub fn allows(&self, address: SocketAddr) -> bool {
        let blocked = self.blocked.read().unwrap_or_else(|poisoned| poisoned.into_inner());
        !blocked.contains(&address)
    }

    /// Blocks exactly these addresses from now on.
    pub fn block(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let mut blocked = self.blocked.write().unwrap_or_else(|poisoned| poisoned.into_inner());
        *blocked = addresses.into_iter().collect();
    }
}
