//! The connection to one control replica.

use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use juniper_clock::BootInstant;
use juniper_protocol::message::{QuarantineRequest, RouterUpdate};
use juniper_protocol::{
    BuildLevel, ClusterKey, Connection, FrameError, FrameReader, FrameWriter, HandshakeError,
    Message, PeerIdentity, Push, Reply, Request, connect,
};
use juniper_types::{NodeId, RequestFingerprint};
use kameo::actor::ActorRef;
use rand::RngExt;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

use crate::actor::{FeedActor, LinkEvent, ReplicaEvent};
use crate::charge::{ChargeSender, PendingCharge, read_reply};
use crate::follow::FollowedPart;

/// Time within which a connection must stand.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Pace at which a replica is asked how current it is.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(700);

/// Pace while no replica has confirmed anything yet: the node has just started and
/// serves nobody before.
const FIRST_CONFIRM_INTERVAL: Duration = Duration::from_millis(80);

/// A replica that leaves a question unanswered for so long is taken for dead.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_100);

/// Range of the pause before the next attempt to connect, in milliseconds. It is
/// random, so that nodes that lost a replica together don't return to it together.
const RECONNECT_PAUSE_MS: std::ops::Range<u64> = 100..400;

/// The same while no replica has confirmed anything yet: the node has just started, perhaps
/// together with the replicas, and serves nobody before.
const FIRST_CONNECT_PAUSE_MS: std::ops::Range<u64> = 20..80;

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
enum LinkEnd {
    #[error("can't connect in time")]
    ConnectTimeout,
    #[error("can't connect: {0}")]
    Connect(#[from] HandshakeError),
    #[error("connection failed: {0}")]
    Frame(#[from] FrameError),
    #[error("the replica fell silent")]
    Silent,
    #[error("the replica's number is no address")]
    NoAddress,
    #[error("the feed has ended")]
    Stopped,
}

/// What a link works with.
pub(crate) struct LinkParts {
    /// The replica.
    pub node: NodeId,
    /// Where it is reached, if its number isn't its address.
    pub address: Option<SocketAddr>,
    /// Secret shared by the daemons.
    pub key: ClusterKey,
    /// Who this node is.
    pub own: PeerIdentity,
    /// Gets everything that the replica says.
    pub feed: ActorRef<FeedActor>,
    /// Whether a quorum has confirmed anything yet.
    pub confirmed_at: watch::Receiver<Option<BootInstant>>,
    /// What to send to the replica.
    pub commands: mpsc::UnboundedReceiver<LinkCommand>,
    /// What the replica is asked to push.
    pub part: watch::Receiver<FollowedPart>,
    /// Whether a connection has stood before.
    pub has_connected: bool,
}

/// What a link is to send.
pub(crate) enum LinkCommand {
    /// Have the replica push this from now on.
    Follow(FollowedPart),
    /// Ask for the configuration above this version.
    Fetch(u64),
    /// Tell the other routers.
    Tell(RouterUpdate),
    /// Listen to what other routers tell through this replica, or no longer.
    Listen(bool),
    /// Count a request against a limit.
    Charge(PendingCharge),
    /// No server has run what was counted.
    GiveBack { account: String, units: f64 },
    /// Record that a request is sent to no server any more.
    Quarantine(QuarantineRequest),
    /// Record that a request may be sent again.
    Release(RequestFingerprint),
}

/// Follows the replica until the feed ends.
pub(crate) async fn run(mut parts: LinkParts) {
    let mut known_down = false;
    loop {
        let mut connected = false;
        let Err(end) = follow(&mut parts, &mut connected).await;
        known_down &= !connected;
        if parts.tell(LinkEvent::Disconnected).await.is_err() {
            return;
        }
        if !known_down {
            log::warn!("event=replica_lost replica={} reason=\"{end}\"", parts.node);
            known_down = true;
        }
        if matches!(end, LinkEnd::Stopped | LinkEnd::NoAddress) {
            return;
        }
        sleep(parts.reconnect_pause()).await;
    }
}

impl LinkParts {
    fn reconnect_pause(&self) -> Duration {
        let range = match self.confirmed_at.borrow().is_none() {
            true => FIRST_CONNECT_PAUSE_MS,
            false => RECONNECT_PAUSE_MS,
        };
        Duration::from_millis(rand::rng().random_range(range))
    }

    async fn tell(&self, event: LinkEvent) -> Result<(), LinkEnd> {
        let event = ReplicaEvent { node: self.node, event };
        self.feed.tell(event).await.map_err(|_| LinkEnd::Stopped)
    }
}

/// Messages that wait to be taken in; the replica is read no faster.
const WAITING_FRAMES: usize = 16;

/// A question for a confirmation that isn't answered.
struct Question {
    /// Number of the call.
    call: u64,
    /// When it was asked; a suspension makes the confirmation older.
    asked: BootInstant,
    /// The same on the clock that stands still in a suspension: a replica isn't taken for dead
    /// because this node has slept.
    asked_awake: Instant,
}

/// A connection that stands.
struct Session {
    writer: FrameWriter,
    /// Number of the latest call.
    last_call: u64,
    /// Questions for a confirmation that aren't answered, with the time of each.
    confirms: VecDeque<Question>,
    /// Charges that aren't answered, by the number of the call.
    charges: HashMap<u64, ChargeSender>,
    /// Whether what comes is what all replicas know, and not what this one has heard itself.
    follows_fleet: bool,
    /// What the replica understands.
    level: BuildLevel,
}

impl Session {
    fn new(writer: FrameWriter, level: BuildLevel) -> Self {
        Session {
            writer,
            last_call: 0,
            confirms: VecDeque::new(),
            charges: HashMap::new(),
            follows_fleet: false,
            level,
        }
    }

    /// Has the replica push what it knows. One of an earlier build pushes what it has heard itself
    /// and nothing else.
    async fn follow(&mut self, part: FollowedPart) -> Result<(), LinkEnd> {
        let knows_fleet = self.level >= BuildLevel::FOLLOWS_FLEET;
        let request = match part {
            FollowedPart::Nothing => return Ok(()),
            FollowedPart::Fleet { servers } if knows_fleet => {
                self.follows_fleet = true;
                Request::FollowFleet { servers }
            }
            FollowedPart::Own | FollowedPart::Fleet { .. } => Request::Follow,
        };
        self.call(request).await.map(|_| ())
    }

    async fn write(&mut self, message: &Message) -> Result<(), LinkEnd> {
        match timeout(SILENCE_LIMIT, self.writer.send(message)).await {
            Ok(sent) => sent.map(|_| ()).map_err(LinkEnd::Frame),
            Err(_) => Err(LinkEnd::Silent),
        }
    }

    /// Sends a call and returns its number.
    async fn call(&mut self, request: Request) -> Result<u64, LinkEnd> {
        self.last_call += 1;
        let call = self.last_call;
        self.write(&Message::Request { call, request }).await?;
        Ok(call)
    }

    /// Asks the replica how current it is.
    async fn confirm(&mut self) -> Result<(), LinkEnd> {
        let oldest = self.confirms.front();
        if oldest.is_some_and(|oldest| oldest.asked_awake.elapsed() > SILENCE_LIMIT) {
            return Err(LinkEnd::Silent);
        }
        let (asked, asked_awake) = (BootInstant::now(), Instant::now());
        let call = self.call(Request::Confirm).await?;
        self.confirms.push_back(Question { call, asked, asked_awake });
        Ok(())
    }

    async fn carry_out(&mut self, command: LinkCommand) -> Result<(), LinkEnd> {
        match command {
            LinkCommand::Tell(news) => self.write(&Message::RouterUpdate(news)).await,
            LinkCommand::Listen(wanted) => {
                self.call(Request::RelayRouterUpdates { enabled: wanted }).await.map(|_| ())
            }
            LinkCommand::Charge(PendingCharge { charge, answer }) => {
                self.charges.retain(|_, waiting| !waiting.is_closed());
                let call = self.call(Request::Charge(charge)).await?;
                self.charges.insert(call, answer);
                Ok(())
            }
            LinkCommand::GiveBack { account, units } => {
                self.call(Request::Refund { account, units }).await.map(|_| ())
            }
            LinkCommand::Quarantine(call) => self.call(Request::Quarantine(call)).await.map(|_| ()),
            LinkCommand::Release(request) => self.call(Request::Release(request)).await.map(|_| ()),
            LinkCommand::Follow(part) => self.follow(part).await,
            LinkCommand::Fetch(above) => self.call(Request::Catalog { above }).await.map(|_| ()),
        }
    }

    /// When the question that `call` answers was asked. Replies come in any order: one to another
    /// call says nothing of the questions before it.
    fn asked(&mut self, call: u64) -> Option<BootInstant> {
        let place = self.confirms.iter().position(|question| question.call == call)?;
        self.confirms.drain(..=place).next_back().map(|question| question.asked)
    }

    /// What a message of the replica means for the feed, if anything.
    fn event_of(&mut self, message: Message) -> Option<LinkEvent> {
        match message {
            Message::Push(Push::Fleet(news)) => Some(LinkEvent::News(news)),
            Message::Push(Push::Instances { observed, is_complete, removed }) => {
                let of_fleet = self.follows_fleet;
                Some(LinkEvent::Instances {
                    heard: observed,
                    whole: is_complete,
                    gone: removed,
                    of_fleet,
                })
            }
            Message::Unknown { .. } => {
                log::warn!("event=message_unknown from=replica");
                None
            }
            Message::Push(Push::Renewals(news)) => Some(LinkEvent::Renewals(news)),
            Message::RelayedUpdate(told) => Some(LinkEvent::Told(told)),
            Message::Reply { reply: Reply::Catalog(body), .. } => Some(LinkEvent::Catalog(body)),
            Message::Reply { call, reply } => {
                if let Some(answer) = self.charges.remove(&call) {
                    // The request may have been given up.
                    let _ = answer.send(read_reply(reply));
                    return None;
                }
                let asked = self.asked(call)?;
                let Reply::Confirmed { age_ms, revision, routers } = reply else { return None };
                let at = asked.before(Duration::from_millis(age_ms));
                Some(LinkEvent::Confirmed { at, revision, routers })
            }
            _ => None,
        }
    }
}

/// Connects and follows until the connection ends. Sets `connected` once it stands.
async fn follow(parts: &mut LinkParts, connected: &mut bool) -> Result<Infallible, LinkEnd> {
    let of_number = || parts.node.address().map(SocketAddr::V4);
    let address = parts.address.or_else(of_number).ok_or(LinkEnd::NoAddress)?;
    let opening = connect(address, &parts.key, &parts.own);
    let opened = timeout(CONNECT_TIMEOUT, opening).await;
    let Connection { peer, level, reader, writer } =
        opened.map_err(|_| LinkEnd::ConnectTimeout)??;
    *connected = true;
    // What was to be sent on an earlier connection concerns no other one.
    while parts.has_connected && parts.commands.try_recv().is_ok() {}
    parts.has_connected = true;
    let part = *parts.part.borrow();
    log::info!("event=replica_followed replica={} part={part:?}", parts.node);
    let mut session = Session::new(writer, level);
    session.follow(part).await?;
    if part != FollowedPart::Nothing {
        parts.tell(LinkEvent::Connected { zone: peer.zone }).await?;
    }
    let (frames, received) = mpsc::channel(WAITING_FRAMES);
    let reading = tokio::spawn(read_frames(reader, frames));
    let ended = exchange(parts, &mut session, received).await;
    reading.abort();
    ended
}

/// Reading a frame can't be interrupted, so a task of its own does it.
async fn read_frames(mut reader: FrameReader, frames: mpsc::Sender<Result<Message, FrameError>>) {
    loop {
        let frame = reader.receive().await;
        let ended = frame.is_err();
        if frames.send(frame).await.is_err() || ended {
            return;
        }
    }
}

/// Asks for confirmations, carries commands out and hands on what comes.
async fn exchange(
    parts: &mut LinkParts,
    session: &mut Session,
    mut received: mpsc::Receiver<Result<Message, FrameError>>,
) -> Result<Infallible, LinkEnd> {
    let mut ticks = interval(CONFIRM_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            frame = received.recv() => {
                let message = frame.ok_or(LinkEnd::Frame(FrameError::Closed))??;
                if let Some(event) = session.event_of(message) {
                    parts.tell(event).await?;
                }
            }
            _ = ticks.tick() => {
                if parts.confirmed_at.borrow().is_none() {
                    ticks.reset_after(FIRST_CONFIRM_INTERVAL);
                }
                session.confirm().await?;
            }
            command = parts.commands.recv() => {
                session.carry_out(command.ok_or(LinkEnd::Stopped)?).await?;
            }
        }
    }
}
