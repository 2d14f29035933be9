//! Client of the control replicas' operator API.

use std::path::{Path, PathBuf};
use std::time::Duration;

use reqwest::Method;
use serde_json::Value;

/// Timeout for one replica's answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

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

    /// Sends the request to each replica in turn until one answers. Retrying a write is safe,
    /// since its change id makes it idempotent.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, ClientError> {
        let mut last_error = None;
        for replica in &self.replicas {
            let url = format!("{}{path}", replica.trim_end_matches('/'));
            let mut request = self.http.request(method.clone(), &url).bearer_auth(&self.key);
            if let Some(body) = body {
                request = request.json(body);
            }
            match request.send().await {
                Ok(response) => return read_response(url, response).await,
                Err(error) => last_error = Some(error),
            }
        }
        Err(last_error.map_or(ClientError::NoReplica, ClientError::Unreachable))
    }
}

async fn read_response(url: String, response: reqwest::Response) -> Result<Value, ClientError> {
    let status = response.status();
    let body: Value = response.json().await.map_err(|_| ClientError::NotJson { url })?;
    if status.is_success() {
        return Ok(body);
    }
    Err(ClientError::ErrorResponse { status: status.as_u16(), body })
}
