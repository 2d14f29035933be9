//! Control side of a router: settings subscription, membership and cache-state sharing.
//!
//! The router daemon runs one; the lab runs many in one process to measure the
//! control overhead of a node.

use std::sync::Arc;

use juniper_protocol::Traffic;
use juniper_sharing::RouterIncarnation;
use juniper_types::Incarnation;
use kameo::actor::{ActorRef, Spawn};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::config::RouterConfig;
use crate::control_client::ControlClient;
use crate::engines::Engines;
use crate::peers::{self, Leave, MembershipActor, MembershipArguments, PeerView};
use crate::reachability::Reachability;
use crate::run::RouterError;
use crate::settings_file::SettingsFile;
use crate::sharing::{self, SharingHub};
use crate::subscription::{SettingsActor, SettingsView, SubscriptionArguments, keep_subscribed};

/// Running control side of one router.
pub struct ControlPlane {
    /// Settings in force.
    pub settings: watch::Receiver<SettingsView>,
    /// Client of the control replicas.
    pub control: Arc<ControlClient>,
    /// Cache index, load and retry budget of the model engines.
    pub engines: Arc<Engines>,
    /// Cache and load state shared with the other routers of the zone.
    pub hub: Arc<SharingHub>,
    /// Routers that are up.
    pub peers: watch::Receiver<PeerView>,
    /// Bytes sent and received.
    pub traffic: Arc<Traffic>,
    membership: ActorRef<MembershipActor>,
    subscription: ActorRef<SettingsActor>,
    tasks: Vec<JoinHandle<()>>,
}

impl ControlPlane {
    /// Binds the internal address and starts all tasks.
    ///
    /// # Errors
    /// Fails when the address can't be bound or the settings file is unusable.
    pub async fn start(
        config: &Arc<RouterConfig>,
        reachability: &Reachability,
    ) -> Result<Self, RouterError> {
        let failed = |source| RouterError::Listen { address: config.internal, source };
        let listener = TcpListener::bind(config.internal).await.map_err(failed)?;
        let socket = UdpSocket::bind(config.internal).await.map_err(failed)?;
        let file = match &config.data_folder {
            Some(folder) => Some(SettingsFile::open(folder)?),
            None => None,
        };
        let traffic = Arc::new(Traffic::default());
        let (view_sender, settings) = watch::channel(SettingsView::default());
        let subscription = SettingsActor::spawn(SettingsActor::new(view_sender, file)?);
        let control = Arc::new(ControlClient::new(config, &traffic, reachability));
        let engines = Arc::new(Engines::new());
        let incarnation = Incarnation(rand::random());
        let own = RouterIncarnation { node: config.node, incarnation };
        let hub =
            Arc::new(SharingHub::new(own, config, Arc::clone(&engines), &traffic, reachability));
        let (peer_sender, peers) = watch::channel(PeerView::default());
        let membership = peers::spawn(MembershipArguments {
            config: Arc::clone(config),
            incarnation,
            socket,
            view: peer_sender,
            traffic: Arc::clone(&traffic),
            reachability: reachability.clone(),
        });
        let subscribe = keep_subscribed(SubscriptionArguments {
            config: Arc::clone(config),
            settings: subscription.clone(),
            control: Arc::clone(&control),
            view: settings.clone(),
            traffic: Arc::clone(&traffic),
            reachability: reachability.clone(),
        });
        let tasks = vec![
            tokio::spawn(subscribe),
            tokio::spawn(sharing::serve(Arc::clone(&hub), listener)),
            tokio::spawn(sharing::run_rounds(Arc::clone(&hub), peers.clone())),
        ];
        Ok(ControlPlane {
            settings,
            control,
            engines,
            hub,
            peers,
            traffic,
            membership,
            subscription,
            tasks,
        })
    }

    /// Announces to the group that this node is departing.
    pub async fn leave(&self) {
        let _ = self.membership.ask(Leave).await;
    }

    /// Aborts all tasks without announcing a departure, like a crash.
    pub async fn abort(self) {
        for task in self.tasks {
            task.abort();
            let _ = task.await;
        }
        self.membership.kill();
        self.membership.wait_for_shutdown().await;
        self.subscription.kill();
    }
}
