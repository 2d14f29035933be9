//! Connections to servers, and what their success or failure shows about the servers.

use std::net::SocketAddrV4;

use juniper_registry::InstanceId;

use crate::gateway::Gateway;
use crate::pool::{ConnectError, ServerConnection, is_refused};

impl Gateway {
    /// Returns a connection to the server, which is an idle one or a new one if fewer than `limit`
    /// are open.
    pub(crate) async fn connect_server(
        &self,
        instance: &InstanceId,
        address: SocketAddrV4,
        limit: u32,
    ) -> Result<ServerConnection, ConnectError> {
        let started_at = self.now();
        let result = self.pool.connect(instance, address, limit).await;
        match &result {
            Ok(connection) if connection.reused => {}
            Ok(_) => {
                self.metrics.connections.inc();
                self.record_connected(instance, started_at);
            }
            Err(ConnectError::Exhausted | ConnectError::Handshake(_)) => {}
            Err(ConnectError::Timeout) => self.record_connect_failure(instance, false),
            Err(ConnectError::Connect(error)) => {
                self.record_connect_failure(instance, is_refused(error));
            }
        }
        result
    }
}
