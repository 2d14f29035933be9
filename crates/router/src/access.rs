//! Authentication of callers by API key and of operators by operator key.

use axum::http::{HeaderMap, header};
use juniper_settings::{ApiKeyHash, EffectiveSettings, TrafficKind};
use juniper_types::{RequestId, ServiceName};
use std::sync::Arc;
use subtle::ConstantTimeEq;

use crate::error::RequestError;
use crate::in_force::{SettingsInForce, TenantHome};

/// Header with the service name of a request.
pub const SERVICE_HEADER: &str = "x-service";

/// Header with the request id, in requests and responses.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// An authenticated caller with the settings of the requested service.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Tenant of the API key.
    pub home: TenantHome,
    /// Requested service.
    pub service: ServiceName,
    /// Effective settings of the service.
    pub settings: Arc<EffectiveSettings>,
}

/// Returns the bearer token of a request.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

/// Resolves the tenant and service of a request.
pub fn authenticate(
    in_force: &SettingsInForce,
    headers: &HeaderMap,
    kind: TrafficKind,
) -> Result<Caller, RequestError> {
    let key = bearer(headers).ok_or(RequestError::Unauthenticated)?;
    let home = in_force.tenant_of(key).ok_or(RequestError::Unauthenticated)?;
    let named = match headers.get(SERVICE_HEADER) {
        Some(value) => Some(parse_service(value)?),
        None => None,
    };
    let (service, settings) = in_force
        .service_of(home, named.as_ref(), kind)
        .filter(|(_, settings)| settings.traffic == kind)
        .ok_or_else(|| RequestError::UnknownService(named_or_kind(named.as_ref(), kind)))?;
    Ok(Caller { home: home.clone(), service, settings })
}

fn parse_service(value: &axum::http::HeaderValue) -> Result<ServiceName, RequestError> {
    let text = value.to_str().unwrap_or_default();
    ServiceName::new(text).map_err(|_| RequestError::UnknownService(text.to_owned()))
}

fn named_or_kind(named: Option<&ServiceName>, kind: TrafficKind) -> String {
    named.map_or_else(|| format!("of kind {kind:?}"), |name| name.to_string())
}

/// Returns the caller's request id, or a new one if the header is missing.
pub fn request_id(headers: &HeaderMap) -> Result<RequestId, RequestError> {
    match headers.get(REQUEST_ID_HEADER) {
        Some(value) => value
            .to_str()
            .ok()
            .and_then(|text| text.parse().ok())
            .ok_or_else(|| RequestError::Malformed("x-request-id is not a request id".into())),
        None => Ok(RequestId(rand::random())),
    }
}

/// Whether `headers` carry an operator key. All hashes are compared, so that the
/// duration doesn't reveal which one matched.
pub fn is_operator(headers: &HeaderMap, operator_keys: &[ApiKeyHash]) -> bool {
    let Some(key) = bearer(headers) else {
        return false;
    };
    let presented = ApiKeyHash::of(key);
    let matches = |known: &ApiKeyHash| bool::from(known.0.as_bytes().ct_eq(presented.0.as_bytes()));
    operator_keys.iter().filter(|known| matches(known)).count() > 0
}
