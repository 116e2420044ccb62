//! The registry of services and their order.

use std::any::Any;
use std::cell::RefCell;
use std::rc::Rc;

use actix::{Actor, Addr};
use derive_more::{Display, Error};
use tokio::sync::mpsc;

use crate::service::{ServiceSignal, TaskService};

/// Why the kernel can't go on.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum KernelError {
    /// Two services have the same name.
    #[display("service {name} is registered twice")]
    Duplicate {
        /// The name.
        name: &'static str,
    },
    /// A service failed at a step, or while it ran.
    #[display("service {name} failed: {reason}")]
    Failed {
        /// The service.
        name: &'static str,
        /// What it said.
        reason: String,
    },
}

/// Result of kernel operations.
pub type Result<T> = std::result::Result<T, KernelError>;

/// One registered service.
struct ServiceEntry {
    name: &'static str,
    /// What other services find under the name; an `Rc` of the service's own type.
    handle: Box<dyn Any>,
    lifecycle: Addr<TaskService>,
}

/// The services of one process.
pub struct ServiceKernel {
    /// In order of registration, which is the order of the start. Names are unique.
    services: RefCell<Vec<ServiceEntry>>,
    failures: mpsc::UnboundedSender<KernelError>,
    failed: RefCell<mpsc::UnboundedReceiver<KernelError>>,
}

impl Default for ServiceKernel {
    fn default() -> Self {
        let (failures, failed) = mpsc::unbounded_channel();
        Self {
            services: RefCell::default(),
            failures,
            failed: RefCell::new(failed),
        }
    }
}

impl ServiceKernel {
    /// A kernel without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a service, and the handle that others find under its name.
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
            lifecycle: service.start(),
        });
        Ok(())
    }

    /// The handle registered under `name`, if it is a `T`.
    pub fn find<T: 'static>(&self, name: &str) -> Option<Rc<T>> {
        let services = self.services.borrow();
        let entry = services.iter().find(|entry| entry.name == name)?;
        entry.handle.downcast_ref::<Rc<T>>().cloned()
    }

    /// Starts every service in order of registration.
    ///
    /// # Errors
    /// The first service that fails.
    pub async fn start(&self) -> Result<()> {
        for (name, lifecycle) in self.in_order() {
            log::info!("kernel: starting {name}.");
            send_signal(name, &lifecycle, ServiceSignal::Start).await?;
        }
        Ok(())
    }

    /// Drains every service in reverse order, then stops each, also in reverse.
    ///
    /// # Errors
    /// The first failure, after all services were told.
    pub async fn shut_down(&self) -> Result<()> {
        let mut result = Ok(());
        for (step, verb) in [
            (ServiceSignal::Drain, "draining"),
            (ServiceSignal::Stop, "stopping"),
        ] {
            for (name, lifecycle) in self.in_order().into_iter().rev() {
                log::info!("kernel: {verb} {name}.");
                result = result.and(send_signal(name, &lifecycle, step).await);
            }
        }
        result
    }

    /// Reports that a running service failed, which stops the process.
    pub fn report_failure(&self, name: &'static str, reason: String) {
        // The kernel holds the receiver for as long as it lives.
        let _ = self.failures.send(KernelError::Failed { name, reason });
    }

    /// The next failure of a running service.
    pub async fn next_failure(&self) -> KernelError {
        let failed = std::future::poll_fn(|context| self.failed.borrow_mut().poll_recv(context));
        failed
            .await
            .expect("the kernel holds a sender for as long as it lives")
    }

    fn in_order(&self) -> Vec<(&'static str, Addr<TaskService>)> {
        let services = self.services.borrow();
        services
            .iter()
            .map(|entry| (entry.name, entry.lifecycle.clone()))
            .collect()
    }
}

async fn send_signal(
    name: &'static str,
    lifecycle: &Addr<TaskService>,
    step: ServiceSignal,
) -> Result<()> {
    let answer = lifecycle.send(step).await;
    let flat = answer
        .map_err(|error| error.to_string())
        .and_then(|told| told);
    flat.map_err(|reason| KernelError::Failed { name, reason })
}
