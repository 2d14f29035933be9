//! Lines that this process has logged. A process has one logger.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use log::{LevelFilter, Log, Metadata, Record};
use tokio::time::sleep;

use crate::support::TEST_TIMEOUT;

/// Lines logged so far.
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct LineLogger;

impl Log for LineLogger {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        LINES.lock().expect("not poisoned").push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Collects lines from now on, once in a process.
pub fn collect() {
    log::set_logger(&LineLogger).expect("the only logger");
    log::set_max_level(LevelFilter::Info);
}

/// Waits for the log line of the event and request.
pub async fn line(event: &str, request: &str) -> String {
    let started_at = Instant::now();
    loop {
        let matches =
            |line: &&String| line.starts_with(&format!("event={event} request={request} "));
        let found = LINES.lock().expect("not poisoned").iter().find(matches).cloned();
        if let Some(line) = found {
            return line;
        }
        assert!(started_at.elapsed() < TEST_TIMEOUT, "no line {event} of {request}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Text of a key.
pub fn text<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split(' ').find_map(|part| part.strip_prefix(key)?.strip_prefix('='))
}

/// Value of a key in milliseconds.
pub fn value(line: &str, key: &str) -> Option<u128> {
    Some(text(line, key)?.parse().unwrap_or_else(|_| panic!("{key} is no number in {line}")))
}
