//! Dialect of the tests.

use std::time::Duration;

use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::{request, response};
use juniper_gateway::{AnswerInfo, AttemptInfo, CallError, CallInfo, Dialect};
use juniper_limits::{
    AdvertisedLimit, DepartureNotice, RejectionTolerance, RequestedBackoff, ServerNotice,
};
use juniper_placement::{Prompt, PromptSegment};
use juniper_registry::{InstanceId, StartTime};

pub struct TestDialect;

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// A prompt of `tokens`, none of them shared.
fn prompt(tokens: u64) -> Prompt {
    let segments = vec![PromptSegment { id: tokens, tokens: tokens as u32 }];
    Prompt { segments, tokens: tokens as u32, ..Prompt::default() }
}

/// A prompt of segments with these ids, separated by commas; the last one isn't shared.
fn prompt_of_segments(ids: &str) -> Prompt {
    let segment = |id: &str| PromptSegment { id: id.parse().expect("a number"), tokens: 100 };
    let segments: Vec<PromptSegment> = ids.split(',').map(segment).collect();
    let tokens = segments.iter().map(|segment| segment.tokens).sum();
    Prompt { segments, tokens, ..Prompt::default() }
}

fn read_prompt(headers: &HeaderMap) -> Option<Prompt> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let prompt = match text("x-segments") {
        Some(ids) => Some(prompt_of_segments(ids)),
        None => number(headers, "x-prompt").map(prompt),
    };
    let model = text("x-model").unwrap_or_default().to_owned();
    prompt.map(|prompt| Prompt { model, ..prompt })
}

impl Dialect for TestDialect {
    fn read_call(&self, head: &request::Parts) -> Result<CallInfo, CallError> {
        let headers = &head.headers;
        let key = headers.get("x-key").and_then(|key| key.to_str().ok());
        Ok(CallInfo {
            id: headers.get("x-id").cloned().ok_or(CallError::MissingId)?,
            timeout: number(headers, "x-deadline").map(Duration::from_millis),
            key: key.map(str::to_owned),
            prompt: read_prompt(headers),
            last_event: number(headers, "x-last"),
            resumed_attempt: headers.get("x-resumes").cloned(),
        })
    }

    fn write_attempt(&self, headers: &mut HeaderMap, info: &AttemptInfo<'_>) {
        headers.remove("x-key");
        let mut set = |name: &'static str, value: &str| {
            headers.insert(name, HeaderValue::from_str(value).expect("visible"));
        };
        set("x-deadline", &info.time_left.as_millis().to_string());
        set("x-instance", info.instance.as_str());
        if info.version > 0 {
            set("x-expected-weights", &info.version.to_string());
        }
        if let Some(tenant) = info.tenant {
            set("x-tenant", tenant);
        }
        if let Some(last) = info.last_event {
            set("x-last", &last.to_string());
        }
    }

    fn identity_path(&self) -> &'static str {
        "/start"
    }

    fn parse_start(&self, body: &[u8]) -> StartTime {
        let started_ms = std::str::from_utf8(body).ok().and_then(|text| text.parse().ok());
        StartTime::from_unix_ms(started_ms.unwrap_or(0))
    }

    fn read_answer(
        &self,
        head: &response::Parts,
        id: &HeaderValue,
        _instance: &InstanceId,
    ) -> AnswerInfo {
        let stated = head.headers.get_all("x-limit").iter();
        let pauses = head.headers.get_all("x-pause").iter();
        let is_misdirected = head.status.as_u16() == 421;
        let has_other_weights = head.headers.contains_key("x-other-weights");
        AnswerInfo {
            matches_request: head.headers.get("x-id") == Some(id),
            is_sealed: head.headers.contains_key("x-seal"),
            not_run: head.headers.contains_key("x-not-run"),
            is_wrong_server: is_misdirected && !has_other_weights,
            is_wrong_version: is_misdirected && has_other_weights,
            version: number(&head.headers, "x-weights"),
            advertised_limit: AdvertisedLimit::parse(stated.map(|value| value.to_str().ok())),
            rejection_tolerance: RejectionTolerance::parse(
                head.headers.get_all("x-brittle").iter().map(|value| value.to_str().ok()),
            ),
            notice: ServerNotice {
                backoff: RequestedBackoff::parse(pauses.map(|value| value.to_str().ok())),
                departure: match head.headers.contains_key("x-leaving") {
                    true => DepartureNotice::Departing,
                    false => DepartureNotice::Nothing,
                },
            },
        }
    }

    fn write_own_answer(&self, headers: &mut HeaderMap, id: &HeaderValue) {
        headers.insert("x-id", id.clone());
    }
}
