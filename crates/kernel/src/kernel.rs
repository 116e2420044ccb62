//! The registry of services and their order.

use std::any::Any;
use std::cell::RefCell;
use std::collections::HashMap;

use actix::dev::ToEnvelope;
use actix::{Actor, Addr, Handler, Recipient};
use derive_more::{Display, Error};

use crate::signal::ServiceSignal;

/// Why the kernel can't go on.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum KernelError {
    /// Two services have the same name.
    #[display("service {name} is registered twice")]
    Duplicate {
        /// The name.
        name: &'static str,
    },
    /// A service refused a signal.
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

struct ServiceEntry {
    name: &'static str,
    signals: Recipient<ServiceSignal>,
}

/// The services of one process.
#[derive(Default)]
pub struct ServiceKernel {
    /// In order of registration, which is the order of the start.
    order: RefCell<Vec<ServiceEntry>>,
    /// Holds an `Addr` of each service's own actor type.
    addresses: RefCell<HashMap<&'static str, Box<dyn Any>>>,
}

impl ServiceKernel {
    /// A kernel without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a service under a name.
    ///
    /// # Errors
    /// [`KernelError::Duplicate`] when the name is taken.
    pub fn register<A>(&self, name: &'static str, address: Addr<A>) -> Result<()>
    where
        A: Actor + Handler<ServiceSignal>,
        A::Context: ToEnvelope<A, ServiceSignal>,
    {
        let mut addresses = self.addresses.borrow_mut();
        if addresses.contains_key(name) {
            return Err(KernelError::Duplicate { name });
        }
        let signals = address.clone().recipient();
        addresses.insert(name, Box::new(address));
        self.order.borrow_mut().push(ServiceEntry { name, signals });
        Ok(())
    }

    /// The service registered under `name`, if it is an `A`.
    pub fn find<A: Actor>(&self, name: &str) -> Option<Addr<A>> {
        self.addresses
            .borrow()
            .get(name)?
            .downcast_ref::<Addr<A>>()
            .cloned()
    }

    /// Starts every service in order of registration.
    ///
    /// # Errors
    /// The first service that fails.
    pub async fn start(&self) -> Result<()> {
        for (name, signals) in self.in_order() {
            log::info!("kernel: starting {name}");
            signal(name, &signals, ServiceSignal::Start).await?;
        }
        Ok(())
    }

    /// Drains every service in reverse order, then stops each, also in reverse.
    ///
    /// # Errors
    /// The first failure, after all services were told.
    pub async fn shut_down(&self) -> Result<()> {
        let mut result = Ok(());
        for step in [ServiceSignal::Drain, ServiceSignal::Stop] {
            for (name, signals) in self.in_order().into_iter().rev() {
                log::info!("kernel: {step:?} {name}");
                result = result.and(signal(name, &signals, step).await);
            }
        }
        result
    }

    fn in_order(&self) -> Vec<(&'static str, Recipient<ServiceSignal>)> {
        let order = self.order.borrow();
        order
            .iter()
            .map(|entry| (entry.name, entry.signals.clone()))
            .collect()
    }
}

async fn signal(
    name: &'static str,
    signals: &Recipient<ServiceSignal>,
    step: ServiceSignal,
) -> Result<()> {
    let answer = signals.send(step).await;
    let flat = answer
        .map_err(|error| error.to_string())
        .and_then(|told| told);
    flat.map_err(|reason| KernelError::Failed { name, reason })
}
