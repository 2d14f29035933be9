//! Calls to the operator face of the control replicas.

use std::path::{Path, PathBuf};
use std::time::Duration;

use reqwest::Method;
use serde_json::Value;

/// Longest wait for one replica.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Why an operator call failed.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ClientError {
    /// The file with the key can't be read.
    #[error("operator key file {path}: {source}")]
    KeyFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The client could not be made.
    #[error("can't make the HTTP client: {0}")]
    Client(reqwest::Error),
    /// No replica could be reached.
    #[error("no control replica could be reached; the last said: {0}")]
    Unreachable(reqwest::Error),
    /// No replica was named.
    #[error("no control replica is named")]
    #[diagnostic(help("name one with --control URL"))]
    NoReplica,
    /// The answer is not JSON.
    #[error("the answer of {url} is not JSON")]
    NotJson {
        /// Who answered.
        url: String,
    },
    /// The replica answered with an error.
    #[error("status {status}: {}", render(body))]
    Answer {
        /// HTTP status.
        status: u16,
        /// JSON body.
        body: Value,
    },
}

fn render(body: &Value) -> String {
    serde_json::to_string_pretty(body).unwrap_or_default()
}

/// Calls control replicas until one answers.
pub struct OperatorClient {
    replicas: Vec<String>,
    key: String,
    http: reqwest::Client,
}

impl OperatorClient {
    /// Reads the key and makes the client.
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

    /// Calls each replica in turn until one can be reached. Repeating a write
    /// is safe: it carries its change id.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, ClientError> {
        let mut last = None;
        for replica in &self.replicas {
            let url = format!("{}{path}", replica.trim_end_matches('/'));
            let mut request = self.http.request(method.clone(), &url).bearer_auth(&self.key);
            if let Some(body) = body {
                request = request.json(body);
            }
            match request.send().await {
                Ok(response) => return read_answer(url, response).await,
                Err(error) => last = Some(error),
            }
        }
        Err(last.map_or(ClientError::NoReplica, ClientError::Unreachable))
    }
}

async fn read_answer(url: String, response: reqwest::Response) -> Result<Value, ClientError> {
    let status = response.status();
    let body: Value = response.json().await.map_err(|_| ClientError::NotJson { url })?;
    if status.is_success() {
        return Ok(body);
    }
    Err(ClientError::Answer { status: status.as_u16(), body })
}
