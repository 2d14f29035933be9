//! Caller that sends and receives raw HTTP.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::TEST_TIMEOUT;
use super::server::header;

/// Answer received by a caller.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body is complete.
    pub complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

/// Head of a request with an id and a key, without the empty line at its end.
pub fn request_head(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: test.example\r\nx-id: {id}\r\nx-key: good\r\n\
         x-deadline: 3000\r\n"
    )
}

/// Sends a GET request and reads the answer.
pub async fn get(address: SocketAddr, path: &str, id: &str) -> Answer {
    ask(address, &format!("{}\r\n", request_head("GET", path, id))).await
}

/// Sends bytes on a new connection and reads one answer.
pub async fn ask(address: SocketAddr, bytes: &str) -> Answer {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream.write_all(bytes.as_bytes()).await.expect("sent");
    let read = read_answer(&mut stream);
    tokio::time::timeout(TEST_TIMEOUT, read).await.expect("an answer in time")
}

async fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let answer = parse(&bytes);
        if answer.complete {
            return answer;
        }
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return answer,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

fn parse(bytes: &[u8]) -> Answer {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return Answer::default() };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let (body, complete) = match header(head, "content-length") {
        Some(length) => {
            (body.to_owned(), length.parse().is_ok_and(|length: usize| body.len() >= length))
        }
        None => join_chunks(body),
    };
    Answer { status, head: head.to_owned(), body, complete }
}

fn join_chunks(mut rest: &str) -> (String, bool) {
    let mut joined = String::new();
    while let Some((size, remaining)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else { return (joined, false) };
        if size == 0 {
            return (joined, true);
        }
        let Some(chunk) = remaining.get(..size) else { return (joined, false) };
        joined.push_str(chunk);
        rest = remaining.get(size + 2..).unwrap_or("");
    }
    (joined, false)
}
