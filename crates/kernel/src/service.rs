//! The lifecycle of one service, as an actix actor.

use std::future::{Future, ready};
use std::pin::Pin;

use actix::{Actor, Context, Handler, Message, ResponseFuture};

/// Lifecycle signal to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceSignal {
    /// Start the service. An error ends the process.
    Start,
    /// Accept no new work; complete when all current work is finished.
    Drain,
    /// Release resources before the process exits.
    Stop,
}

impl Message for ServiceSignal {
    type Result = StepResult;
}

/// Result of a lifecycle step. The error is one sentence for the log.
pub type StepResult = std::result::Result<(), String>;

/// A task that runs for the lifetime of the process.
pub type TaskFuture = Pin<Box<dyn Future<Output = ()>>>;

type StepFuture = Pin<Box<dyn Future<Output = StepResult>>>;

/// A service made of one future for each lifecycle step. A step without a future succeeds
/// immediately.
#[derive(Default)]
pub struct TaskService {
    start: Option<StepFuture>,
    drain: Option<StepFuture>,
    stop: Option<StepFuture>,
}

impl TaskService {
    /// Creates a service whose steps do nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a service that spawns `tasks` when it starts.
    pub fn spawning(tasks: Vec<TaskFuture>) -> Self {
        Self::new().on_start(async move {
            for task in tasks {
                actix_rt::spawn(task);
            }
            Ok(())
        })
    }

    /// Sets the future that starts the service.
    #[must_use]
    pub fn on_start(mut self, step: impl Future<Output = StepResult> + 'static) -> Self {
        self.start = Some(Box::pin(step));
        self
    }

    /// Sets the future that drains the service; the service is drained when it completes.
    #[must_use]
    pub fn on_drain(mut self, step: impl Future<Output = StepResult> + 'static) -> Self {
        self.drain = Some(Box::pin(step));
        self
    }

    /// Sets the future that releases the service's resources.
    #[must_use]
    pub fn on_stop(mut self, step: impl Future<Output = StepResult> + 'static) -> Self {
        self.stop = Some(Box::pin(step));
        self
    }
}

impl Actor for TaskService {
    type Context = Context<Self>;
}

impl Handler<ServiceSignal> for TaskService {
    type Result = ResponseFuture<StepResult>;

    fn handle(&mut self, signal: ServiceSignal, _: &mut Context<Self>) -> Self::Result {
        let step = match signal {
            ServiceSignal::Start => self.start.take(),
            ServiceSignal::Drain => self.drain.take(),
            ServiceSignal::Stop => self.stop.take(),
        };
        step.unwrap_or_else(|| Box::pin(ready(Ok(()))))
    }
}
