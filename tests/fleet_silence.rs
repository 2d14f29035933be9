//! Back ends that stand still in the middle of an answer and then go on.

mod support {
    pub mod fleets;
}

use std::time::Duration;

use juniper_lab::fleet::{BackEndKind, Signal};
use juniper_lab::load::arguments::KEY_PREFIX;
use reqwest::Client;
use support::fleets::{SIZES, Setup, start_fleet};
use tokio::time::sleep;

/// Longer than the time after which a router looks for another server.
const SILENCE: Duration = Duration::from_secs(7);

// Guards against previews that are ended because their server is silent, although no other one takes
// over.
#[tokio::test(flavor = "multi_thread")]
async fn a_preview_of_a_silent_server_is_broken_off_without_another_server() {
    let mut test = start_fleet(Setup::default()).await;
    let fleet = &mut test.fleet;
    let preview = BackEndKind::Preview;
    for place in 1..SIZES.previews {
        fleet.back_end_process(preview, place).expect("a server").kill();
    }
    let router = fleet.router_targets()[0].address;
    let request = Client::new()
        .get(format!("http://{router}/previews/3"))
        .bearer_auth(format!("{KEY_PREFIX}tenant-1"));
    let mut response = request.send().await.expect("an answer");
    let whole = response.content_length().expect("a length");
    let mut received = response.chunk().await.expect("a piece").expect("more").len();
    let server = fleet.back_end_process(preview, 0).expect("a server");
    server.signal(Signal::Stop).expect("stopped");
    let resuming = async {
        sleep(SILENCE).await;
        server.signal(Signal::Continue).expect("resumed");
    };
    let receiving = async {
        while let Ok(Some(piece)) = response.chunk().await {
            received += piece.len();
        }
    };
    tokio::join!(resuming, receiving);
    assert_eq!(received as u64, whole);
}
