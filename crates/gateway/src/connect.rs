//! Connections to servers, direct or through another router, and what their success or failure shows.

use std::net::SocketAddrV4;
use std::sync::Arc;

use juniper_registry::InstanceId;
use juniper_types::Timestamp;
use tokio::net::TcpStream;

use crate::counted_stream::CountedStream;
use crate::gateway::Gateway;
use crate::pool::{ConnectError, ServerConnection};
use crate::tunnel::{TunnelError, TunnelGuard};

impl Gateway {
    /// Returns a connection to the server, which is an idle one or a new one if fewer than `limit`
    /// are open.
    pub(crate) async fn connect_server(
        self: &Arc<Self>,
        instance: &InstanceId,
        address: SocketAddrV4,
        limit: u32,
    ) -> Result<ServerConnection, ConnectError> {
        if let Some(connection) = self.pool.take_idle(instance) {
            return Ok(connection);
        }
        let open = self.pool.count_open(instance, limit).ok_or(ConnectError::Exhausted)?;
        let (stream, tunnel) = self.open_path(instance, address).await?;
        let stream = CountedStream::new(stream, &self.link_counters.servers);
        self.pool.start_http(stream, tunnel, open).await
    }

    /// Connects to the server directly, or through another router if that fails or is known to.
    async fn open_path(
        self: &Arc<Self>,
        instance: &InstanceId,
        address: SocketAddrV4,
    ) -> Result<(TcpStream, Option<TunnelGuard>), ConnectError> {
        if self.placement().prefers_tunnel(instance) {
            match self.open_tunnel(instance).await {
                Ok((stream, tunnel)) => return Ok((stream, Some(tunnel))),
                Err(TunnelError::ServerUnreachable) => return Err(ConnectError::NoPath),
                // Only the direct path is left.
                Err(TunnelError::NoPeer) => {}
            }
            return Ok((self.connect_directly(instance, address).await?, None));
        }
        let error = match self.connect_directly(instance, address).await {
            Ok(stream) => return Ok((stream, None)),
            Err(error) => error,
        };
        if !self.should_tunnel_after(instance, &error) {
            return Err(error);
        }
        let (stream, tunnel) = self.open_tunnel(instance).await.map_err(|_| error)?;
        Ok((stream, Some(tunnel)))
    }

    /// Connects to the server without another router.
    pub(crate) async fn connect_directly(
        &self,
        instance: &InstanceId,
        address: SocketAddrV4,
    ) -> Result<TcpStream, ConnectError> {
        let started_at = self.now();
        let result = self.open_server_stream(address).await;
        match &result {
            Ok(_) => {
                self.metrics.connections.inc();
                self.record_connected(instance, started_at);
            }
            // The server's answer may wait behind other packets on this router's link.
            Err(ConnectError::Timeout) if self.is_congested() => {
                log::info!("event=own_link_congested instance={instance}");
            }
            Err(error) => self.record_connect_failure(instance, error.is_refused()),
        }
        result
    }

    /// Whether the same request may still try a tunnel: a refusal took no time, and if this router is
    /// cut off, other servers would fail too.
    fn should_tunnel_after(&self, instance: &InstanceId, error: &ConnectError) -> bool {
        error.is_refused() || (self.placement().is_cut_off(instance) && !self.is_congested())
    }

    /// Records a new connection to the server, attempted at `started_at`.
    pub(crate) fn record_connected(&self, instance: &InstanceId, started_at: Timestamp) {
        let mut placement = self.placement();
        let was_cut_off = placement.is_cut_off(instance);
        let was_avoided = placement.is_avoided(instance, self.now());
        placement.record_connected(instance, started_at, self.now());
        let (failures, is_cut_off) =
            (placement.take_reportable_failures(), placement.is_cut_off(instance));
        drop(placement);
        for failed in failures {
            self.updates.push_reachability(&failed.instance, false);
            if failed.is_refused {
                self.record_refused(&failed.instance);
            }
        }
        if was_avoided {
            log::info!("event=server_reached instance={instance}");
            self.updates.push_reachability(instance, true);
        }
        if was_cut_off && !is_cut_off {
            log::info!("event=cut_off_ended instance={instance}");
        }
    }

    /// Records that this router failed to connect to the server. Other routers hear of it once a
    /// later connection to another server shows that this router isn't partitioned, and a refusal is
    /// no proof of a crash before.
    pub(crate) fn record_connect_failure(&self, instance: &InstanceId, is_refused: bool) {
        let mut placement = self.placement();
        let was_cut_off = placement.is_cut_off(instance);
        placement.record_connect_failure(instance, is_refused, self.now());
        let became_cut_off = placement.is_cut_off(instance) && !was_cut_off;
        // Where new connections are refused, established ones may still work.
        if !is_refused {
            self.pool.close_idle(|server| {
                server == instance || (became_cut_off && placement.share_service(server, instance))
            });
        }
        drop(placement);
        self.probes_due.notify_one();
        if became_cut_off {
            log::warn!("event=cut_off instance={instance} refused={is_refused}");
            self.metrics.cut_offs.inc();
        }
    }
}
