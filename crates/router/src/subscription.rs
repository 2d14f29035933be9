//! Keeps the settings in force up to date from the control replicas.
//!
//! [`SettingsActor`] owns what is in force and is the only place that replaces
//! it. The subscription task connects to one replica at a time, hands every
//! push to the actor and reports what came into force.

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
use crate::in_force::{InForce, MissedRevision};
use crate::reachability::Reachability;
use crate::settings_file::{SettingsFile, SettingsFileError};

/// A replica that says nothing for this long is taken for dead; it pushes
/// [`Push::Alive`] every second.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);

/// Time within which a connection must stand; a replica that is cut off or
/// frozen accepts none.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Range of the pause before the next replica is tried, in milliseconds.
const RECONNECT_PAUSE_MS: std::ops::Range<u64> = 50..400;

/// Longest wait for a quorum to confirm the floor before it is asked again.
const FLOOR_TIMEOUT: Duration = Duration::from_secs(5);

/// What requests see of the settings.
#[derive(Clone, Debug, Default)]
pub struct SettingsView {
    /// The settings in force.
    pub in_force: Arc<InForce>,
    /// When a quorum last confirmed that they are the latest, if ever.
    pub confirmed_at: Option<BootInstant>,
}

/// Why a push was not applied.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// A revision is missing in between.
    #[error(transparent)]
    Missed(#[from] MissedRevision),
    /// The settings file could not be written, so the revision must not come into force.
    #[error(transparent)]
    File(#[from] SettingsFileError),
}

/// Time in which everything is read that lay in the socket when the machine woke up. Signs of life
/// come once a second.
const READ_AGAIN: Duration = Duration::from_millis(1_200);

/// Owns the settings in force.
#[derive(Actor)]
pub struct SettingsActor {
    view: watch::Sender<SettingsView>,
    file: Option<SettingsFile>,
    /// Revisions below it never come into force: a quorum had confirmed it
    /// when this process started without knowing what it had in force before.
    floor: Option<Revision>,
    /// Settings on their way up to the floor. A replica that still has every
    /// change sends them one by one, also those below the floor.
    staged: Option<Arc<InForce>>,
    suspensions: SuspensionWatch,
    /// Until when signs of life confirm nothing, after a suspension.
    distrusted_until: Option<Instant>,
}

impl SettingsActor {
    /// Starts from the settings file, if there is one.
    pub fn new(
        view: watch::Sender<SettingsView>,
        file: Option<SettingsFile>,
    ) -> Result<Self, SettingsFileError> {
        let kept = match &file {
            Some(file) => file.read()?,
            None => None,
        };
        let floor = kept.as_ref().map(|(revision, _)| *revision);
        if let Some((revision, tree)) = kept {
            log::info!("event=settings_restored revision={revision}");
            let in_force = Arc::new(InForce::new(revision, tree));
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

    /// Whether a sign of life may have lain in the socket while the machine was suspended: nobody
    /// knows how old it is.
    fn may_be_old(&mut self) -> bool {
        let now = Instant::now();
        if self.suspensions.check().is_some() {
            self.distrusted_until = Some(now + READ_AGAIN);
        }
        self.distrusted_until.is_some_and(|until| now < until)
    }

    fn put_in_force(&mut self, next: InForce) -> Result<Revision, ApplyError> {
        if let Some(file) = &self.file {
            file.write(next.revision, next.tree())?;
        }
        let revision = next.revision;
        self.view.send_modify(|view| view.in_force = Arc::new(next));
        log::info!("event=settings_in_force revision={revision}");
        Ok(revision)
    }
}

/// Whether a floor is known.
pub struct HasFloor;

impl Message<HasFloor> for SettingsActor {
    type Reply = bool;

    async fn handle(&mut self, _message: HasFloor, _context: &mut Context<Self, bool>) -> bool {
        self.floor.is_some()
    }
}

/// Sets the floor that a quorum confirmed.
pub struct SetFloor(pub Revision);

impl Message<SetFloor> for SettingsActor {
    type Reply = ();

    async fn handle(&mut self, message: SetFloor, _context: &mut Context<Self, ()>) {
        self.floor = Some(message.0);
    }
}

/// A push from a control replica. The reply is the revision that came into
/// force by it, if one did.
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
            // A replica that is behind this router can't vouch for its settings.
            if *committed >= in_force && !self.may_be_old() {
                let confirmed = BootInstant::now().before(Duration::from_millis(*confirmed_ms));
                self.view
                    .send_modify(|view| view.confirmed_at = view.confirmed_at.max(Some(confirmed)));
            }
            return Ok(None);
        }
        let staged = self.staged.clone();
        let current = staged.unwrap_or_else(|| self.view.borrow().in_force.clone());
        let Some(next) = current.after(message.0)? else {
            return Ok(None);
        };
        match self.floor {
            Some(floor) if next.revision >= floor => {
                self.staged = None;
                self.put_in_force(next).map(Some)
            }
            // Below the floor: wait for the changes up to it.
            _ => {
                self.staged = Some(Arc::new(next));
                Ok(None)
            }
        }
    }
}

/// Why one subscription ended.
#[derive(Debug, thiserror::Error)]
enum SubscriptionEnd {
    #[error("can't connect: {0}")]
    Connect(#[from] juniper_protocol::HandshakeError),
    #[error("connection failed: {0}")]
    Frame(#[from] juniper_protocol::FrameError),
    #[error("the replica fell silent")]
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

/// What the subscription task works with.
pub struct SubscriptionArguments {
    /// Settings of the process.
    pub config: Arc<RouterConfig>,
    /// Takes every push.
    pub settings: ActorRef<SettingsActor>,
    /// Calls to the control replicas.
    pub control: Arc<ControlClient>,
    /// The settings in force.
    pub view: watch::Receiver<SettingsView>,
    /// Counts bytes.
    pub traffic: Arc<Traffic>,
    /// Whom the node can reach.
    pub reachability: Reachability,
}

/// Runs subscriptions one after another, for ever.
pub async fn keep_subscribed(arguments: SubscriptionArguments) {
    learn_floor(&arguments.settings, &arguments.control).await;
    let replicas = replica_order(&arguments.config);
    for replica in replicas.iter().cycle() {
        let end = subscribe_once(replica, &arguments).await;
        let Err(end) = end else { continue };
        log::warn!("event=subscription_ended replica={} reason=\"{end}\"", replica.id);
        if matches!(end, SubscriptionEnd::Stopped) {
            return;
        }
        let asked_to_wait = match &end {
            SubscriptionEnd::Refused(Refusal::Overloaded { retry_after_ms }) => *retry_after_ms,
            _ => 0,
        };
        sleep(Duration::from_millis(asked_to_wait) + reconnect_pause()).await;
    }
}

/// The jitter keeps a herd of restarted routers from arriving together.
fn reconnect_pause() -> Duration {
    Duration::from_millis(rand::rng().random_range(RECONNECT_PAUSE_MS))
}

/// Without a settings file this process can't know which revision it had in
/// force before, so it asks a quorum for the latest and starts no lower.
async fn learn_floor(settings: &ActorRef<SettingsActor>, control: &ControlClient) {
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
        sleep(reconnect_pause()).await;
    }
}

/// Own zone first; the rest in an order that differs between routers, so that
/// subscriptions spread over the replicas.
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
    connection.count_on(&arguments.traffic);
    let request = Request::Subscribe { from };
    connection.writer.send(&Frame::Request { call: 0, request }).await?;
    let mut call = 0;
    loop {
        let received = timeout(SILENCE_LIMIT, connection.reader.receive()).await;
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
