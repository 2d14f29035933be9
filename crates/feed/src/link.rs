//! Connection to one control replica.

use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use juniper_clock::BootInstant;
use juniper_protocol::message::{QuarantineRequest, RouterUpdate};
use juniper_protocol::{
    BuildLevel, ClusterKey, Connection, FrameError, FrameReader, FrameWriter, Message,
    PeerIdentity, Push, Reply, Request, connect,
};
use juniper_types::{NodeId, RequestFingerprint};
use kameo::actor::ActorRef;
use rand::RngExt;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

use crate::actor::{FeedActor, LinkEvent, ReplicaEvent};
use crate::charge::{ChargeSender, PendingCharge, charge_result};
use crate::confirmation::ConfirmedView;
use crate::follow::FollowScope;
use crate::link_error::LinkError;
use crate::links::UNCONFIRMED_AFTER;
use crate::lookup::Lookup;

/// Timeout for connecting, handshake included.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval between confirmation requests to a replica.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(700);

/// Confirmation interval while no replica has confirmed anything recent yet: a node that has just started
/// serves no requests before the first confirmation.
const FIRST_CONFIRM_INTERVAL: Duration = Duration::from_millis(80);

/// Time without a reply after which the connection to a replica is closed.
const REPLY_TIMEOUT: Duration = Duration::from_millis(2_100);

/// Range of the delay before a reconnect, in milliseconds; random, so that the nodes that lost a
/// replica don't all reconnect at the same time.
const RECONNECT_DELAY_MS: std::ops::Range<u64> = 100..400;

/// Reconnect delay while no replica has confirmed anything yet: the node has just started, possibly
/// together with the replicas, and serves no requests before.
const FIRST_CONNECT_DELAY_MS: std::ops::Range<u64> = 20..80;

/// State of a link across its connections.
pub(crate) struct LinkContext {
    /// Replica at the other end.
    pub node: NodeId,
    /// Address of the replica, unless its node id encodes it.
    pub address: Option<SocketAddr>,
    /// Secret shared by all daemons of the cluster.
    pub key: ClusterKey,
    /// Identity of this node.
    pub own: PeerIdentity,
    /// Actor that receives the events of the link.
    pub feed: ActorRef<FeedActor>,
    /// Start of this node.
    pub started: BootInstant,
    /// View with its latest confirmation by any replica, if there was one.
    pub confirmed_view: watch::Receiver<Option<ConfirmedView>>,
    /// Commands to be sent to the replica.
    pub commands: mpsc::UnboundedReceiver<LinkCommand>,
    /// Scope of the updates that the replica is asked to push.
    pub scope: watch::Receiver<FollowScope>,
    /// Whether an earlier connection was established.
    pub has_connected: bool,
}

/// Commands that a link sends to its replica.
pub(crate) enum LinkCommand {
    /// Follow the replica with this scope from now on.
    Follow(FollowScope),
    /// Request the catalog if its version is higher than this one.
    Fetch(u64),
    /// Publish an update to the other routers.
    Publish(RouterUpdate),
    /// Subscribe to the updates of other routers that this replica relays, or unsubscribe.
    SubscribeRouters(bool),
    /// Charge a request to a limit.
    Charge(PendingCharge),
    /// Refund units of a charge.
    Refund { account: String, units: f64 },
    /// Record a request as quarantined.
    Quarantine(QuarantineRequest),
    /// Record the release of a request from quarantine.
    Release(RequestFingerprint),
    /// Look something up.
    LookUp(Lookup),
}

/// Keeps the replica followed until the feed stops.
pub(crate) async fn run(mut context: LinkContext) {
    let mut is_down_logged = false;
    loop {
        let mut connected = false;
        let Err(error) = follow(&mut context, &mut connected).await;
        is_down_logged &= !connected;
        if context.notify_feed(LinkEvent::Disconnected).await.is_err() {
            return;
        }
        if !is_down_logged {
            log::warn!("event=replica_lost replica={} reason=\"{error}\"", context.node);
            is_down_logged = true;
        }
        if matches!(error, LinkError::Stopped | LinkError::NoAddress) {
            return;
        }
        sleep(context.reconnect_delay()).await;
    }
}

impl LinkContext {
    /// Whether no replica has confirmed anything recent since this node started. A replica without a
    /// quorum confirms what was current before.
    fn is_starting(&self) -> bool {
        self.confirmed_view.borrow().as_ref().is_none_or(
            |ConfirmedView { confirmation, .. }| {
                confirmation.at < self.started && confirmation.at.elapsed() > UNCONFIRMED_AFTER
            },
        )
    }

    fn reconnect_delay(&self) -> Duration {
        let range = match self.is_starting() {
            true => FIRST_CONNECT_DELAY_MS,
            false => RECONNECT_DELAY_MS,
        };
        Duration::from_millis(rand::rng().random_range(range))
    }

    async fn notify_feed(&self, event: LinkEvent) -> Result<(), LinkError> {
        let event = ReplicaEvent { node: self.node, event };
        self.feed.tell(event).await.map_err(|_| LinkError::Stopped)
    }
}

/// Capacity of the queue between the reading task and the link, in messages.
const FRAME_QUEUE_CAPACITY: usize = 16;

/// Confirmation request without a reply.
struct PendingConfirmation {
    /// Id of the call.
    call: u64,
    /// Time of the request on the clock that counts suspensions, so that a suspension makes the
    /// confirmation older.
    sent_at: BootInstant,
    /// Time of the request on the clock that stops during suspensions, so that a suspended node
    /// doesn't take its replicas for dead.
    sent_monotonic: Instant,
}

/// Established connection.
struct Session {
    /// Replica at the other end.
    replica: NodeId,
    writer: FrameWriter,
    /// Id of the latest call.
    last_call: u64,
    /// Confirmation requests without a reply, oldest first.
    pending_confirmations: VecDeque<PendingConfirmation>,
    /// Whether the replica has confirmed anything on this connection.
    has_confirmed: bool,
    /// Charges without a reply, by call id.
    pending_charges: HashMap<u64, ChargeSender>,
    /// Lookups of stream origins without a reply, by call id.
    pending_lookups: HashMap<u64, Lookup>,
    /// Whether the replica pushes the servers that all replicas know, rather than those that it
    /// observed itself.
    is_fleet_wide: bool,
    /// Build level of the replica.
    level: BuildLevel,
}

impl Session {
    fn new(replica: NodeId, writer: FrameWriter, level: BuildLevel) -> Self {
        Session {
            replica,
            writer,
            last_call: 0,
            pending_confirmations: VecDeque::new(),
            has_confirmed: false,
            pending_charges: HashMap::new(),
            pending_lookups: HashMap::new(),
            is_fleet_wide: false,
            level,
        }
    }

    /// Asks the replica to push updates. A replica of an earlier build pushes only its own
    /// observations.
    async fn follow(&mut self, scope: FollowScope) -> Result<(), LinkError> {
        let supports_fleet = self.level >= BuildLevel::FOLLOWS_FLEET;
        let request = match scope {
            FollowScope::Nothing => return Ok(()),
            FollowScope::Fleet { servers } if supports_fleet => {
                self.is_fleet_wide = true;
                Request::FollowFleet { servers }
            }
            FollowScope::Own | FollowScope::Fleet { .. } => Request::Follow,
        };
        self.call(request).await.map(|_| ())
    }

    async fn write(&mut self, message: &Message) -> Result<(), LinkError> {
        match timeout(REPLY_TIMEOUT, self.writer.send(message)).await {
            Ok(sent) => sent.map(|_| ()).map_err(LinkError::Frame),
            Err(_) => Err(LinkError::Unresponsive),
        }
    }

    /// Sends a call and returns its id.
    async fn call(&mut self, request: Request) -> Result<u64, LinkError> {
        self.last_call += 1;
        let call = self.last_call;
        self.write(&Message::Request { call, request }).await?;
        Ok(call)
    }

    /// Asks the replica to confirm how current it is.
    async fn confirm(&mut self) -> Result<(), LinkError> {
        let oldest = self.pending_confirmations.front();
        if oldest.is_some_and(|oldest| oldest.sent_monotonic.elapsed() > REPLY_TIMEOUT) {
            return Err(LinkError::Unresponsive);
        }
        let (sent_at, sent_monotonic) = (BootInstant::now(), Instant::now());
        let call = self.call(Request::Confirm).await?;
        self.pending_confirmations.push_back(PendingConfirmation { call, sent_at, sent_monotonic });
        Ok(())
    }

    async fn execute(&mut self, command: LinkCommand) -> Result<(), LinkError> {
        match command {
            LinkCommand::Publish(update) => self.write(&Message::RouterUpdate(update)).await,
            LinkCommand::SubscribeRouters(wanted) => {
                self.call(Request::RelayRouterUpdates { enabled: wanted }).await.map(|_| ())
            }
            LinkCommand::Charge(PendingCharge { charge, answer }) => {
                self.pending_charges.retain(|_, waiting| !waiting.is_closed());
                let call = self.call(Request::Charge(charge)).await?;
                self.pending_charges.insert(call, answer);
                Ok(())
            }
            LinkCommand::Refund { account, units } => {
                self.call(Request::Refund { account, units }).await.map(|_| ())
            }
            LinkCommand::Quarantine(request) => {
                self.call(Request::Quarantine(request)).await.map(|_| ())
            }
            LinkCommand::LookUp(lookup) => {
                if self.level < BuildLevel::FOLLOWS_FLEET {
                    return Ok(());
                }
                self.pending_lookups.retain(|_, waiting| !waiting.is_abandoned());
                let call = self.call(lookup.request()).await?;
                self.pending_lookups.insert(call, lookup);
                Ok(())
            }
            LinkCommand::Release(request) => self.call(Request::Release(request)).await.map(|_| ()),
            LinkCommand::Follow(scope) => self.follow(scope).await,
            LinkCommand::Fetch(above) => self.call(Request::Catalog { above }).await.map(|_| ()),
        }
    }

    /// Removes the confirmation request that `call` replies to together with all earlier ones, and
    /// returns its time. Replies come in any order; one to a call of another kind removes nothing.
    fn take_confirmation(&mut self, call: u64) -> Option<BootInstant> {
        let index = self.pending_confirmations.iter().position(|pending| pending.call == call)?;
        self.pending_confirmations.drain(..=index).next_back().map(|pending| pending.sent_at)
    }

    /// Converts a message of the replica to an event for the feed, if it is one.
    fn event_of(&mut self, message: Message) -> Option<LinkEvent> {
        match message {
            Message::Push(Push::Fleet(update)) => Some(LinkEvent::Fleet(update)),
            Message::Push(Push::Instances { observed, is_complete, removed }) => {
                let is_fleet_wide = self.is_fleet_wide;
                Some(LinkEvent::Instances { observed, is_complete, removed, is_fleet_wide })
            }
            Message::Unknown { .. } => {
                log::warn!("event=message_unknown from=replica");
                None
            }
            Message::Push(Push::Renewals(update)) => Some(LinkEvent::Renewals(update)),
            Message::RelayedUpdate(updates) => Some(LinkEvent::RouterUpdates(updates)),
            Message::Reply { reply: Reply::Catalog(body), .. } => Some(LinkEvent::Catalog(body)),
            Message::Reply { call, reply } => {
                if let Some(answer) = self.pending_charges.remove(&call) {
                    // The caller may have stopped waiting.
                    let _ = answer.send(charge_result(reply));
                    return None;
                }
                if let Some(lookup) = self.pending_lookups.remove(&call) {
                    lookup.pass_on(reply);
                    return None;
                }
                let sent_at = self.take_confirmation(call)?;
                let Reply::Confirmed { age_ms, revision, routers, weights } = reply else {
                    return None;
                };
                if !std::mem::replace(&mut self.has_confirmed, true) {
                    log::info!(
                        "event=replica_confirmed replica={} age_ms={age_ms} revision={revision} \
                         routers={routers}",
                        self.replica
                    );
                }
                let at = sent_at.before(Duration::from_millis(age_ms));
                Some(LinkEvent::Confirmed { at, revision, routers, weights })
            }
            _ => None,
        }
    }
}

/// Connects and follows the replica until the connection ends. Sets `connected` once the connection
/// is established.
async fn follow(context: &mut LinkContext, connected: &mut bool) -> Result<Infallible, LinkError> {
    let encoded_address = || context.node.address().map(SocketAddr::V4);
    let address = context.address.or_else(encoded_address).ok_or(LinkError::NoAddress)?;
    let attempt = connect(address, &context.key, &context.own);
    let connection = timeout(CONNECT_TIMEOUT, attempt).await;
    let Connection { peer, level, reader, writer } =
        connection.map_err(|_| LinkError::ConnectTimeout)??;
    *connected = true;
    // Commands queued for an earlier connection don't apply to this one.
    while context.has_connected && context.commands.try_recv().is_ok() {}
    context.has_connected = true;
    let scope = *context.scope.borrow();
    log::info!("event=replica_followed replica={} part={scope:?}", context.node);
    let mut session = Session::new(context.node, writer, level);
    session.follow(scope).await?;
    if scope != FollowScope::Nothing {
        context.notify_feed(LinkEvent::Connected { zone: peer.zone }).await?;
    }
    let (frames, frames_received) = mpsc::channel(FRAME_QUEUE_CAPACITY);
    let reader_task = tokio::spawn(read_frames(reader, frames));
    let result = exchange(context, &mut session, frames_received).await;
    reader_task.abort();
    result
}

/// Reads frames in a task of its own, because reading a frame isn't cancel-safe.
async fn read_frames(mut reader: FrameReader, frames: mpsc::Sender<Result<Message, FrameError>>) {
    loop {
        let frame = reader.receive().await;
        let has_failed = frame.is_err();
        if frames.send(frame).await.is_err() || has_failed {
            return;
        }
    }
}

/// Sends confirmation requests and commands, and forwards received messages as events.
async fn exchange(
    context: &mut LinkContext,
    session: &mut Session,
    mut frames_received: mpsc::Receiver<Result<Message, FrameError>>,
) -> Result<Infallible, LinkError> {
    let mut ticks = interval(CONFIRM_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            frame = frames_received.recv() => {
                let message = frame.ok_or(LinkError::Frame(FrameError::Closed))??;
                if let Some(event) = session.event_of(message) {
                    context.notify_feed(event).await?;
                }
            }
            _ = ticks.tick() => {
                if context.is_starting() {
                    ticks.reset_after(FIRST_CONFIRM_INTERVAL);
                }
                session.confirm().await?;
            }
            command = context.commands.recv() => {
                session.execute(command.ok_or(LinkError::Stopped)?).await?;
            }
        }
    }
}
