//! The life of one service, as an actix actor.

use std::future::{Future, ready};
use std::pin::Pin;

use actix::{Actor, Context, Handler, Message, ResponseFuture};

/// A step in the life of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceSignal {
    /// Start. An error stops the process.
    Start,
    /// Take no new work and answer when all work is finished.
    Drain,
    /// Release what is held; the process ends next.
    Stop,
}

impl Message for ServiceSignal {
    type Result = StepResult;
}

/// How a step ended; the error is one sentence for the log.
pub type StepResult = std::result::Result<(), String>;

/// A task that runs for as long as the process.
pub type TaskFuture = Pin<Box<dyn Future<Output = ()>>>;

type StepFuture = Pin<Box<dyn Future<Output = StepResult>>>;

/// A service made of one future for each step. A step without a future succeeds at once.
#[derive(Default)]
pub struct TaskService {
    start: Option<StepFuture>,
    drain: Option<StepFuture>,
    stop: Option<StepFuture>,
}

impl TaskService {
    /// A service that does nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// A service that spawns `tasks` at its start.
    pub fn spawning(tasks: Vec<TaskFuture>) -> Self {
        Self::new().on_start(async move {
            for task in tasks {
                actix_rt::spawn(task);
            }
            Ok(())
        })
    }

    /// Sets what happens at the start.
    #[must_use]
    pub fn on_start(mut self, step: impl Future<Output = StepResult> + 'static) -> Self {
        self.start = Some(Box::pin(step));
        self
    }

    /// Sets what must be over before the service counts as drained.
    #[must_use]
    pub fn on_drain(mut self, step: impl Future<Output = StepResult> + 'static) -> Self {
        self.drain = Some(Box::pin(step));
        self
    }

    /// Sets what happens at the end.
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
