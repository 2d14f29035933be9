//! The round that sends each router of the zone what changed.

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

/// Longest wait for a router to take a message.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Follows the group and sends a round whenever one is due.
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
        join_all(messages.into_iter().map(|(to, link, news)| self.deliver(to, link, news))).await;
    }

    async fn deliver(&self, to: RouterIncarnation, link: Option<Link>, news: ShareMessage) {
        let request = Request::Share { life: self.own.incarnation, news };
        let reply = match link {
            Some(link) => link.call(request, DELIVERY_TIMEOUT).await.ok(),
            None => None,
        };
        let mut state = self.lock();
        match reply {
            Some(Reply::Shared { in_doubt }) => state.sharing.request_resyncs(to, &in_doubt),
            _ => {
                log::debug!("event=news_not_delivered peer={}", to.node);
                state.sharing.delivery_failed(to);
            }
        }
    }
}
