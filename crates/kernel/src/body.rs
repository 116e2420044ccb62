//! Collection of the bodies of HTTP requests within the byte budget of the process.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::HttpRequest;
use actix_web::http::header::CONTENT_LENGTH;
use actix_web::web::{Bytes, Payload};
use fault::{Fault, FaultKind};
use futures::StreamExt;
use quota::budget::{BudgetShare, ByteBudget, HeldBytes};
use quota::progress::ProgressLimits;
use quota::segments::BodySegments;
use settings::process::LimitSettings;
use tokio::time::timeout;

use crate::http::OpenConnection;

/// Reads the bodies of requests. Clones share one budget.
#[derive(Clone, Debug)]
pub struct BodyIntake {
    budget: ByteBudget,
    progress: ProgressLimits,
    /// Maximum time between two parts of a body.
    pause: Duration,
}

impl Default for BodyIntake {
    fn default() -> Self {
        Self::new(&LimitSettings::default())
    }
}

impl BodyIntake {
    /// Creates the byte budget of a process with these limits.
    pub fn new(limits: &LimitSettings) -> Self {
        Self {
            budget: ByteBudget::new(limits.threaded_budget_bytes()),
            progress: ProgressLimits {
                bytes_per_second: limits.min_bytes_per_s,
                grace: Duration::from_secs_f64(limits.grace_s),
                total: Duration::from_secs_f64(limits.body_time_s),
            },
            pause: Duration::from_millis(limits.body_pause_ms),
        }
    }

    /// The byte budget of the process.
    pub fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    /// Reads a body of at most `limit` bytes. They are charged before they are kept, and the client
    /// may be evicted until the body has been received.
    ///
    /// # Errors
    /// The body is too large, malformed or too slow, or the byte budget is exhausted.
    pub async fn read(
        &self,
        request: &HttpRequest,
        payload: Payload,
        limit: u64,
    ) -> fault::Result<(Bytes, HeldBytes)> {
        let stated = request.headers().get(CONTENT_LENGTH);
        let stated = stated.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        if stated.is_some_and(|length| length > limit) {
            return Err(oversized(limit));
        }
        let share = Arc::new(self.budget.holder());
        let collecting = self.collect(request, payload, limit, &share);
        tokio::select! {
            biased;
            read = collecting => read,
            () = share.evicted() => Err(exhausted()),
        }
    }

    async fn collect(
        &self,
        request: &HttpRequest,
        mut payload: Payload,
        limit: u64,
        share: &Arc<BudgetShare>,
    ) -> fault::Result<(Bytes, HeldBytes)> {
        let connection = OpenConnection::of(request);
        let started = Instant::now();
        let mut held = HeldBytes::new(share);
        let mut body = BodySegments::default();
        loop {
            let time = self.progress.time_for(body.length());
            let left = time.saturating_sub(started.elapsed());
            let part = timeout(self.pause.min(left), payload.next()).await;
            let part =
                part.map_err(|_| FaultKind::SlowCaller.because("the body came too slowly"))?;
            let Some(part) = part else {
                break;
            };
            let part = part.map_err(|error| {
                FaultKind::MalformedRequest.because(format!("the body is unreadable: {error}"))
            })?;
            let length = body.length() + part.len();
            if length as u64 > limit {
                return Err(oversized(limit));
            }
            held.grow_to(length).await.map_err(|_| exhausted())?;
            share.note_progress();
            if let Some(connection) = &connection {
                connection.note_progress();
            }
            body.push(&part);
        }
        // What is made of the body, such as its encoded copy for another process.
        held.grow_to(2 * body.length())
            .await
            .map_err(|_| exhausted())?;
        share.set_pinned(true);
        Ok((body.join(), held))
    }
}

fn oversized(limit: u64) -> Fault {
    FaultKind::OversizedBody.because(format!("the body exceeds {limit} bytes"))
}

fn exhausted() -> Fault {
    FaultKind::Overloaded.because("the byte budget is exhausted")
}
