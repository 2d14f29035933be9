//! A control replica that says what it is told to.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use juniper_catalog::Catalog;
use juniper_protocol::message::{
    CatalogBody, ChargeAnswer, Cleared, Crash, CrashNews, FleetNews, LimitCharge, QuarantineCall,
    Reachability, RelayedNews, RouterNews, ServerLimitNews, ServerNoticeNews,
};
use juniper_protocol::{
    ClusterKey, Connection, Message, PeerRole, Push, Refusal, Reply, Request, accept,
};
use juniper_registry::{InstanceName, InstanceReport, ObservedInstance};
use juniper_types::{NodeId, ZoneName};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{broadcast, mpsc};

use super::{KEY, identity};

const REVISION: u64 = 4;

struct Said {
    node: NodeId,
    catalog: Catalog,
    reports: Mutex<Vec<InstanceReport>>,
    confirms: AtomicBool,
    /// It answers one question for a confirmation only, behind the answer to another call.
    confirms_once_late: AtomicBool,
    /// Tells connections that servers were heard.
    heard: broadcast::Sender<()>,
    /// Routers that it says follow it.
    routers: AtomicU32,
    /// What it does with charges.
    charging: Mutex<Charging>,
    /// Charges that came.
    charges: Mutex<Vec<LimitCharge>>,
    /// Units that were given back.
    given_back: Mutex<Vec<f64>>,
    /// What the gateway has told the other routers.
    told: Mutex<Vec<RouterNews>>,
    /// Requests that the gateway asked to have recorded as in quarantine.
    quarantined: Mutex<Vec<QuarantineCall>>,
    /// What other routers tell the gateway.
    relayed: broadcast::Sender<RelayedNews>,
}

/// What a replica does with charges.
#[derive(Clone, Copy, Debug)]
pub enum Charging {
    Admits,
    /// After 200 ms.
    AdmitsLate,
    Refuses {
        pause_ms: u64,
    },
    OwnsNothing,
    IsSilent,
}

pub struct FakeControl {
    pub node: NodeId,
    said: Arc<Said>,
}

impl FakeControl {
    pub async fn start(catalog: Catalog, reports: Vec<InstanceReport>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let port = listener.local_addr().expect("bound").port();
        let node = NodeId::of_address(super::loopback(port));
        let said = Arc::new(Said {
            node,
            catalog,
            reports: Mutex::new(reports),
            confirms: AtomicBool::new(false),
            confirms_once_late: AtomicBool::new(false),
            routers: AtomicU32::new(1),
            charging: Mutex::new(Charging::Admits),
            charges: Mutex::default(),
            given_back: Mutex::default(),
            heard: broadcast::Sender::new(4),
            told: Mutex::default(),
            quarantined: Mutex::default(),
            relayed: broadcast::Sender::new(16),
        });
        let serving = Arc::clone(&said);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(Arc::clone(&serving), stream));
            }
        });
        FakeControl { node, said }
    }

    /// From now on the replica confirms that it is current.
    pub fn confirm(&self) {
        self.said.confirms.store(true, Ordering::Relaxed);
    }

    /// From now on the replica answers one question for a confirmation, behind the answer to
    /// another call.
    pub fn confirm_once_late(&self) {
        self.said.confirms_once_late.store(true, Ordering::Relaxed);
        self.confirm();
    }

    /// So many routers follow the replica.
    pub fn set_routers(&self, routers: u32) {
        self.said.routers.store(routers, Ordering::Relaxed);
    }

    /// From now on the replica does this with charges.
    pub fn set_charging(&self, charging: Charging) {
        *self.said.charging.lock().expect("no panic") = charging;
    }

    /// Charges that came.
    pub fn charges(&self) -> Vec<LimitCharge> {
        self.said.charges.lock().expect("no panic").clone()
    }

    /// Units that were given back.
    pub fn given_back(&self) -> Vec<f64> {
        self.said.given_back.lock().expect("no panic").clone()
    }

    /// The replica hears of another server and tells so.
    pub fn hear(&self, report: InstanceReport) {
        self.said.reports.lock().expect("no panic").push(report);
        // Nobody is told before somebody follows.
        let _ = self.said.heard.send(());
    }

    /// Another router tells the gateway something.
    pub fn relay(&self, from: u64, zone: &str, news: RouterNews) {
        let zone = ZoneName::new(zone).expect("a name");
        // Nobody is told before somebody follows.
        let _ = self.said.relayed.send(RelayedNews { from: NodeId(from), zone, news });
    }

    /// Servers that the gateway has told of sending requests to.
    pub fn told_sightings(&self) -> Vec<InstanceName> {
        let told = self.said.told.lock().expect("no panic");
        let sightings = told.iter().flat_map(|news| &news.sightings);
        sightings.map(|sighting| sighting.instance.clone()).collect()
    }

    /// Servers that the gateway has told of the end of requests on.
    pub fn told_ends(&self) -> Vec<InstanceName> {
        let told = self.said.told.lock().expect("no panic");
        let sightings: Vec<_> = told.iter().flat_map(|news| &news.sightings).collect();
        let server_of = |number: &u16| {
            let told = sightings.iter().find(|sighting| sighting.number == *number);
            told.expect("only requests that were told of end").instance.clone()
        };
        told.iter().flat_map(|news| news.ended.iter().map(server_of)).collect()
    }

    /// Requests that the gateway asked to have recorded as in quarantine.
    pub fn quarantined(&self) -> Vec<QuarantineCall> {
        self.said.quarantined.lock().expect("no panic").clone()
    }

    /// Ends of servers under requests that the gateway has told of, and those that it took back.
    pub fn told_crashes(&self) -> (Vec<Crash>, Vec<Cleared>) {
        let told = self.said.told.lock().expect("no panic");
        let crashes = told.iter().filter_map(|news| news.crashes.clone());
        let mut all = CrashNews::default();
        for news in crashes {
            all.crashes.extend(news.crashes);
            all.cleared.extend(news.cleared);
        }
        (all.crashes, all.cleared)
    }

    /// Servers whose reachability the gateway has told of.
    pub fn told_reachability(&self) -> Vec<Reachability> {
        let told = self.said.told.lock().expect("no panic");
        told.iter().flat_map(|news| news.reachability.clone()).collect()
    }

    /// What the gateway has told of servers that state what they take.
    pub fn told_limits(&self) -> Vec<ServerLimitNews> {
        let told = self.said.told.lock().expect("no panic");
        told.iter().flat_map(|news| news.server_limits.clone().unwrap_or_default()).collect()
    }

    /// What the gateway has told of what servers asked of it.
    pub fn told_notices(&self) -> Vec<ServerNoticeNews> {
        let told = self.said.told.lock().expect("no panic");
        told.iter().flat_map(|news| news.notices.clone().unwrap_or_default()).collect()
    }

    /// From now on it doesn't.
    pub fn stop_confirming(&self) {
        self.said.confirms.store(false, Ordering::Relaxed);
    }
}

impl Said {
    /// Waits before a charge is answered, if the replica is to answer charges late.
    async fn dawdle(&self, request: &Request) {
        let is_late = matches!(*self.charging.lock().expect("no panic"), Charging::AdmitsLate);
        if is_late && matches!(request, Request::Charge(_)) {
            tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        }
    }
}

async fn serve(said: Arc<Said>, stream: TcpStream) {
    let key = ClusterKey::from_text(KEY).expect("long enough");
    let own = identity(PeerRole::Control, said.node.0);
    let Ok(Connection { mut reader, mut writer, .. }) = accept(stream, &key, &own).await else {
        return;
    };
    let (sender, mut messages) = mpsc::unbounded_channel();
    // A frame must be read whole, so a task of its own does it.
    tokio::spawn(async move {
        while let Ok(message) = reader.receive().await {
            if sender.send(message).is_err() {
                return;
            }
        }
    });
    let mut held_back = HeldBack::default();
    let mut heard = said.heard.subscribe();
    let mut relayed = said.relayed.subscribe();
    loop {
        let to_send = tokio::select! {
            message = messages.recv() => match message {
                Some(Message::Request { call, request }) => {
                    said.dawdle(&request).await;
                    held_back.order(&said, &request, answers(&said, call, &request))
                }
                Some(Message::RouterNews(news)) => {
                    said.told.lock().expect("no panic").push(news);
                    continue;
                }
                Some(_) => continue,
                None => return,
            },
            _ = heard.recv() => vec![instances(&said)],
            told = relayed.recv() => vec![Message::RelayedNews(told.into_iter().collect())],
        };
        for message in to_send {
            if writer.send(&message).await.is_err() {
                return;
            }
        }
    }
}

fn answers(said: &Said, call: u64, request: &Request) -> Vec<Message> {
    let reply = |reply| Message::Reply { call, reply };
    match request {
        Request::Follow => vec![reply(Reply::Done), news(said), instances(said)],
        Request::Catalog { .. } => {
            let body = minicbor::to_vec(&said.catalog).expect("encodes");
            vec![reply(Reply::Catalog(Some(CatalogBody { version: said.catalog.version, body })))]
        }
        Request::Confirm if said.confirms.load(Ordering::Relaxed) => {
            vec![reply(Reply::Confirmed {
                age_ms: 0,
                revision: REVISION,
                routers: said.routers.load(Ordering::Relaxed),
            })]
        }
        Request::Charge(charge) => charged(said, charge).map(reply).into_iter().collect(),
        Request::Quarantine(call) => {
            said.quarantined.lock().expect("no panic").push(call.clone());
            vec![reply(Reply::Done)]
        }
        Request::GiveBack { units, .. } => {
            said.given_back.lock().expect("no panic").push(*units);
            vec![reply(Reply::Done)]
        }
        _ => vec![reply(Reply::Refused(Refusal::NoQuorum))],
    }
}

fn charged(said: &Said, charge: &LimitCharge) -> Option<Reply> {
    said.charges.lock().expect("no panic").push(charge.clone());
    let answer = |refused_for_ms| {
        Some(Reply::Charged(ChargeAnswer { refused_for_ms, fleet_per_second: 0.0 }))
    };
    match *said.charging.lock().expect("no panic") {
        Charging::Admits | Charging::AdmitsLate => answer(None),
        Charging::Refuses { pause_ms } => answer(Some(pause_ms)),
        Charging::OwnsNothing => Some(Reply::Refused(Refusal::NoQuorum)),
        Charging::IsSilent => None,
    }
}

fn news(said: &Said) -> Message {
    Message::Push(Push::Fleet(FleetNews {
        revision: REVISION,
        catalog_version: said.catalog.version,
        weights: BTreeMap::new(),
        departures: Vec::new(),
        members: vec![said.node],
        quarantine: None,
        departed_through: Vec::new(),
        member_zones: Vec::new(),
    }))
}

fn instances(said: &Said) -> Message {
    let heard = said.reports.lock().expect("no panic").clone().into_iter();
    let heard = heard.map(|report| ObservedInstance { report, silent: false, age_ms: 0 }).collect();
    Message::Push(Push::Instances { heard, whole: true, gone: Vec::new() })
}

/// Answers to the first question for a confirmation and to another call, until both have come.
#[derive(Default)]
struct HeldBack {
    confirmed: Vec<Message>,
    listening: Vec<Message>,
    is_over: bool,
}

impl HeldBack {
    fn order(&mut self, said: &Said, request: &Request, answers: Vec<Message>) -> Vec<Message> {
        if !said.confirms_once_late.load(Ordering::Relaxed) {
            return answers;
        }
        match request {
            Request::Confirm if self.is_over || !self.confirmed.is_empty() => return Vec::new(),
            Request::Confirm => self.confirmed = answers,
            Request::ListenToRouters { .. } => self.listening = answers,
            _ => return answers,
        }
        self.is_over = !self.confirmed.is_empty() && !self.listening.is_empty();
        match self.is_over {
            true => self.listening.drain(..).chain(self.confirmed.drain(..)).collect(),
            false => Vec::new(),
        }
    }
}
