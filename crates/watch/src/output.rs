//! Non-blocking log output to standard output.
//!
//! Lines are queued for a writer thread. When the queue is full because the reader of the output is
//! slow, or when the rate limit is exceeded, lines are dropped and counted, and the count is logged
//! later.

use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use logforth::record::Level;
use logforth::{Append, Diagnostic, Error, Layout};

/// Capacity of the queue in lines.
const QUEUE_LINES: usize = 2048;
/// Sustained rate limit in lines per second; warnings and errors are exempt.
const LINES_PER_SECOND: f64 = 250.0;
/// Capacity of the token bucket: largest burst of lines after a quiet period.
const BURST_LINES: f64 = 1000.0;
/// Interval of the reports on dropped lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Timeout of a flush.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);

/// Item in the queue of the writer thread.
enum OutputItem {
    Line(Vec<u8>),
    /// Request to flush; the writer confirms once all preceding lines are written.
    Flush(SyncSender<()>),
}

/// Token bucket that limits the rate of log lines.
#[derive(Debug)]
pub struct LineBudget {
    lines: f64,
    refilled_at: Instant,
}

impl LineBudget {
    /// Creates a full bucket.
    pub fn new(now: Instant) -> Self {
        Self {
            lines: BURST_LINES,
            refilled_at: now,
        }
    }

    /// Takes the budget for one line; returns false if the budget is used up.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let refilled = self.lines + elapsed.as_secs_f64() * LINES_PER_SECOND;
        self.lines = refilled.min(BURST_LINES);
        let has_line = self.lines >= 1.0;
        if has_line {
            self.lines -= 1.0;
        }
        has_line
    }
}

/// Logforth appender that writes to standard output through a bounded queue.
#[derive(Debug)]
pub struct BoundedOutput {
    layout: Box<dyn Layout>,
    queue: SyncSender<OutputItem>,
    budget: Mutex<LineBudget>,
    dropped: Arc<AtomicU64>,
}

impl std::fmt::Debug for OutputItem {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Line(line) => write!(formatter, "line of {} bytes", line.len()),
            Self::Flush(_) => formatter.write_str("flush"),
        }
    }
}

impl BoundedOutput {
    /// Starts the writer thread.
    pub fn start(layout: impl Into<Box<dyn Layout>>) -> Self {
        let (queue, items) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_lines = Arc::clone(&dropped);
        thread::spawn(move || write_items(&items, &dropped_lines));
        Self {
            layout: layout.into(),
            queue,
            budget: Mutex::new(LineBudget::new(Instant::now())),
            dropped,
        }
    }

    fn is_within_budget(&self, level: Level) -> bool {
        if level >= Level::Warn {
            return true;
        }
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.try_take(Instant::now())
    }

    fn drop_line(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }
}

impl Append for BoundedOutput {
    fn append(
        &self,
        record: &logforth::record::Record,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), Error> {
        if !self.is_within_budget(record.level()) {
            self.drop_line();
            return Ok(());
        }
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.queue.try_send(OutputItem::Line(line))
        {
            self.drop_line();
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let (confirmation, confirmed) = sync_channel(1);
        if self.queue.try_send(OutputItem::Flush(confirmation)).is_ok() {
            // A reader that accepts no output must not delay the exit of the process.
            let _ = confirmed.recv_timeout(FLUSH_LIMIT);
        }
        Ok(())
    }
}

fn write_items(items: &Receiver<OutputItem>, dropped: &AtomicU64) {
    let mut reported_at = Instant::now();
    let mut output = std::io::stdout();
    loop {
        // Write errors are ignored: when standard output is closed, they can't be reported.
        match items.recv_timeout(REPORT_INTERVAL) {
            Ok(OutputItem::Line(line)) => {
                let _ = output.write_all(&line);
            }
            Ok(OutputItem::Flush(confirmation)) => {
                let _ = output.flush();
                let _ = confirmation.send(());
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        if reported_at.elapsed() >= REPORT_INTERVAL {
            reported_at = Instant::now();
            let count = dropped.swap(0, Ordering::Relaxed);
            if count > 0 {
                log::warn!(dropped = count; "watch: log lines were dropped");
            }
        }
    }
}
