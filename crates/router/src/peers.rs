//! Membership of routers by a gossip failure detector over UDP.
//!
//! [`MembershipActor`] owns the I/O-free detector and the socket. A timer task and a
//! receiving task drive the detector; the actor publishes the routers that are up.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use juniper_membership::{
    Action, Detector, DetectorConfig, Liveness, Member, MemberRole, Message as Gossip,
};
use juniper_protocol::datagram::{MAX_DATAGRAM_BYTES, open, seal};
use juniper_protocol::{ClusterKey, Traffic, message::encode};
use juniper_types::{Incarnation, Timestamp};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn, WeakActorRef};
use kameo::error::ActorStopReason;
use kameo::message::{Context, Message};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, interval};

use crate::config::RouterConfig;
use crate::reachability::Reachability;

/// Time between ticks of the detector; well below its probe timeout.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Routers that are up, this one excluded.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    /// Peers in ascending order of node id.
    pub routers: Arc<Vec<Member>>,
}

/// Actor that owns the failure detector and its socket.
pub struct MembershipActor {
    detector: Detector,
    socket: Arc<UdpSocket>,
    key: ClusterKey,
    started: Instant,
    view: watch::Sender<PeerView>,
    traffic: Arc<Traffic>,
    reachability: Reachability,
    tasks: [JoinHandle<()>; 2],
}

/// Arguments of [`MembershipActor`].
pub struct MembershipArguments {
    /// Configuration of the process.
    pub config: Arc<RouterConfig>,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Socket bound to the internal address.
    pub socket: UdpSocket,
    /// Channel for the published view.
    pub view: watch::Sender<PeerView>,
    /// Byte counters.
    pub traffic: Arc<Traffic>,
    /// Injected network partitions.
    pub reachability: Reachability,
}

struct Tick;

struct Datagram {
    from: SocketAddr,
    bytes: Vec<u8>,
}

/// Request to announce to the group that this node is departing.
pub struct Leave;

impl Actor for MembershipActor {
    type Args = MembershipArguments;
    type Error = std::convert::Infallible;

    async fn on_start(
        arguments: MembershipArguments,
        actor: ActorRef<Self>,
    ) -> Result<Self, Self::Error> {
        let config = arguments.config;
        let own = Member {
            node: config.node,
            zone: config.zone.clone(),
            role: MemberRole::Router,
            address: config.internal,
            incarnation: arguments.incarnation,
        };
        let seeds = config.peers.iter().map(|peer| peer.address).collect();
        let detector = Detector::new(DetectorConfig::default(), own, seeds, rand::random());
        let socket = Arc::new(arguments.socket);
        let tasks =
            [tokio::spawn(tick(actor.clone())), tokio::spawn(receive(actor, Arc::clone(&socket)))];
        Ok(MembershipActor {
            detector,
            socket,
            key: config.cluster_key.clone(),
            started: Instant::now(),
            view: arguments.view,
            traffic: arguments.traffic,
            reachability: arguments.reachability,
            tasks,
        })
    }

    async fn on_stop(
        &mut self,
        _actor: WeakActorRef<Self>,
        _reason: ActorStopReason,
    ) -> Result<(), Self::Error> {
        // The receiving task holds the socket; the address can be bound again once it has ended.
        for task in &mut self.tasks {
            task.abort();
            let _ = task.await;
        }
        Ok(())
    }
}

async fn tick(actor: ActorRef<MembershipActor>) {
    let mut ticks = interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        if actor.tell(Tick).await.is_err() {
            return;
        }
    }
}

async fn receive(actor: ActorRef<MembershipActor>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        // Receive errors report that the destination of an earlier send was unreachable.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        let bytes = buffer[..length].to_vec();
        if actor.tell(Datagram { from, bytes }).await.is_err() {
            return;
        }
    }
}

impl Message<Tick> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _tick: Tick, _context: &mut Context<Self, ()>) {
        let actions = self.detector.tick(self.now());
        self.apply_actions(actions).await;
    }
}

impl Message<Datagram> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, datagram: Datagram, _context: &mut Context<Self, ()>) {
        if !self.reachability.allows(datagram.from) {
            return;
        }
        self.traffic.add_received(datagram.bytes.len());
        let payload = match open(&self.key, &datagram.bytes) {
            Ok(payload) => payload,
            Err(error) => {
                log::debug!("event=datagram_refused reason=\"{error}\"");
                return;
            }
        };
        let Ok(message) = minicbor::decode::<Gossip>(payload) else {
            log::debug!("event=datagram_refused reason=\"malformed\"");
            return;
        };
        let actions = self.detector.receive(message, self.now());
        self.apply_actions(actions).await;
    }
}

impl Message<Leave> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _leave: Leave, _context: &mut Context<Self, ()>) {
        let actions = self.detector.leave();
        self.apply_actions(actions).await;
    }
}

impl MembershipActor {
    fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.started.elapsed())
    }

    async fn apply_actions(&mut self, actions: Vec<Action>) {
        let mut changed = false;
        for action in actions {
            match action {
                Action::Send { address, message } => self.send(address, &message).await,
                Action::Changed(update) => {
                    changed = true;
                    log::info!(
                        "event=member_changed member={} zone={} state={:?} version={}",
                        update.member.node,
                        update.member.zone,
                        update.liveness,
                        update.version
                    );
                }
            }
        }
        if changed {
            self.publish();
        }
    }

    async fn send(&self, address: SocketAddr, message: &Gossip) {
        let datagram = match seal(&self.key, &encode(message)) {
            Ok(datagram) => datagram,
            Err(error) => {
                log::warn!("event=datagram_not_sent reason=\"{error}\"");
                return;
            }
        };
        if !self.reachability.allows(address) {
            return;
        }
        self.traffic.add_sent(datagram.len());
        if let Err(error) = self.socket.send_to(&datagram, address).await {
            log::debug!("event=datagram_not_sent to={address} reason=\"{error}\"");
        }
    }

    fn publish(&self) {
        let alive = self.detector.table().iter().filter(|known| {
            known.update.liveness == Liveness::Alive
                && known.update.member.role == MemberRole::Router
        });
        let routers = alive.map(|known| known.update.member.clone()).collect();
        self.view.send_replace(PeerView { routers: Arc::new(routers) });
    }
}

/// Starts the membership actor.
pub fn spawn(arguments: MembershipArguments) -> ActorRef<MembershipActor> {
    MembershipActor::spawn(arguments)
}
