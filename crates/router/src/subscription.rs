//! Subscription to the settings of the control replicas.
//!
//! [`SettingsActor`] owns the settings in force and applies all changes to them. The
//! subscription task connects to one replica at a time, forwards every push to the
//! actor and reports to the replica which revision came into force.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use juniper_clock::{BootInstant, SuspensionWatch};
use juniper_protocol::{Message as Frame, Push, Refusal, Reply, Request, Traffic, connect};
use juniper_types::Revision;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use rand::RngExt;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use juniper_settings::node_file::Peer;

use crate::config::RouterConfig;
use crate::control_client::ControlClient;
use crate::in_force::{RevisionGap, SettingsInForce};
use crate::reachability::Reachability;
use crate::settings_file::{SettingsFile, SettingsFileError};

/// Time without a message after which a replica counts as failed. Replicas push
/// [`Push::Alive`] every second.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);

/// Timeout of connecting to a replica.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Range of the random delay before the next replica is tried, in milliseconds.
const RECONNECT_DELAY_MS: std::ops::Range<u64> = 50..400;

/// Timeout of one query for the floor to a quorum.
const FLOOR_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings in force as published to requests.
#[derive(Clone, Debug, Default)]
pub struct SettingsView {
    /// Settings in force.
    pub in_force: Arc<SettingsInForce>,
    /// Time when a quorum last confirmed that these settings are the latest.
    pub confirmed_at: Option<BootInstant>,
}

/// Error of applying a push.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// The push skips a revision.
    #[error(transparent)]
    RevisionGap(#[from] RevisionGap),
    /// The settings file could not be written, so the revision did not come into force.
    #[error(transparent)]
    File(#[from] SettingsFileError),
}

/// Time after a suspension of the machine within which keep-alives that were buffered in the socket
/// are read. Replicas send one per second.
const SOCKET_CATCH_UP_TIME: Duration = Duration::from_millis(1_200);

/// Actor that owns the settings in force.
#[derive(Actor)]
pub struct SettingsActor {
    view: watch::Sender<SettingsView>,
    file: Option<SettingsFile>,
    /// Lowest revision that may come into force: the one restored from the settings file, or
    /// without a file the latest one confirmed by a quorum at the start.
    floor: Option<Revision>,
    /// Settings below the floor, to which deltas are applied until they reach it. A replica with
    /// the complete history sends deltas below the floor one by one.
    staged: Option<Arc<SettingsInForce>>,
    suspensions: SuspensionWatch,
    /// Time until which keep-alives are ignored after a suspension.
    distrusted_until: Option<Instant>,
}

impl SettingsActor {
    /// Restores the settings from the settings file, if there is one.
    pub fn new(
        view: watch::Sender<SettingsView>,
        file: Option<SettingsFile>,
    ) -> Result<Self, SettingsFileError> {
        let restored = match &file {
            Some(file) => file.read()?,
            None => None,
        };
        let floor = restored.as_ref().map(|(revision, _)| *revision);
        if let Some((revision, tree)) = restored {
            log::info!("event=settings_restored revision={revision}");
            let in_force = Arc::new(SettingsInForce::new(revision, tree));
            view.send_modify(|view| view.in_force = in_force);
        }
        Ok(SettingsActor {
            view,
            file,
            floor,
            staged: None,
            suspensions: SuspensionWatch::default(),
            distrusted_until: None,
        })
    }

    /// Whether a keep-alive received now may have been buffered in the socket during a suspension
    /// of the machine, so that its age is unknown.
    fn may_be_stale(&mut self) -> bool {
        let now = Instant::now();
        if self.suspensions.check().is_some() {
            self.distrusted_until = Some(now + SOCKET_CATCH_UP_TIME);
        }
        self.distrusted_until.is_some_and(|until| now < until)
    }

    fn bring_into_force(&mut self, next: SettingsInForce) -> Result<Revision, ApplyError> {
        if let Some(file) = &self.file {
            file.write(next.revision, next.tree())?;
        }
        let revision = next.revision;
        self.view.send_modify(|view| view.in_force = Arc::new(next));
        log::info!("event=settings_in_force revision={revision}");
        Ok(revision)
    }
}

/// Query whether the floor is known.
pub struct HasFloor;

impl Message<HasFloor> for SettingsActor {
    type Reply = bool;

    async fn handle(&mut self, _message: HasFloor, _context: &mut Context<Self, bool>) -> bool {
        self.floor.is_some()
    }
}

/// Request to set the floor that a quorum confirmed.
pub struct SetFloor(pub Revision);

impl Message<SetFloor> for SettingsActor {
    type Reply = ();

    async fn handle(&mut self, message: SetFloor, _context: &mut Context<Self, ()>) {
        self.floor = Some(message.0);
    }
}

/// Request to apply a push from a control replica. The reply is the revision that came into
/// force, if any.
pub struct ApplyPush(pub Push);

impl Message<ApplyPush> for SettingsActor {
    type Reply = Result<Option<Revision>, ApplyError>;

    async fn handle(
        &mut self,
        message: ApplyPush,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        if let Push::Alive { committed, confirmed_ms } = &message.0 {
            let in_force = self.view.borrow().in_force.revision;
            // A replica that is behind this router can't confirm that its settings are the latest.
            if *committed >= in_force && !self.may_be_stale() {
                let confirmed = BootInstant::now().before(Duration::from_millis(*confirmed_ms));
                self.view
                    .send_modify(|view| view.confirmed_at = view.confirmed_at.max(Some(confirmed)));
            }
            return Ok(None);
        }
        let staged = self.staged.clone();
        let current = staged.unwrap_or_else(|| self.view.borrow().in_force.clone());
        let Some(next) = current.after_push(message.0)? else {
            return Ok(None);
        };
        match self.floor {
            Some(floor) if next.revision >= floor => {
                self.staged = None;
                self.bring_into_force(next).map(Some)
            }
            // Below the floor: keep applying deltas until it is reached.
            _ => {
                self.staged = Some(Arc::new(next));
                Ok(None)
            }
        }
    }
}

/// Reason for the end of one subscription.
#[derive(Debug, thiserror::Error)]
enum SubscriptionEnd {
    #[error("can't connect: {0}")]
    Connect(#[from] juniper_protocol::HandshakeError),
    #[error("connection failed: {0}")]
    Frame(#[from] juniper_protocol::FrameError),
    #[error("the replica did not answer in time")]
    Silent,
    #[error("the replica refused: {0}")]
    Refused(Refusal),
    #[error(transparent)]
    Apply(#[from] ApplyError),
    #[error("the replica is behind this router")]
    Behind,
    #[error("the settings actor stopped")]
    Stopped,
}

/// Arguments of the subscription task.
pub struct SubscriptionArguments {
    /// Configuration of the process.
    pub config: Arc<RouterConfig>,
    /// Actor that applies the pushes.
    pub settings: ActorRef<SettingsActor>,
    /// Client of the control replicas.
    pub control: Arc<ControlClient>,
    /// Settings in force.
    pub view: watch::Receiver<SettingsView>,
    /// Byte counters.
    pub traffic: Arc<Traffic>,
    /// Injected network partitions.
    pub reachability: Reachability,
}

/// Subscribes to one replica after another until the settings actor stops.
pub async fn keep_subscribed(arguments: SubscriptionArguments) {
    fetch_floor(&arguments.settings, &arguments.control).await;
    let replicas = replica_order(&arguments.config);
    for replica in replicas.iter().cycle() {
        let end = subscribe_once(replica, &arguments).await;
        let Err(end) = end else { continue };
        log::warn!("event=subscription_ended replica={} reason=\"{end}\"", replica.id);
        if matches!(end, SubscriptionEnd::Stopped) {
            return;
        }
        let retry_after_ms = match &end {
            SubscriptionEnd::Refused(Refusal::Overloaded { retry_after_ms }) => *retry_after_ms,
            _ => 0,
        };
        sleep(Duration::from_millis(retry_after_ms) + reconnect_delay()).await;
    }
}

/// Returns a random delay, so that routers restarted together don't reconnect together.
fn reconnect_delay() -> Duration {
    Duration::from_millis(rand::rng().random_range(RECONNECT_DELAY_MS))
}

/// Sets the floor to the latest revision confirmed by a quorum, unless a settings file has set it.
/// Keeps a router without a settings file from returning to an older revision after a restart.
async fn fetch_floor(settings: &ActorRef<SettingsActor>, control: &ControlClient) {
    if settings.ask(HasFloor).await.unwrap_or(false) {
        return;
    }
    loop {
        match control.confirmed_revision(FLOOR_TIMEOUT).await {
            Ok(revision) => {
                log::info!("event=floor_confirmed revision={revision}");
                let _ = settings.tell(SetFloor(revision)).await;
                return;
            }
            Err(error) => log::warn!("event=floor_unconfirmed reason=\"{error}\""),
        }
        sleep(reconnect_delay()).await;
    }
}

/// Returns the replicas of the own zone followed by the others, each in an order that differs
/// between routers, so that subscriptions are spread over the replicas.
fn replica_order(config: &RouterConfig) -> Vec<Peer> {
    let mut replicas = config.control.clone();
    replicas.sort_by_key(|peer| {
        let mut hasher = DefaultHasher::new();
        (config.node, peer.id).hash(&mut hasher);
        (peer.zone != config.zone, hasher.finish())
    });
    replicas
}

async fn subscribe_once(
    replica: &Peer,
    arguments: &SubscriptionArguments,
) -> Result<(), SubscriptionEnd> {
    let from = arguments.view.borrow().in_force.revision;
    if !arguments.reachability.allows(replica.address) {
        return Err(SubscriptionEnd::Silent);
    }
    let config = &arguments.config;
    let own = config.identity();
    let opening = connect(replica.address, &config.cluster_key, &own);
    let connected = timeout(CONNECT_TIMEOUT, opening).await;
    let mut connection = connected.map_err(|_| SubscriptionEnd::Silent)??;
    connection.count_traffic_in(&arguments.traffic);
    let request = Request::Subscribe { from };
    connection.writer.send(&Frame::Request { call: 0, request }).await?;
    let mut call = 0;
    loop {
        let received = timeout(SILENCE_TIMEOUT, connection.reader.receive()).await;
        if !arguments.reachability.allows(replica.address) {
            return Err(SubscriptionEnd::Silent);
        }
        let push = match received.map_err(|_| SubscriptionEnd::Silent)?? {
            Frame::Push(push) => push,
            Frame::Reply { reply: Reply::Refused(refusal), .. } => {
                return Err(SubscriptionEnd::Refused(refusal));
            }
            Frame::Reply { reply: Reply::Subscribed { committed }, .. } if committed < from => {
                return Err(SubscriptionEnd::Behind);
            }
            _ => continue,
        };
        let applied =
            arguments.settings.ask(ApplyPush(push)).await.map_err(|error| match error {
                kameo::error::SendError::HandlerError(error) => SubscriptionEnd::Apply(error),
                _ => SubscriptionEnd::Stopped,
            })?;
        if let Some(revision) = applied {
            call += 1;
            let request = Request::InForce { revision };
            connection.writer.send(&Frame::Request { call, request }).await?;
        }
    }
}
