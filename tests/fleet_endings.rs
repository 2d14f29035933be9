//! The same request, at any router of a fleet, ends each back end that runs it. After three ends it
//! reaches none any more.

mod support {
    pub mod fleets;
}

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use juniper_lab::fleet::{BackEndKind, ENDS_BACK_ENDS, Fleet};
use juniper_lab::load::arguments::KEY_PREFIX;
use reqwest::{Client, RequestBuilder};
use serde_json::{Value, json};
use support::fleets::{SIZES, Setup, start};
use tokio::time::sleep;

/// Ends after which a request is given up.
const ENDS: usize = 3;

/// Further ends that are allowed: attempts that were under way elsewhere.
const MAX_LATER: usize = 3;

/// Time in which all routers know of an end.
const SPREAD: Duration = Duration::from_millis(600);

const TENANT: &str = "tenant-1";

/// Starts the back ends of a kind again that have ended, and says how many had.
async fn restart_ended(fleet: &mut Fleet, kind: BackEndKind, count: usize) -> usize {
    let mut ended = 0;
    for place in 0..count {
        if !fleet.back_end_process(kind, place).expect("there").is_running() {
            ended += 1;
            fleet.restart_back_end(kind, place).await.expect("it starts again");
        }
    }
    ended
}

/// Sends the same request to each router in turn. Returns what the last answers were.
async fn is_given_up(
    kind: BackEndKind,
    count: usize,
    make: impl Fn(&Client, &str, usize) -> RequestBuilder,
) {
    let mut test = start(Setup { control: 3, ..Setup::default() }).await;
    let fleet = &mut test.fleet;
    let client = Client::new();
    let routers = fleet.router_targets();
    let mut ended = 0;
    let mut answers: Vec<(u16, Value)> = Vec::new();
    for number in 0..14 {
        let router = format!("http://{}", routers[number % routers.len()].address);
        let call = make(&client, &router, number).bearer_auth(format!("{KEY_PREFIX}{TENANT}"));
        let call = call.timeout(Duration::from_secs(10));
        if let Ok(response) = call.send().await {
            let status = response.status().as_u16();
            let body = response.bytes().await.unwrap_or_default();
            answers.push((status, serde_json::from_slice(&body).unwrap_or_default()));
        }
        sleep(SPREAD).await;
        ended += restart_ended(fleet, kind, count).await;
        // The router finds that the back end is back.
        sleep(SPREAD).await;
    }
    assert!((ENDS..=ENDS + MAX_LATER).contains(&ended), "{kind:?}: {ended} ended; {answers:?}");
    let (status, body) = answers.last().expect("an answer");
    assert_eq!((*status, &body["error"]["code"]), (502, &json!("quarantined")), "{answers:?}");
    assert_eq!(body["error"]["not_run"], json!(false), "it has run");
    assert_eq!(body["error"]["retry_after_ms"], Value::Null, "it isn't asked to come back");
}

fn chat(text: &str, is_stream: bool) -> Value {
    json!({"model": "base", "stream": is_stream, "max_tokens": 200,
        "messages": [{"role": "user", "content": format!("{text} {}", "words ".repeat(200))}]})
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chat_that_ends_its_engines_is_given_up() {
    is_given_up(BackEndKind::Engine, SIZES.engines, |client, router, _| {
        client.post(format!("{router}/v1/chat/completions")).json(&chat(ENDS_BACK_ENDS, false))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_listing_that_ends_its_servers_is_given_up() {
    is_given_up(BackEndKind::Application, SIZES.applications, |client, router, _| {
        client.get(format!("{router}/board/{ENDS_BACK_ENDS}"))
    })
    .await;
}

/// Each sending has a key of its own, and so may run once.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_under_ever_new_keys_that_ends_its_servers_is_given_up() {
    is_given_up(BackEndKind::Application, SIZES.applications, |client, router, number| {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs();
        client
            .post(format!("{router}/apply/job"))
            .header("idempotency-key", format!("{now}-key{number}"))
            .body(ENDS_BACK_ENDS)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_preview_that_ends_its_servers_is_given_up() {
    is_given_up(BackEndKind::Preview, SIZES.previews, |client, router, _| {
        client.get(format!("{router}/previews/{ENDS_BACK_ENDS}"))
    })
    .await;
}
