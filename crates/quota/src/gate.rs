//! The connection limit of a listener.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::connections::{
    AdmitResult, ConnectionId, ConnectionLimits, ConnectionTable, ConnectionUse,
};

/// Admits the connections of a listener, on one thread.
#[derive(Clone, Debug)]
pub struct ConnectionGate {
    shared: Rc<SharedTable>,
}

#[derive(Debug)]
struct SharedTable {
    table: RefCell<ConnectionTable>,
    notified: RefCell<HashMap<ConnectionId, Rc<Notify>>>,
    started: Instant,
}

impl SharedTable {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

impl ConnectionGate {
    /// Creates the gate of a listener.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            shared: Rc::new(SharedTable {
                table: RefCell::new(ConnectionTable::new(limits)),
                notified: RefCell::default(),
                started: Instant::now(),
            }),
        }
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.shared.table.borrow().count()
    }

    /// Admits a connection, in place of another one if need be. Returns `None` if it is to be
    /// closed.
    pub fn admit(&self, address: IpAddr) -> Option<ConnectionPass> {
        let shared = &self.shared;
        let result = shared.table.borrow_mut().admit(shared.now(), address);
        let id = match result {
            AdmitResult::Admitted(id) => id,
            AdmitResult::Replaces(id, victim) => {
                if let Some(notify) = shared.notified.borrow().get(&victim) {
                    notify.notify_one();
                }
                id
            }
            AdmitResult::Refused => return None,
        };
        let evicted = Rc::new(Notify::new());
        shared.notified.borrow_mut().insert(id, Rc::clone(&evicted));
        Some(ConnectionPass {
            shared: Rc::clone(shared),
            evicted,
            id,
        })
    }
}

/// Admission of one connection, until it is dropped.
#[derive(Debug)]
pub struct ConnectionPass {
    shared: Rc<SharedTable>,
    evicted: Rc<Notify>,
    id: ConnectionId,
}

impl ConnectionPass {
    /// Records what the connection does.
    pub fn note_use(&self, used_for: ConnectionUse) {
        let now = self.shared.now();
        let mut table = self.shared.table.borrow_mut();
        table.note_use(now, self.id, used_for);
    }

    /// Waits until the connection is to be closed in favour of a new one.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for ConnectionPass {
    fn drop(&mut self) {
        self.shared.table.borrow_mut().remove(self.id);
        self.shared.notified.borrow_mut().remove(&self.id);
    }
}
