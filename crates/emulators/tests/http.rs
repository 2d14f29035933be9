//! Tests of the emulators' HTTP APIs with requests like the router's.

use std::net::SocketAddr;
use std::time::Duration;

use juniper_emulators::application::{Executions, Receipt, listing_text};
use juniper_emulators::content::GeneratedText;
use juniper_emulators::engine::{EngineConfig, EventFaults};
use juniper_emulators::http::engine::{EngineOptions, router};
use juniper_emulators::http::{application, kv_store, platform, preview, weights};
use juniper_emulators::preview::preview_bytes;
use juniper_emulators::weights::WeightStore;
use juniper_types::{CacheScope, Incarnation, ModelName, PromptBlocks, TenantName, WeightsVersion};
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde_json::{Value, json};

/// Timeout for conditions that are expected shortly.
const PATIENCE: Duration = Duration::from_secs(30);

async fn serve(routes: axum::Router) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, routes).await });
    address
}

async fn engine(incarnation: u64) -> SocketAddr {
    let model = ModelName::new("base").unwrap();
    let mut config = EngineConfig::reference(model, WeightsVersion(1), 1);
    config.events = EventFaults { loss: 0.0, ..EventFaults::default() };
    let incarnation = Incarnation(incarnation);
    serve(router(EngineOptions { config, incarnation, weight_store: None })).await
}

fn content() -> String {
    "a long posting ".repeat(60)
}

fn prompt() -> Vec<u8> {
    format!("user\n{}\n", content()).into_bytes()
}

fn chat(engine: SocketAddr, tenant: &str, max_tokens: u32, stream: bool) -> RequestBuilder {
    let body = json!({
        "model": "base",
        "messages": [{ "role": "user", "content": content() }],
        "max_tokens": max_tokens,
        "stream": stream,
    });
    Client::new()
        .post(format!("http://{engine}/v1/chat/completions"))
        .header("x-cache-tenant", tenant)
        .json(&body)
}

fn cached_tokens(response: &Response) -> u32 {
    response.headers()["x-cached-tokens"].to_str().unwrap().parse().unwrap()
}

async fn error_of(request: RequestBuilder) -> (u16, String, bool) {
    let response = request.send().await.unwrap();
    let status = response.status().as_u16();
    let body: Value = response.json().await.unwrap();
    let error = &body["error"];
    let code = error["code"].as_str().unwrap().to_owned();
    (status, code, error["not_run"].as_bool().unwrap())
}

async fn get(address: SocketAddr, path: &str) -> Value {
    let response = reqwest::get(format!("http://{address}{path}")).await.unwrap();
    response.error_for_status().unwrap().json().await.unwrap()
}

async fn post(address: SocketAddr, path: &str, body: Value) -> Response {
    Client::new().post(format!("http://{address}{path}")).json(&body).send().await.unwrap()
}

#[tokio::test]
async fn cached_prompt_is_reused_only_for_its_tenant() {
    let engine = engine(5).await;
    let first = chat(engine, "acme", 4, false).send().await.unwrap();
    assert_eq!(cached_tokens(&first), 0);
    let body: Value = first.json().await.unwrap();
    let text = GeneratedText::new(&prompt(), 0, WeightsVersion(1)).range(0, 4);
    assert_eq!(body["choices"][0]["message"]["content"], text.as_str());
    let again = chat(engine, "acme", 4, false).send().await.unwrap();
    assert!(cached_tokens(&again) >= 192);
    let other = chat(engine, "other", 4, false).send().await.unwrap();
    assert_eq!(cached_tokens(&other), 0);
    let witness = get(engine, "/v1/emulator/witness").await;
    assert_eq!(witness["total"], 0);
    assert_eq!(witness["counters"]["accepted"], 3);
}

#[tokio::test]
async fn events_and_snapshot_list_cached_blocks() {
    let engine = engine(5).await;
    chat(engine, "acme", 1, false).send().await.unwrap().bytes().await.unwrap();
    let scope = CacheScope {
        tenant: TenantName::new("acme").unwrap(),
        model: ModelName::new("base").unwrap(),
        adapter: None,
        weights: WeightsVersion(1),
    };
    let wanted: Vec<String> =
        PromptBlocks::of_text(&scope, &prompt()).hashes.iter().map(ToString::to_string).collect();
    let mut stored = Vec::new();
    let mut after = 0;
    while stored.len() < wanted.len() {
        let path = format!("/v1/cache/events?incarnation=5&after={after}&wait_ms=5000");
        let batch = tokio::time::timeout(PATIENCE, get(engine, &path)).await.unwrap();
        for event in batch["events"].as_array().unwrap() {
            assert_eq!(event["sequence"], after + 1);
            after += 1;
            let blocks = event["stored"].as_array().unwrap();
            stored.extend(blocks.iter().map(|block| block.as_str().unwrap().to_owned()));
        }
    }
    assert_eq!(stored, wanted);
    let snapshot = get(engine, "/v1/cache/snapshot").await;
    assert_eq!(snapshot["incarnation"], 5);
    assert_eq!(snapshot["blocks"].as_array().unwrap().len(), wanted.len());
    let other = get(engine, "/v1/cache/events?incarnation=4&after=0&wait_ms=5000").await;
    assert_eq!((other["incarnation"].clone(), other["events"].clone()), (json!(5), json!([])));
}

#[tokio::test]
async fn rejections_report_that_the_request_did_not_run() {
    let engine = engine(5).await;
    let request = || chat(engine, "acme", 4, true);
    let cases = [
        (request().header("x-engine-incarnation", "4"), 409, "incarnation_mismatch"),
        (request().header("x-cache-weights", "2"), 409, "weights_mismatch"),
        (request().header("x-cache-adapter", "tags"), 409, "adapter_not_loaded"),
        (request().header("x-deadline-ms", "0"), 504, "deadline"),
        (request().header("x-resume-from", "many"), 400, "bad_header"),
        (request().body("no json"), 400, "bad_body"),
    ];
    for (request, status, code) in cases {
        assert_eq!(error_of(request).await, (status, code.to_owned(), true));
    }
    let counters = get(engine, "/v1/emulator/witness").await["counters"].clone();
    assert_eq!(counters["generated_tokens"], 0);
}

#[tokio::test]
async fn cancelled_stream_ends_without_last_chunk() {
    let engine = engine(5).await;
    let mut response =
        chat(engine, "acme", 10_000, true).header("x-request-id", "ab").send().await.unwrap();
    response.chunk().await.unwrap().unwrap();
    let path = format!("/v1/requests/{:032x}/cancel", 0xab);
    let state = || async { post(engine, &path, json!({})).await.json::<Value>().await.unwrap() };
    assert_eq!(state().await["state"], "cancelled");
    assert_eq!(state().await["state"], "finished");
    let rest = tokio::time::timeout(PATIENCE, response.text()).await.unwrap();
    assert!(!rest.unwrap_or_default().contains("[DONE]"));
}

#[tokio::test]
async fn client_disconnect_cancels_the_request() {
    let engine = engine(5).await;
    let mut response = chat(engine, "acme", 10_000, true).send().await.unwrap();
    response.chunk().await.unwrap().unwrap();
    drop(response);
    let dropped = async {
        while get(engine, "/v1/emulator/witness").await["counters"]["dropped"] != 1 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, dropped).await.unwrap();
}

#[tokio::test]
async fn stale_orders_are_fenced_and_departure_is_reported() {
    let engine = engine(5).await;
    let order = |token: u64, action: &str| json!({ "token": token, "sequence": 1, "incarnation": 5, "action": action });
    let first = post(engine, "/v1/orders", order(2, "leave")).await;
    assert_eq!(first.json::<Value>().await.unwrap()["state"], "applied");
    let stale = post(engine, "/v1/orders", order(1, "return")).await;
    assert_eq!(stale.status(), StatusCode::CONFLICT);
    assert_eq!(stale.json::<Value>().await.unwrap()["error"]["code"], "fenced");
    let reported = async {
        while get(engine, "/v1/load").await["leaving"] != true {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, reported).await.unwrap();
}

#[tokio::test]
async fn blocks_transfer_through_the_store_to_another_engine() {
    let (from, to) = (engine(5).await, engine(6).await);
    let store = serve(kv_store::router(1_000)).await;
    chat(from, "acme", 1, false).send().await.unwrap().bytes().await.unwrap();
    let blocks = get(from, "/v1/cache/snapshot").await["blocks"].clone();
    let scope = json!({ "tenant": "acme", "model": "base", "weights": 1 });
    // A snapshot is unordered, so the chain is computed as in the router.
    let chain: Vec<String> = {
        let tenant = TenantName::new("acme").unwrap();
        let model = ModelName::new("base").unwrap();
        let scope = CacheScope { tenant, model, adapter: None, weights: WeightsVersion(1) };
        PromptBlocks::of_text(&scope, &prompt()).hashes.iter().map(ToString::to_string).collect()
    };
    assert_eq!(blocks.as_array().unwrap().len(), chain.len());
    let exported = post(from, "/v1/cache/export", json!({ "scope": scope, "blocks": chain })).await;
    let entry: Value = exported.error_for_status().unwrap().json().await.unwrap();
    let url = format!("http://{store}/v1/entries");
    let kept = Client::new().put(&url).json(&entry).send().await.unwrap();
    assert_eq!(kept.status(), StatusCode::NO_CONTENT);
    let entry = get(store, &format!("/v1/entries/{}", chain.last().unwrap())).await;

    let foreign = json!({ "tenant": "other", "model": "base", "weights": 1 });
    let import =
        |scope: &Value, entry: &Value| json!({ "scope": scope, "incarnation": 6, "entry": entry });
    let refused = post(to, "/v1/cache/import", import(&foreign, &entry)).await;
    assert_eq!(refused.json::<Value>().await.unwrap()["error"]["code"], "foreign_entry");
    let mut damaged = entry.clone();
    damaged["blocks"].as_array_mut().unwrap().pop();
    let refused = post(to, "/v1/cache/import", import(&scope, &damaged)).await;
    assert_eq!(refused.json::<Value>().await.unwrap()["error"]["code"], "damaged");
    post(to, "/v1/cache/import", import(&scope, &entry)).await.error_for_status().unwrap();
    let response = chat(to, "acme", 1, false).send().await.unwrap();
    assert!(cached_tokens(&response) >= 192);
    assert_eq!(get(to, "/v1/emulator/witness").await["total"], 0);
}

#[tokio::test]
async fn application_server_counts_every_execution() {
    let server = serve(application::router(Executions::default(), Duration::ZERO)).await;
    let call = || {
        Client::new()
            .post(format!("http://{server}/apply/x"))
            .header("idempotency-key", "1-a")
            .header("x-tenant", "acme")
            .body("body")
    };
    let receipt: Receipt = call().send().await.unwrap().json().await.unwrap();
    assert_eq!(receipt, Receipt::of("acme", "1-a", "/apply/x", b"body"));
    assert_eq!(get(server, "/v1/emulator/witness").await["total"], 0);
    call().send().await.unwrap().error_for_status().unwrap();
    let counts = get(server, "/v1/emulator/executions").await;
    assert_eq!(counts, json!([{ "tenant": "acme", "key": "1-a", "count": 2 }]));
    assert_eq!(get(server, "/v1/emulator/witness").await["counts"]["repeated_execution"], 1);
    let listing = reqwest::get(format!("http://{server}/board/x")).await.unwrap();
    assert_eq!(listing.text().await.unwrap(), listing_text("/board/x"));
}

#[tokio::test]
async fn preview_range_request_resumes_at_byte_offset() {
    let server = serve(preview::router(Duration::ZERO)).await;
    let wanted = preview_bytes(9);
    let url = format!("http://{server}/previews/9");
    let fetch = |range: &str| Client::new().get(&url).header("range", range.to_owned()).send();
    let whole = reqwest::get(&url).await.unwrap();
    assert_eq!(
        (whole.status(), whole.bytes().await.unwrap().as_ref()),
        (StatusCode::OK, &wanted[..])
    );
    let start = wanted.len() - 10_000;
    let part = fetch(&format!("bytes={start}-")).await.unwrap();
    assert_eq!(part.status(), StatusCode::PARTIAL_CONTENT);
    let range = format!("bytes {start}-{}/{}", wanted.len() - 1, wanted.len());
    assert_eq!(part.headers()["content-range"], range.as_str());
    assert_eq!(part.bytes().await.unwrap().as_ref(), &wanted[start..]);
    let beyond = fetch(&format!("bytes={}-", wanted.len())).await.unwrap();
    assert_eq!(beyond.status(), StatusCode::RANGE_NOT_SATISFIABLE);
    let unknown = reqwest::get(format!("http://{server}/previews/none")).await.unwrap();
    assert_eq!(unknown.status(), StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn aborted_weight_load_releases_its_bandwidth() {
    let store = serve(weights::router(WeightStore::new(1_000, 1))).await;
    let active = || async { get(store, "/v1/loads").await["active"].clone() };
    let load = tokio::spawn(post(store, "/v1/loads", json!({ "bytes": 1_000_000 })));
    let becomes = |wanted: u64| async move {
        while active().await != wanted {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(PATIENCE, becomes(1)).await.unwrap();
    load.abort();
    tokio::time::timeout(PATIENCE, becomes(0)).await.unwrap();
    let short = post(store, "/v1/loads", json!({ "bytes": 10 })).await;
    assert_eq!(short.status(), StatusCode::OK);
}

#[tokio::test]
async fn platform_list_shows_machines_after_the_lag() {
    let platform = serve(platform::router(Duration::from_millis(200))).await;
    let machine = json!({ "address": "10.0.0.1:80", "zone": "hartford", "state": "leaving" });
    post(platform, "/v1/emulator/machines", machine.clone()).await.error_for_status().unwrap();
    let shown = async {
        while get(platform, "/v1/machines").await["machines"] != json!([machine]) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, shown).await.unwrap();
}
