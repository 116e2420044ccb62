//! The service registry, which starts services in order and shuts them down in reverse.

use std::any::Any;
use std::cell::RefCell;
use std::rc::Rc;

use actix::{Actor, Addr};
use derive_more::{Display, Error};
use tokio::sync::mpsc;

use crate::service::{ServiceSignal, TaskService};

/// Errors of the service registry.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum KernelError {
    /// Two services have the same name.
    #[display("service {name} is registered twice")]
    Duplicate {
        /// The name.
        name: &'static str,
    },
    /// A service failed at a lifecycle signal, or while running.
    #[display("service {name} failed: {reason}")]
    Failed {
        /// The service.
        name: &'static str,
        /// The service's error message.
        reason: String,
    },
}

/// Result of kernel operations.
pub type Result<T> = std::result::Result<T, KernelError>;

/// One registered service.
struct ServiceEntry {
    name: &'static str,
    /// An `Rc` of the service's own type, which other services look up by name.
    handle: Box<dyn Any>,
    actor: Addr<TaskService>,
}

/// The services of one process.
pub struct ServiceKernel {
    /// In order of registration, which is the start order. Names are unique.
    services: RefCell<Vec<ServiceEntry>>,
    failure_sender: mpsc::UnboundedSender<KernelError>,
    failure_receiver: RefCell<mpsc::UnboundedReceiver<KernelError>>,
}

impl Default for ServiceKernel {
    fn default() -> Self {
        let (failure_sender, failure_receiver) = mpsc::unbounded_channel();
        Self {
            services: RefCell::default(),
            failure_sender,
            failure_receiver: RefCell::new(failure_receiver),
        }
    }
}

impl ServiceKernel {
    /// Creates a registry without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a service, and the handle that other services can look up by its name.
    ///
    /// # Errors
    /// [`KernelError::Duplicate`] when the name is taken.
    pub fn register<T: 'static>(
        &self,
        name: &'static str,
        handle: Rc<T>,
        service: TaskService,
    ) -> Result<()> {
        let mut services = self.services.borrow_mut();
        if services.iter().any(|entry| entry.name == name) {
            return Err(KernelError::Duplicate { name });
        }
        services.push(ServiceEntry {
            name,
            handle: Box::new(handle),
            actor: service.start(),
        });
        Ok(())
    }

    /// Returns the handle registered under `name`, if its type is `T`.
    pub fn find<T: 'static>(&self, name: &str) -> Option<Rc<T>> {
        let services = self.services.borrow();
        let entry = services.iter().find(|entry| entry.name == name)?;
        entry.handle.downcast_ref::<Rc<T>>().cloned()
    }

    /// Starts all services in order of registration, up to the first that fails.
    ///
    /// # Errors
    /// The error of the service that failed to start.
    pub async fn start(&self) -> Result<()> {
        for (name, actor) in self.in_start_order() {
            log::info!("kernel: starting {name}.");
            send_signal(name, &actor, ServiceSignal::Start).await?;
        }
        Ok(())
    }

    /// Drains all services in reverse order of registration, then stops them in the same order.
    /// A failure does not prevent the remaining services from being drained and stopped.
    ///
    /// # Errors
    /// The first failure.
    pub async fn shut_down(&self) -> Result<()> {
        let mut result = Ok(());
        for (signal, verb) in [
            (ServiceSignal::Drain, "draining"),
            (ServiceSignal::Stop, "stopping"),
        ] {
            for (name, actor) in self.in_start_order().into_iter().rev() {
                log::info!("kernel: {verb} {name}.");
                result = result.and(send_signal(name, &actor, signal).await);
            }
        }
        result
    }

    /// Reports that a running service failed, which ends the process.
    pub fn report_failure(&self, name: &'static str, reason: String) {
        // Cannot fail: the kernel owns the receiver.
        let _ = self
            .failure_sender
            .send(KernelError::Failed { name, reason });
    }

    /// Waits for the next failure of a running service.
    pub async fn next_failure(&self) -> KernelError {
        let failure =
            std::future::poll_fn(|context| self.failure_receiver.borrow_mut().poll_recv(context));
        failure
            .await
            .expect("the kernel owns a sender, so the channel is open")
    }

    fn in_start_order(&self) -> Vec<(&'static str, Addr<TaskService>)> {
        let services = self.services.borrow();
        services
            .iter()
            .map(|entry| (entry.name, entry.actor.clone()))
            .collect()
    }
}

async fn send_signal(
    name: &'static str,
    actor: &Addr<TaskService>,
    signal: ServiceSignal,
) -> Result<()> {
    let answer = actor.send(signal).await;
    let result = answer
        .map_err(|error| error.to_string())
        .and_then(|result| result);
    result.map_err(|reason| KernelError::Failed { name, reason })
}
