//! A request that crashes every back end that runs it is quarantined by all routers after
//! three crashes.

mod support {
    pub mod fleets;
}

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use juniper_lab::fleet::{BackEndKind, ENDS_BACK_ENDS, Fleet};
use juniper_lab::load::arguments::KEY_PREFIX;
use reqwest::{Client, RequestBuilder};
use serde_json::{Value, json};
use support::fleets::{SIZES, Setup, start_fleet};
use tokio::time::sleep;

/// Crashes after which a request is quarantined.
const CRASH_LIMIT: usize = 3;

/// Allowed crashes beyond the limit, by attempts in flight at other routers.
const MAX_EXTRA_CRASHES: usize = 3;

/// Time until all routers know of a crash.
const CRASH_REPORT_DELAY: Duration = Duration::from_millis(600);

const TENANT: &str = "tenant-1";

/// Restarts the crashed back ends of a kind and returns their number.
async fn restart_crashed(fleet: &mut Fleet, kind: BackEndKind, count: usize) -> usize {
    let mut crashed = 0;
    for place in 0..count {
        if !fleet.back_end_process(kind, place).expect("the back end exists").is_running() {
            crashed += 1;
            fleet.restart_back_end(kind, place).await.expect("the back end restarts");
        }
    }
    crashed
}

/// Sends the same request to each router in turn and checks that it is quarantined after the
/// allowed crashes.
async fn assert_quarantined(
    kind: BackEndKind,
    count: usize,
    make_request: impl Fn(&Client, &str, usize) -> RequestBuilder,
) {
    let mut test = start_fleet(Setup { control: 3, ..Setup::default() }).await;
    let fleet = &mut test.fleet;
    let client = Client::new();
    let routers = fleet.router_targets();
    let mut crashed = 0;
    let mut answers: Vec<(u16, Value)> = Vec::new();
    for number in 0..14 {
        let router = format!("http://{}", routers[number % routers.len()].address);
        let call =
            make_request(&client, &router, number).bearer_auth(format!("{KEY_PREFIX}{TENANT}"));
        let call = call.timeout(Duration::from_secs(10));
        if let Ok(response) = call.send().await {
            let status = response.status().as_u16();
            let body = response.bytes().await.unwrap_or_default();
            answers.push((status, serde_json::from_slice(&body).unwrap_or_default()));
        }
        sleep(CRASH_REPORT_DELAY).await;
        crashed += restart_crashed(fleet, kind, count).await;
        // Time for the router to observe the restarted back end.
        sleep(CRASH_REPORT_DELAY).await;
    }
    assert!(
        (CRASH_LIMIT..=CRASH_LIMIT + MAX_EXTRA_CRASHES).contains(&crashed),
        "{kind:?}: {crashed} crashed; {answers:?}"
    );
    let (status, body) = answers.last().expect("an answer");
    assert_eq!((*status, &body["error"]["code"]), (502, &json!("quarantined")), "{answers:?}");
    assert_eq!(
        body["error"]["not_run"],
        json!(false),
        "a quarantined request was reported as not_run"
    );
    assert_eq!(
        body["error"]["retry_after_ms"],
        Value::Null,
        "a quarantined request got a retry time"
    );
}

fn chat(text: &str, is_stream: bool) -> Value {
    json!({"model": "base", "stream": is_stream, "max_tokens": 200,
        "messages": [{"role": "user", "content": format!("{text} {}", "words ".repeat(200))}]})
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chat_that_crashes_its_engines_is_quarantined() {
    assert_quarantined(BackEndKind::Engine, SIZES.engines, |client, router, _| {
        client.post(format!("{router}/v1/chat/completions")).json(&chat(ENDS_BACK_ENDS, false))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_listing_that_crashes_its_servers_is_quarantined() {
    assert_quarantined(BackEndKind::Application, SIZES.applications, |client, router, _| {
        client.get(format!("{router}/board/{ENDS_BACK_ENDS}"))
    })
    .await;
}

/// Each request has its own idempotency key and so may run once.
#[tokio::test(flavor = "multi_thread")]
async fn an_at_most_once_request_that_crashes_its_servers_under_new_keys_is_quarantined() {
    assert_quarantined(BackEndKind::Application, SIZES.applications, |client, router, number| {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs();
        client
            .post(format!("{router}/apply/job"))
            .header("idempotency-key", format!("{now}-key{number}"))
            .body(ENDS_BACK_ENDS)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_preview_that_crashes_its_servers_is_quarantined() {
    assert_quarantined(BackEndKind::Preview, SIZES.previews, |client, router, _| {
        client.get(format!("{router}/previews/{ENDS_BACK_ENDS}"))
    })
    .await;
}
