//! Who calls: API key to tenant, and the operators' key.

use axum::http::{HeaderMap, header};
use juniper_settings::{ApiKeyHash, EffectiveSettings, TrafficKind};
use juniper_types::{RequestId, ServiceName};
use std::sync::Arc;
use subtle::ConstantTimeEq;

use crate::error::RequestError;
use crate::in_force::{InForce, TenantHome};

/// Header that names the service of a request.
pub const SERVICE_HEADER: &str = "x-service";

/// Header that carries the request id, in both directions.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// A caller whose key is known, with the settings of the service it asked for.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The tenant.
    pub home: TenantHome,
    /// The service.
    pub service: ServiceName,
    /// Its settings.
    pub settings: Arc<EffectiveSettings>,
}

/// The bearer token of a request.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

/// Finds the tenant and service that a request belongs to.
pub fn authenticate(
    in_force: &InForce,
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

/// The caller's request id, or a new one.
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

/// Whether `headers` carry a key of the operators. Every hash is compared, so
/// that the time taken tells nothing about which one matched.
pub fn is_operator(headers: &HeaderMap, operator_keys: &[ApiKeyHash]) -> bool {
    let Some(key) = bearer(headers) else {
        return false;
    };
    let presented = ApiKeyHash::of(key);
    let matches = |known: &ApiKeyHash| bool::from(known.0.as_bytes().ct_eq(presented.0.as_bytes()));
    operator_keys.iter().filter(|known| matches(known)).count() > 0
}
