//! The connection to one control replica.

use std::collections::VecDeque;
use std::time::Duration;

use juniper_protocol::message::Sighting;
use juniper_protocol::{
    ClusterKey, Connection, FrameError, FrameWriter, HandshakeError, Message, PeerIdentity, Push,
    Reply, Request, connect,
};
use juniper_types::NodeId;
use kameo::actor::ActorRef;
use rand::RngExt;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

use crate::actor::{FeedActor, LinkEvent};

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
    /// Secret shared by the daemons.
    pub key: ClusterKey,
    /// Who this node is.
    pub own: PeerIdentity,
    /// Gets everything that the replica says.
    pub feed: ActorRef<FeedActor>,
    /// Whether a quorum has confirmed anything yet.
    pub confirmed_at: watch::Receiver<Option<Instant>>,
    /// What to send to the replica.
    pub orders: mpsc::UnboundedReceiver<LinkOrder>,
}

/// What a link is to send.
pub(crate) enum LinkOrder {
    /// Ask for the configuration above this version.
    Fetch(u64),
    /// Tell of sightings.
    Tell(Vec<Sighting>),
}

/// Follows the replica until the feed ends.
pub(crate) async fn run(mut parts: LinkParts) {
    let mut known_down = false;
    loop {
        let mut connected = false;
        let end = follow(&mut parts, &mut connected).await;
        let Err(end) = end else { return };
        if connected {
            known_down = false;
            if parts.tell(LinkEvent::Disconnected).await.is_err() {
                return;
            }
        }
        if !known_down {
            log::warn!("event=replica_lost replica={} reason=\"{end}\"", parts.node);
            known_down = true;
        }
        if matches!(end, LinkEnd::Stopped | LinkEnd::NoAddress) {
            return;
        }
        sleep(reconnect_pause()).await;
    }
}

fn reconnect_pause() -> Duration {
    Duration::from_millis(rand::rng().random_range(RECONNECT_PAUSE_MS))
}

impl LinkParts {
    async fn tell(&self, event: LinkEvent) -> Result<(), LinkEnd> {
        self.feed.tell((self.node, event)).await.map_err(|_| LinkEnd::Stopped)
    }
}

/// Questions on their way, by their numbers.
#[derive(Default)]
struct Calls {
    last: u64,
    confirms: VecDeque<(u64, Instant)>,
}

impl Calls {
    async fn send(&mut self, writer: &mut FrameWriter, request: Request) -> Result<u64, LinkEnd> {
        self.last += 1;
        let message = Message::Request { call: self.last, request };
        match timeout(SILENCE_LIMIT, writer.send(&message)).await {
            Ok(sent) => sent.map(|_| self.last).map_err(LinkEnd::Frame),
            Err(_) => Err(LinkEnd::Silent),
        }
    }

    async fn tell(
        &mut self,
        writer: &mut FrameWriter,
        sightings: Vec<Sighting>,
    ) -> Result<(), LinkEnd> {
        let message = Message::Sightings(sightings);
        match timeout(SILENCE_LIMIT, writer.send(&message)).await {
            Ok(sent) => sent.map(|_| ()).map_err(LinkEnd::Frame),
            Err(_) => Err(LinkEnd::Silent),
        }
    }

    async fn confirm(&mut self, writer: &mut FrameWriter) -> Result<(), LinkEnd> {
        let oldest = self.confirms.front();
        if oldest.is_some_and(|(_, asked)| asked.elapsed() > SILENCE_LIMIT) {
            return Err(LinkEnd::Silent);
        }
        let asked = Instant::now();
        let call = self.send(writer, Request::Confirm).await?;
        self.confirms.push_back((call, asked));
        Ok(())
    }

    /// When the question that `call` answers was asked.
    fn asked(&mut self, call: u64) -> Option<Instant> {
        while let Some((number, asked)) = self.confirms.pop_front() {
            if number == call {
                return Some(asked);
            }
        }
        None
    }
}

async fn follow(parts: &mut LinkParts, connected: &mut bool) -> Result<(), LinkEnd> {
    let address = parts.node.address().ok_or(LinkEnd::NoAddress)?;
    let opening = connect(address.into(), &parts.key, &parts.own);
    let opened = timeout(CONNECT_TIMEOUT, opening).await;
    let connection = opened.map_err(|_| LinkEnd::ConnectTimeout)??;
    *connected = true;
    log::info!("event=replica_followed replica={}", parts.node);
    let Connection { peer, mut reader, mut writer } = connection;
    let mut calls = Calls::default();
    calls.send(&mut writer, Request::Follow).await?;
    parts.tell(LinkEvent::Connected { zone: peer.zone }).await?;
    let mut ticks = interval(CONFIRM_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (frames, mut received) = mpsc::channel(16);
    // Reading a frame can't be interrupted, so a task of its own does it.
    let reading = tokio::spawn(async move {
        loop {
            let frame = reader.receive().await;
            let ended = frame.is_err();
            if frames.send(frame).await.is_err() || ended {
                return;
            }
        }
    });
    let ended = loop {
        let step = tokio::select! {
            frame = received.recv() => match frame {
                Some(Ok(frame)) => take(parts, &mut calls, frame).await,
                Some(Err(error)) => Err(error.into()),
                None => Err(FrameError::Closed.into()),
            },
            _ = ticks.tick() => {
                if parts.confirmed_at.borrow().is_none() {
                    ticks.reset_after(FIRST_CONFIRM_INTERVAL);
                }
                calls.confirm(&mut writer).await
            }
            order = parts.orders.recv() => match order {
                Some(LinkOrder::Tell(sightings)) => calls.tell(&mut writer, sightings).await,
                Some(LinkOrder::Fetch(above)) => calls.send(&mut writer, Request::Catalog { above }).await.map(|_| ()),
                None => Err(LinkEnd::Stopped),
            },
        };
        if let Err(end) = step {
            break end;
        }
    };
    reading.abort();
    Err(ended)
}

async fn take(parts: &LinkParts, calls: &mut Calls, frame: Message) -> Result<(), LinkEnd> {
    let event = match frame {
        Message::Push(Push::Fleet(news)) => LinkEvent::News(news),
        Message::Push(Push::Instances { heard, whole }) => LinkEvent::Instances { heard, whole },
        Message::Sightings(sightings) => LinkEvent::Sightings(sightings),
        Message::Push(Push::Renewals(news)) => LinkEvent::Renewals(news),
        Message::Reply { reply: Reply::Catalog(body), .. } => LinkEvent::Catalog(body),
        Message::Reply { call, reply } => {
            let Some(asked) = calls.asked(call) else { return Ok(()) };
            let Reply::Confirmed { age_ms, revision, routers } = reply else { return Ok(()) };
            let at = asked.checked_sub(Duration::from_millis(age_ms)).unwrap_or(asked);
            LinkEvent::Confirmed { at, revision, routers }
        }
        _ => return Ok(()),
    };
    parts.tell(event).await
}
