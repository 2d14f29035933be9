//! Rounds that send changes to each router of the zone.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use juniper_protocol::{Reply, Request};
use juniper_sharing::{RouterIncarnation, ShareMessage};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use super::SharingHub;
use crate::link::Link;
use crate::peers::PeerView;

/// Timeout of delivering a message to a router.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Updates the group of routers and sends a round whenever one is due.
pub async fn run_rounds(hub: Arc<SharingHub>, mut peers: watch::Receiver<PeerView>) {
    let mut last = Instant::now();
    loop {
        let due = last + hub.lock().sharing.round_interval();
        tokio::select! {
            changed = peers.changed() => {
                if changed.is_err() {
                    return;
                }
                let view = peers.borrow_and_update().clone();
                hub.set_peers(&view);
            }
            () = sleep_until(due) => {
                last = Instant::now();
                hub.send_round().await;
            }
        }
    }
}

impl SharingHub {
    async fn send_round(&self) {
        let messages: Vec<(RouterIncarnation, Option<Link>, ShareMessage)> = {
            let mut state = self.lock();
            if !state.shared {
                return;
            }
            let messages = match state.sharing.flush(self.engines.now()) {
                Ok(messages) => messages,
                Err(error) => {
                    log::error!("event=index_full reason=\"{error}\"");
                    return;
                }
            };
            let with_link = |(to, message): (RouterIncarnation, ShareMessage)| {
                let link = state.links.get(&to).cloned();
                (to, link, message)
            };
            messages.into_iter().map(with_link).collect()
        };
        join_all(messages.into_iter().map(|(to, link, message)| self.deliver(to, link, message)))
            .await;
    }

    async fn deliver(&self, to: RouterIncarnation, link: Option<Link>, message: ShareMessage) {
        let request = Request::Share { incarnation: self.own.incarnation, updates: message };
        let reply = match link {
            Some(link) => link.call(request, DELIVERY_TIMEOUT).await.ok(),
            None => None,
        };
        let mut state = self.lock();
        match reply {
            Some(Reply::Shared { engines_with_gaps }) => {
                state.sharing.request_resyncs(to, &engines_with_gaps)
            }
            _ => {
                log::debug!("event=news_not_delivered peer={}", to.node);
                state.sharing.delivery_failed(to);
            }
        }
    }
}
