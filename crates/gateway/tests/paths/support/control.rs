//! Control replica with configurable answers.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniper_catalog::Catalog;
use juniper_protocol::message::{
    BrittleServiceUpdate, CatalogBody, ChargeAnswer, Crash, CrashClearance, CrashUpdate,
    FleetUpdate, LimitCharge, QuarantineRequest, Reachability, RelayedUpdate, RenewalUpdate,
    RouterUpdate, ServerLimitUpdate, ServerNoticeUpdate,
};
use juniper_protocol::{
    ClusterKey, Connection, Message, PeerRole, Push, Refusal, Reply, Request, accept,
};
use juniper_registry::{InstanceName, InstanceReport, ObservedInstance};
use juniper_stream_origins::{ServedVersion, ServedVersions, StreamOrigin, StreamRecord};
use juniper_types::{NodeId, StreamKey, ZoneName};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{broadcast, mpsc};

use super::{KEY, identity};

const REVISION: u64 = 4;

struct ReplicaState {
    node: NodeId,
    catalog: Mutex<Catalog>,
    reports: Mutex<Vec<InstanceReport>>,
    confirms: AtomicBool,
    /// Confirms only once, after the answer to a later request.
    confirms_out_of_order: AtomicBool,
    /// Notifies connections that the catalog has changed.
    catalog_changes: broadcast::Sender<()>,
    /// Notifies connections that the list of servers has changed.
    server_changes: broadcast::Sender<()>,
    /// Number of routers in confirmations.
    routers: AtomicU32,
    /// Age of confirmations, in milliseconds.
    confirmation_age_ms: AtomicU64,
    /// Handling of charges.
    charge_handling: Mutex<ChargeHandling>,
    /// Charges received.
    charges: Mutex<Vec<LimitCharge>>,
    /// Units refunded.
    refunds: Mutex<Vec<f64>>,
    /// Updates that the gateway published to other routers.
    published: Mutex<Vec<RouterUpdate>>,
    /// Origins of streams, published by the gateway or added.
    stream_records: Mutex<Vec<StreamRecord>>,
    /// What the replica states of the versions that have served; the present ones if not set.
    served: Mutex<Option<ServedVersions>>,
    /// Quarantine requests of the gateway.
    quarantined: Mutex<Vec<QuarantineRequest>>,
    /// Rollout state, to be sent to the gateway.
    renewals: broadcast::Sender<RenewalUpdate>,
    /// Updates of other routers, to be sent to the gateway.
    peer_updates: broadcast::Sender<RelayedUpdate>,
}

/// How a replica handles charges.
#[derive(Clone, Copy, Debug)]
pub enum ChargeHandling {
    Admit,
    /// Admits after 200 ms.
    AdmitLate,
    Refuse {
        pause_ms: u64,
    },
    NotOwner,
    Ignore,
}

pub struct FakeControl {
    pub node: NodeId,
    state: Arc<ReplicaState>,
}

impl FakeControl {
    pub async fn start(catalog: Catalog, reports: Vec<InstanceReport>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let port = listener.local_addr().expect("bound").port();
        let node = NodeId::of_address(super::loopback(port));
        let state = Arc::new(ReplicaState {
            node,
            catalog: Mutex::new(catalog),
            reports: Mutex::new(reports),
            confirms: AtomicBool::new(false),
            confirms_out_of_order: AtomicBool::new(false),
            routers: AtomicU32::new(1),
            confirmation_age_ms: AtomicU64::new(0),
            charge_handling: Mutex::new(ChargeHandling::Admit),
            charges: Mutex::default(),
            refunds: Mutex::default(),
            catalog_changes: broadcast::Sender::new(4),
            server_changes: broadcast::Sender::new(4),
            published: Mutex::default(),
            stream_records: Mutex::default(),
            served: Mutex::default(),
            quarantined: Mutex::default(),
            renewals: broadcast::Sender::new(4),
            peer_updates: broadcast::Sender::new(256),
        });
        let serving = Arc::clone(&state);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(Arc::clone(&serving), stream));
            }
        });
        FakeControl { node, state }
    }

    /// Confirms from now on that the replica is current.
    pub fn confirm(&self) {
        self.state.confirms.store(true, Ordering::Relaxed);
    }

    /// Confirms from now on with this age, as a replica whose quorum was lost.
    pub fn confirm_with_age(&self, age: Duration) {
        self.state.confirmation_age_ms.store(age.as_millis() as u64, Ordering::Relaxed);
        self.confirm();
    }

    /// Confirms once from now on, after the answer to a later request.
    pub fn confirm_once_out_of_order(&self) {
        self.state.confirms_out_of_order.store(true, Ordering::Relaxed);
        self.confirm();
    }

    /// Sets the number of routers in confirmations.
    pub fn set_routers(&self, routers: u32) {
        self.state.routers.store(routers, Ordering::Relaxed);
    }

    /// Sets the handling of charges.
    pub fn set_charge_handling(&self, charge_handling: ChargeHandling) {
        *self.state.charge_handling.lock().expect("no panic") = charge_handling;
    }

    /// Charges received.
    pub fn charges(&self) -> Vec<LimitCharge> {
        self.state.charges.lock().expect("no panic").clone()
    }

    /// Units refunded.
    pub fn refunds(&self) -> Vec<f64> {
        self.state.refunds.lock().expect("no panic").clone()
    }

    /// Adds a server to the list and publishes it.
    /// States this of the versions that have served from now on.
    pub fn set_served(&self, served: ServedVersions) {
        *self.state.served.lock().expect("no panic") = Some(served);
    }

    pub fn push_renewals(&self, update: RenewalUpdate) {
        let _ = self.state.renewals.send(update);
    }

    /// Puts another catalog in force.
    pub fn set_catalog(&self, catalog: Catalog) {
        *self.state.catalog.lock().expect("no panic") = catalog;
        // Fails if no gateway is subscribed yet.
        let _ = self.state.catalog_changes.send(());
    }

    /// Removes all servers from the list and publishes it.
    pub fn remove_servers(&self) {
        self.state.reports.lock().expect("no panic").clear();
        let _ = self.state.server_changes.send(());
    }

    pub fn add_server(&self, report: InstanceReport) {
        self.state.reports.lock().expect("no panic").push(report);
        // Fails if no gateway is subscribed yet.
        let _ = self.state.server_changes.send(());
    }

    /// Sends an update of another router to the gateway.
    pub fn send_peer_update(&self, from: u64, zone: &str, update: RouterUpdate) {
        let zone = ZoneName::new(zone).expect("a name");
        // Fails if no gateway is subscribed yet.
        let _ = self.state.peer_updates.send(RelayedUpdate { from: NodeId(from), zone, update });
    }

    /// Servers in the dispatch reports that the gateway published.
    pub fn published_dispatches(&self) -> Vec<InstanceName> {
        let published = self.state.published.lock().expect("no panic");
        let reports = published.iter().flat_map(|update| &update.dispatches);
        reports.map(|report| report.instance.clone()).collect()
    }

    /// Servers of the requests whose end the gateway published.
    pub fn published_completions(&self) -> Vec<InstanceName> {
        let published = self.state.published.lock().expect("no panic");
        let reports: Vec<_> = published.iter().flat_map(|update| &update.dispatches).collect();
        let server_of = |number: &u16| {
            let report = reports.iter().find(|report| report.request_number == *number);
            report.expect("only reported requests end").instance.clone()
        };
        published.iter().flat_map(|update| update.ended_requests.iter().map(server_of)).collect()
    }

    /// Origins of streams that the replica knows.
    pub fn stream_records(&self) -> Vec<StreamRecord> {
        self.state.stream_records.lock().expect("no panic").clone()
    }

    /// Adds origins of streams that other routers published.
    pub fn add_stream_records(&self, records: Vec<StreamRecord>) {
        self.state.stream_records.lock().expect("no panic").extend(records);
    }

    /// Quarantine requests of the gateway.
    pub fn quarantined(&self) -> Vec<QuarantineRequest> {
        self.state.quarantined.lock().expect("no panic").clone()
    }

    /// Crashes and clearances that the gateway published.
    pub fn published_crashes(&self) -> (Vec<Crash>, Vec<CrashClearance>) {
        let published = self.state.published.lock().expect("no panic");
        let crashes = published.iter().filter_map(|update| update.crashes.clone());
        let mut all = CrashUpdate::default();
        for update in crashes {
            all.crashes.extend(update.crashes);
            all.cleared.extend(update.cleared);
        }
        (all.crashes, all.cleared)
    }

    /// Reachability of servers that the gateway published.
    pub fn published_reachability(&self) -> Vec<Reachability> {
        let published = self.state.published.lock().expect("no panic");
        published.iter().flat_map(|update| update.reachability.clone()).collect()
    }

    /// Advertised limits that the gateway published.
    pub fn published_limits(&self) -> Vec<ServerLimitUpdate> {
        let published = self.state.published.lock().expect("no panic");
        published
            .iter()
            .flat_map(|update| update.server_limits.clone().unwrap_or_default())
            .collect()
    }

    /// Updates that the gateway published, without the first `skipped` ones.
    pub fn published_updates(&self, skipped: usize) -> Vec<RouterUpdate> {
        self.state.published.lock().expect("no panic").iter().skip(skipped).cloned().collect()
    }

    /// Services with brittle servers that the gateway published.
    pub fn published_brittle(&self) -> Vec<BrittleServiceUpdate> {
        let published = self.state.published.lock().expect("no panic");
        let updates = published.iter().flat_map(|update| update.brittle_services.clone());
        updates.flatten().collect()
    }

    /// Notices of servers that the gateway published.
    pub fn published_notices(&self) -> Vec<ServerNoticeUpdate> {
        let published = self.state.published.lock().expect("no panic");
        published.iter().flat_map(|update| update.notices.clone().unwrap_or_default()).collect()
    }

    /// Refuses to confirm from now on.
    pub fn stop_confirming(&self) {
        self.state.confirms.store(false, Ordering::Relaxed);
    }
}

impl ReplicaState {
    /// Each catalog has a revision of its own.
    fn revision(&self) -> u64 {
        REVISION + self.catalog.lock().expect("no panic").version - 1
    }

    /// Origin of a stream; `None` if it isn't known, or if records disagree.
    fn origin_of(&self, stream: &StreamKey) -> Option<StreamOrigin> {
        let records = self.stream_records.lock().expect("no panic");
        let mut origins =
            records.iter().filter(|record| record.stream == *stream).map(|record| &record.origin);
        let first = origins.next()?;
        origins.all(|origin| origin == first).then(|| first.clone())
    }

    /// Versions of the present servers, as known to a replica that has run for long.
    fn served_versions(&self) -> ServedVersions {
        let set = self.served.lock().expect("no panic").clone();
        let reports = self.reports.lock().expect("no panic");
        let version = |report: &InstanceReport| ServedVersion {
            software: report.software.clone(),
            gone_ms: None,
        };
        let versions = reports.iter().map(version).collect();
        set.unwrap_or(ServedVersions { known_ms: 120_000, versions })
    }

    /// Delays the answer to a charge if charges are admitted late.
    async fn delay_charge(&self, request: &Request) {
        let is_late =
            matches!(*self.charge_handling.lock().expect("no panic"), ChargeHandling::AdmitLate);
        if is_late && matches!(request, Request::Charge(_)) {
            tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        }
    }
}

async fn serve(state: Arc<ReplicaState>, stream: TcpStream) {
    let key = ClusterKey::from_text(KEY).expect("long enough");
    let own = identity(PeerRole::Control, state.node.0);
    let Ok(Connection { mut reader, mut writer, .. }) = accept(stream, &key, &own).await else {
        return;
    };
    let (sender, mut messages) = mpsc::unbounded_channel();
    // `receive` isn't cancellation-safe, so it runs in a task of its own.
    tokio::spawn(async move {
        while let Ok(message) = reader.receive().await {
            if sender.send(message).is_err() {
                return;
            }
        }
    });
    let mut reordered = ReorderedAnswers::default();
    let mut catalog_changes = state.catalog_changes.subscribe();
    let mut server_changes = state.server_changes.subscribe();
    let mut renewals = state.renewals.subscribe();
    let mut peer_updates = state.peer_updates.subscribe();
    loop {
        let to_send = tokio::select! {
            message = messages.recv() => match message {
                Some(Message::Request { call, request }) => {
                    state.delay_charge(&request).await;
                    reordered.push(&state, &request, answer(&state, call, &request))
                }
                Some(Message::RouterUpdate(update)) => {
                    let records = update.stream_records.clone().unwrap_or_default();
                    state.stream_records.lock().expect("no panic").extend(records);
                    state.published.lock().expect("no panic").push(update);
                    continue;
                }
                Some(_) => continue,
                None => return,
            },
            _ = catalog_changes.recv() => vec![fleet_push(&state)],
            _ = server_changes.recv() => vec![instances_push(&state)],
            update = renewals.recv() => {
                update.into_iter().map(|update| Message::Push(Push::Renewals(update))).collect()
            }
            update = peer_updates.recv() => vec![Message::RelayedUpdate(update.into_iter().collect())],
        };
        for message in to_send {
            if writer.send(&message).await.is_err() {
                return;
            }
        }
    }
}

fn answer(state: &ReplicaState, call: u64, request: &Request) -> Vec<Message> {
    let reply = |reply| Message::Reply { call, reply };
    match request {
        Request::Follow => vec![reply(Reply::Done), fleet_push(state), instances_push(state)],
        Request::Catalog { .. } => {
            let catalog = state.catalog.lock().expect("no panic");
            let body = minicbor::to_vec(&*catalog).expect("encodes");
            vec![reply(Reply::Catalog(Some(CatalogBody { version: catalog.version, body })))]
        }
        Request::Confirm if state.confirms.load(Ordering::Relaxed) => {
            vec![reply(Reply::Confirmed {
                age_ms: state.confirmation_age_ms.load(Ordering::Relaxed),
                revision: state.revision(),
                routers: state.routers.load(Ordering::Relaxed),
                weights: None,
            })]
        }
        Request::Charge(charge) => handle_charge(state, charge).map(reply).into_iter().collect(),
        Request::FindStreamOrigin { stream } => {
            vec![reply(Reply::StreamOrigin(state.origin_of(stream)))]
        }
        Request::FindServedVersions { .. } => {
            vec![reply(Reply::ServedVersions(state.served_versions()))]
        }
        Request::Quarantine(call) => {
            state.quarantined.lock().expect("no panic").push(call.clone());
            vec![reply(Reply::Done)]
        }
        Request::Refund { units, .. } => {
            state.refunds.lock().expect("no panic").push(*units);
            vec![reply(Reply::Done)]
        }
        _ => vec![reply(Reply::Refused(Refusal::NoQuorum))],
    }
}

fn handle_charge(state: &ReplicaState, charge: &LimitCharge) -> Option<Reply> {
    state.charges.lock().expect("no panic").push(charge.clone());
    let answer = |retry_after_ms| {
        Some(Reply::Charged(ChargeAnswer { retry_after_ms, fleet_per_second: 0.0 }))
    };
    match *state.charge_handling.lock().expect("no panic") {
        ChargeHandling::Admit | ChargeHandling::AdmitLate => answer(None),
        ChargeHandling::Refuse { pause_ms } => answer(Some(pause_ms)),
        ChargeHandling::NotOwner => Some(Reply::Refused(Refusal::NoQuorum)),
        ChargeHandling::Ignore => None,
    }
}

fn fleet_push(state: &ReplicaState) -> Message {
    Message::Push(Push::Fleet(FleetUpdate {
        revision: state.revision(),
        catalog_version: state.catalog.lock().expect("no panic").version,
        weights: BTreeMap::new(),
        departures: Vec::new(),
        members: vec![state.node],
        quarantine: None,
        departed_through: Vec::new(),
        member_zones: Vec::new(),
        weights_ages: None,
    }))
}

fn instances_push(state: &ReplicaState) -> Message {
    let observed = state.reports.lock().expect("no panic").clone().into_iter();
    let observed =
        observed.map(|report| ObservedInstance { report, silent: false, age_ms: 0 }).collect();
    Message::Push(Push::Instances { observed, is_complete: true, removed: Vec::new() })
}

/// Holds back the answers to the first confirmation request and to a later request until both are
/// there, to send them in reverse order.
#[derive(Default)]
struct ReorderedAnswers {
    confirmed: Vec<Message>,
    other: Vec<Message>,
    is_done: bool,
}

impl ReorderedAnswers {
    fn push(
        &mut self,
        state: &ReplicaState,
        request: &Request,
        answers: Vec<Message>,
    ) -> Vec<Message> {
        if !state.confirms_out_of_order.load(Ordering::Relaxed) {
            return answers;
        }
        match request {
            Request::Confirm if self.is_done || !self.confirmed.is_empty() => return Vec::new(),
            Request::Confirm => self.confirmed = answers,
            Request::RelayRouterUpdates { .. } => self.other = answers,
            _ => return answers,
        }
        self.is_done = !self.confirmed.is_empty() && !self.other.is_empty();
        match self.is_done {
            true => self.other.drain(..).chain(self.confirmed.drain(..)).collect(),
            false => Vec::new(),
        }
    }
}
