//! Client of the control replicas' operator API.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use reqwest::{Method, StatusCode};
use serde_json::Value;

/// Timeout for one replica's answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a call is repeated while replicas have no quorum; several elections long.
const QUORUM_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause before the replicas are asked again.
const ROUND_DELAY: Duration = Duration::from_millis(500);

/// Failure of an operator call.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ClientError {
    /// Unreadable key file.
    #[error("operator key file {path}: {source}")]
    KeyFile {
        /// Path of the key file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The HTTP client can't be built.
    #[error("can't build the HTTP client: {0}")]
    Client(reqwest::Error),
    /// No replica is reachable.
    #[error("no control replica could be reached; last error: {0}")]
    Unreachable(reqwest::Error),
    /// No replica URL was given.
    #[error("no control replica URL was given")]
    #[diagnostic(help("pass one with --control URL"))]
    NoReplica,
    /// Response body that is not JSON.
    #[error("the response from {url} is not JSON")]
    NotJson {
        /// URL of the request.
        url: String,
    },
    /// Error response of a replica.
    #[error("status {status}: {}", render_body(body))]
    ErrorResponse {
        /// HTTP status code.
        status: u16,
        /// Response body.
        body: Value,
    },
}

fn render_body(body: &Value) -> String {
    serde_json::to_string_pretty(body).unwrap_or_default()
}

impl ClientError {
    /// Whether a replica answered that it has no quorum or doesn't know the outcome.
    fn lacks_quorum(&self) -> bool {
        let statuses = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::GATEWAY_TIMEOUT];
        let lacks_quorum = |status: u16| statuses.iter().any(|known| known.as_u16() == status);
        matches!(self, ClientError::ErrorResponse { status, .. } if lacks_quorum(*status))
    }

    /// Whether another replica may answer instead.
    fn is_transient(&self) -> bool {
        self.lacks_quorum() || matches!(self, ClientError::Unreachable(_))
    }
}

/// HTTP client that tries control replicas in turn until one answers.
pub struct OperatorClient {
    replicas: Vec<String>,
    key: String,
    http: reqwest::Client,
}

impl OperatorClient {
    /// Reads the operator key and builds the HTTP client.
    pub fn new(replicas: Vec<String>, key_file: &Path) -> Result<Self, ClientError> {
        if replicas.is_empty() {
            return Err(ClientError::NoReplica);
        }
        let key = std::fs::read_to_string(key_file)
            .map_err(|source| ClientError::KeyFile { path: key_file.to_owned(), source })?;
        let http = reqwest::Client::builder()
            .timeout(CALL_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(ClientError::Client)?;
        Ok(OperatorClient { replicas, key: key.trim().to_owned(), http })
    }

    /// Sends the request to the replicas in turn until one answers, again for some seconds while
    /// those that can be reached have no quorum. Repeating a write is safe, since its change
    /// id makes it idempotent; a release from quarantine is repeated only if it had no effect.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, ClientError> {
        let started = Instant::now();
        loop {
            let mut any_lacks_quorum = false;
            let mut last_error = ClientError::NoReplica;
            for replica in &self.replicas {
                match self.call_replica(replica, &method, path, body).await {
                    Err(error) if error.is_transient() && is_repeatable(&method, &error) => {
                        any_lacks_quorum |= error.lacks_quorum();
                        last_error = error;
                    }
                    result => return result,
                }
            }
            if !any_lacks_quorum || started.elapsed() >= QUORUM_TIMEOUT {
                return Err(last_error);
            }
            tokio::time::sleep(ROUND_DELAY).await;
        }
    }

    async fn call_replica(
        &self,
        replica: &str,
        method: &Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, ClientError> {
        let url = format!("{}{path}", replica.trim_end_matches('/'));
        let mut request = self.http.request(method.clone(), &url).bearer_auth(&self.key);
        if let Some(body) = body {
            request = request.json(body);
        }
        let response = request.send().await.map_err(ClientError::Unreachable)?;
        read_response(url, response).await
    }
}

/// Whether a call may be repeated after the error.
fn is_repeatable(method: &Method, error: &ClientError) -> bool {
    let is_unknown = matches!(
        error,
        ClientError::ErrorResponse { status, .. } if *status == StatusCode::GATEWAY_TIMEOUT.as_u16()
    );
    *method != Method::DELETE || !is_unknown
}

async fn read_response(url: String, response: reqwest::Response) -> Result<Value, ClientError> {
    let status = response.status();
    let body: Value = response.json().await.map_err(|_| ClientError::NotJson { url })?;
    if status.is_success() {
        return Ok(body);
    }
    Err(ClientError::ErrorResponse { status: status.as_u16(), body })
}
