//! Background thread that writes log lines.

use std::io::Write;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use log::Level;

use crate::budget::{Admission, LineBudget, LineLimits};

/// Bounds on queueing and batching of log lines.
#[derive(Clone, Copy, Debug)]
pub struct WriterLimits {
    /// Capacity of the queue, in lines; lines beyond it are dropped.
    pub max_queued_lines: usize,
    /// Longest time for which lines are batched into one write.
    pub max_batch_delay: Duration,
    /// Timeout of [`LineWriter::flush`].
    pub flush_timeout: Duration,
}

impl Default for WriterLimits {
    fn default() -> Self {
        WriterLimits {
            max_queued_lines: 1_024,
            max_batch_delay: Duration::from_millis(40),
            flush_timeout: Duration::from_millis(200),
        }
    }
}

/// Batch size in bytes at which a write starts without further delay.
const MAX_BATCH_BYTES: usize = 16 << 10;

enum Item {
    Line(String),
    Flush(SyncSender<()>),
}

/// Handle that queues lines for the writer thread without blocking.
#[derive(Clone)]
pub struct LineWriter {
    items: SyncSender<Item>,
    budget: Arc<Mutex<LineBudget>>,
    started: Instant,
    flush_timeout: Duration,
}

impl LineWriter {
    /// Spawns the writer thread.
    ///
    /// # Errors
    /// Fails if the thread can't be spawned.
    pub fn start(
        output: impl Write + Send + 'static,
        limits: WriterLimits,
        line_limits: LineLimits,
    ) -> Result<Self, std::io::Error> {
        let (items, receiver) = sync_channel(limits.max_queued_lines);
        let budget = Arc::new(Mutex::new(LineBudget::new(line_limits)));
        let thread_budget = Arc::clone(&budget);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || run_writer(output, &receiver, &thread_budget, limits.max_batch_delay))?;
        Ok(LineWriter {
            items,
            budget,
            started: Instant::now(),
            flush_timeout: limits.flush_timeout,
        })
    }

    /// Queues a line, or drops it if the rate limit is exceeded or the queue is full.
    pub fn write(&self, level: Level, line: String) {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if budget.admit(level, &line, self.started.elapsed()) == Admission::Dropped {
            return;
        }
        if let Err(rejected) = self.items.try_send(Item::Line(line)) {
            let (std::sync::mpsc::TrySendError::Full(item)
            | std::sync::mpsc::TrySendError::Disconnected(item)) = rejected;
            if let Item::Line(line) = item {
                budget.count_dropped(&line);
            }
        }
    }

    /// Waits until all queued lines are written, or until the flush timeout.
    pub fn flush(&self) {
        let (done, written) = sync_channel(1);
        if self.items.try_send(Item::Flush(done)).is_ok() {
            // A blocked output must not delay the end of the process.
            let _ = written.recv_timeout(self.flush_timeout);
        }
    }
}

/// Stack size of the writer thread, whose calls are shallow.
const THREAD_STACK_BYTES: usize = 64 << 10;

fn run_writer(
    mut output: impl Write,
    items: &Receiver<Item>,
    budget: &Mutex<LineBudget>,
    max_batch_delay: Duration,
) {
    while let Ok(first) = items.recv() {
        let mut text = String::new();
        let mut flush_waiters = Vec::new();
        add_to_batch(first, &mut text, &mut flush_waiters);
        let deadline = Instant::now() + max_batch_delay;
        while text.len() < MAX_BATCH_BYTES && flush_waiters.is_empty() {
            match items.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
                Ok(item) => add_to_batch(item, &mut text, &mut flush_waiters),
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => break,
            }
        }
        let dropped_counts =
            budget.lock().unwrap_or_else(PoisonError::into_inner).take_dropped_counts();
        for (event, count) in dropped_counts {
            text.push_str(&format!("level=warn event=lines_left_out kind={event} count={count}\n"));
        }
        // A write error can't be reported anywhere else.
        let _ = output.write_all(text.as_bytes()).and_then(|()| output.flush());
        for done in flush_waiters {
            let _ = done.try_send(());
        }
    }
}

fn add_to_batch(item: Item, text: &mut String, flush_waiters: &mut Vec<SyncSender<()>>) {
    match item {
        Item::Line(line) => text.push_str(&line),
        Item::Flush(done) => flush_waiters.push(done),
    }
}
