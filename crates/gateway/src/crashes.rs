//! Servers that end while requests are under way on them.

use std::net::SocketAddrV4;

use juniper_feed::FleetView;
use juniper_quarantine::{CrashProof, CrashReport, CutRequest, ServerCrash};
use juniper_registry::InstanceId;
use juniper_types::Timestamp;

use crate::call::Call;
use crate::gateway::Gateway;
use crate::lock::lock;

impl Gateway {
    /// The connection of a request broke before the server's answer was whole.
    pub(crate) fn note_cut(&self, call: &Call, instance: &InstanceId, sent_at: Timestamp) {
        let fingerprint = call.fingerprint(&self.settings.fingerprint_key);
        log::info!(
            "event=request_cut request={} instance={instance} fingerprint={fingerprint}",
            call.id()
        );
        let view = self.feed.latest();
        let Some(address) = address_of(&view, instance) else {
            // It is leaving or has left: its end says nothing of the request.
            return;
        };
        let cut = CutRequest { request: fingerprint, sent_at, cut_at: self.now() };
        let crash = lock(&self.cuts).cut(instance, address, cut);
        self.note_crash(crash);
    }

    /// Nobody listens at the server's address any more.
    pub(crate) fn note_refused(&self, instance: &InstanceId) {
        let crash = lock(&self.cuts).proved(instance, CrashProof::Refused, self.now());
        self.note_crash(crash);
    }

    /// Looks for servers that have ended and are back in another life.
    pub(crate) fn note_lives(&self, view: &FleetView) {
        let mut cuts = lock(&self.cuts);
        if cuts.is_empty() {
            return;
        }
        let life_at = |address| {
            let lives = view.instances.iter().map(|known| &known.report);
            lives.filter(|report| report.address == address).map(|report| &report.id).next()
        };
        let crashes = cuts.find_new_lives(self.now(), life_at);
        drop(cuts);
        crashes.into_iter().for_each(|crash| self.note_crash(Some(crash)));
    }

    fn note_crash(&self, crash: Option<ServerCrash>) {
        let Some(ServerCrash { instance, proof, requests }) = crash else { return };
        let fingerprints: Vec<String> =
            requests.iter().map(|cut| cut.request.to_string()).collect();
        log::warn!(
            "event=server_ended instance={instance} proof={} requests={} fingerprints={}",
            proof.as_str(),
            requests.len(),
            fingerprints.join(",")
        );
        self.metrics.server_ended(proof, requests.len());
        let now = self.now();
        for CutRequest { request, sent_at, cut_at } in requests {
            let (age, under_way) = (now.since(cut_at), cut_at.since(sent_at));
            self.report_crash(CrashReport { request, instance: instance.clone(), age, under_way });
        }
    }
}

/// The address of a server that may be used; none of one that is leaving or has left.
fn address_of(view: &FleetView, instance: &InstanceId) -> Option<SocketAddrV4> {
    let known = view.instances.iter().find(|known| known.report.id == *instance);
    known.map(|known| known.report.address)
}
