//! Back ends that stand still in the middle of an answer and then go on.

mod support {
    pub mod fleets;
}

use std::time::{Duration, Instant};

use juniper_lab::fleet::{BackEndKind, Fleet, Signal};
use juniper_lab::load::arguments::KEY_PREFIX;
use reqwest::{Client, RequestBuilder};
use support::fleets::{SIZES, Setup, start_fleet};
use tokio::time::sleep;

/// Longer than the time after which a router looks for another server.
const SILENCE: Duration = Duration::from_secs(7);

/// Longer than the time after which a router looks for another server, and shorter than the silence.
const TAKEN_OVER: Duration = Duration::from_secs(6);

/// Kills all preview servers but the first.
fn kill_other_servers(fleet: &mut Fleet) {
    for place in 1..SIZES.previews {
        fleet.back_end_process(BackEndKind::Preview, place).expect("a server").kill();
    }
}

/// Request for a preview at the first router.
fn preview_request(fleet: &Fleet) -> RequestBuilder {
    let router = fleet.router_targets()[0].address;
    let request = Client::new().get(format!("http://{router}/previews/3"));
    request.bearer_auth(format!("{KEY_PREFIX}tenant-1"))
}

// Guards against previews that are ended because their server is silent, although no other one takes
// over.
#[tokio::test(flavor = "multi_thread")]
async fn a_preview_of_a_silent_server_is_broken_off_without_another_server() {
    let mut test = start_fleet(Setup::default()).await;
    let fleet = &mut test.fleet;
    kill_other_servers(fleet);
    let mut response = preview_request(fleet).send().await.expect("an answer");
    let whole = response.content_length().expect("a length");
    let mut received = response.chunk().await.expect("a piece").expect("more").len();
    let server = fleet.back_end_process(BackEndKind::Preview, 0).expect("a server");
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

// Guards against a preview that ends early without a trace of the reason.
#[tokio::test(flavor = "multi_thread")]
async fn a_preview_that_is_broken_off_is_counted_with_its_reason() {
    let mut test = start_fleet(Setup::default()).await;
    let fleet = &mut test.fleet;
    kill_other_servers(fleet);
    let mut response = preview_request(fleet).send().await.expect("an answer");
    response.chunk().await.expect("a piece").expect("more");
    fleet.back_end_process(BackEndKind::Preview, 0).expect("a server").kill();
    while let Ok(Some(_)) = response.chunk().await {}
    let router = fleet.router_operators()[0];
    let metrics = reqwest::get(format!("http://{router}/metrics")).await.expect("an answer");
    let text = metrics.text().await.expect("the metrics");
    let reason = r#"juniper_answers_ended_early_total{kind="preview",reason="server_broke_off"} 1"#;
    assert!(text.contains(reason), "{text}");
}

// Guards against requests for previews that fail while their only server is at work.
#[tokio::test(flavor = "multi_thread")]
async fn a_preview_request_of_a_silent_server_is_given_up_without_another_server() {
    let mut test = start_fleet(Setup::default()).await;
    let fleet = &mut test.fleet;
    kill_other_servers(fleet);
    let request = preview_request(fleet);
    let server = fleet.back_end_process(BackEndKind::Preview, 0).expect("a server");
    server.signal(Signal::Stop).expect("stopped");
    let resuming = async {
        sleep(SILENCE).await;
        server.signal(Signal::Continue).expect("resumed");
    };
    let (response, ()) = tokio::join!(request.send(), resuming);
    let response = response.expect("an answer");
    assert_eq!(response.status(), 200);
    let whole = response.content_length().expect("a length");
    assert_eq!(response.bytes().await.expect("the whole preview").len() as u64, whole);
}

// Guards against a silent server that keeps a request which another one could answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_preview_request_of_a_silent_server_waits_for_it_beside_another_server() {
    let mut test = start_fleet(Setup::default()).await;
    let fleet = &mut test.fleet;
    let request = preview_request(fleet);
    for place in 1..SIZES.previews {
        let server = fleet.back_end_process(BackEndKind::Preview, place).expect("a server");
        server.signal(Signal::Stop).expect("stopped");
    }
    let began_at = Instant::now();
    let attempts = (SIZES.previews - 1) as u32;
    let response = request.send().await.expect("an answer");
    assert_eq!(response.status(), 200);
    assert!(response.bytes().await.is_ok());
    assert!(began_at.elapsed() < TAKEN_OVER * attempts, "{:?}", began_at.elapsed());
    for place in 1..SIZES.previews {
        let server = fleet.back_end_process(BackEndKind::Preview, place).expect("a server");
        server.signal(Signal::Continue).expect("resumed");
    }
}
