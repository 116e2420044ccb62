//! The byte budget of a process, shared by its connections.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::ledger::{ByteLedger, ChargeResult, HolderId};

/// Maximum time that a charge waits until others have released their bytes. Evicted connections do
/// so within milliseconds; only requests that are being served take longer.
const MAX_CHARGE_WAIT: Duration = Duration::from_secs(1);

/// The client's bytes are not held any longer, or not taken at all, as the byte budget is exhausted.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("byte budget exhausted")]
pub struct BudgetExhausted;

/// The byte budget of a process.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    shared: Arc<SharedLedger>,
}

#[derive(Debug)]
struct SharedLedger {
    state: Mutex<LedgerState>,
    /// Notified when bytes were released.
    released: Notify,
    started: Instant,
}

#[derive(Debug)]
struct LedgerState {
    ledger: ByteLedger,
    /// Number of evictions since the start.
    evictions: u64,
    notified: std::collections::HashMap<HolderId, Arc<Notify>>,
}

impl ByteBudget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Self {
            shared: Arc::new(SharedLedger {
                state: Mutex::new(LedgerState {
                    ledger: ByteLedger::new(capacity),
                    evictions: 0,
                    notified: Default::default(),
                }),
                released: Notify::new(),
                started: Instant::now(),
            }),
        }
    }

    /// Adds a holder of bytes.
    pub fn holder(&self) -> BudgetShare {
        let evicted = Arc::new(Notify::new());
        let mut state = self.shared.lock();
        let id = state.ledger.add(self.shared.now());
        state.notified.insert(id, Arc::clone(&evicted));
        drop(state);
        BudgetShare {
            shared: Arc::clone(&self.shared),
            evicted,
            id,
        }
    }

    /// Number of bytes that are held.
    pub fn held(&self) -> usize {
        self.shared.lock().ledger.held()
    }

    /// Size of the budget in bytes.
    pub fn capacity(&self) -> usize {
        self.shared.lock().ledger.capacity()
    }

    /// Number of evictions since the start.
    pub fn evictions(&self) -> u64 {
        self.shared.lock().evictions
    }
}

impl SharedLedger {
    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

/// What one client makes the process hold. The bytes are released when the share is dropped.
#[derive(Debug)]
pub struct BudgetShare {
    shared: Arc<SharedLedger>,
    evicted: Arc<Notify>,
    id: HolderId,
}

impl BudgetShare {
    /// Charges bytes before they are read, and waits for a limited time until there is room.
    ///
    /// # Errors
    /// The client is evicted, or there is no room in time.
    pub async fn charge(&self, bytes: usize) -> Result<(), BudgetExhausted> {
        if self.try_charge(bytes)? {
            return Ok(());
        }
        let waiting = async {
            loop {
                let released = self.shared.released.notified();
                tokio::pin!(released);
                released.as_mut().enable();
                if self.try_charge(bytes)? {
                    return Ok(());
                }
                released.await;
            }
        };
        timeout(MAX_CHARGE_WAIT, waiting)
            .await
            .unwrap_or(Err(BudgetExhausted))
    }

    /// Charges bytes if there is room. Returns whether there is. If there is none, the clients that
    /// have held the most for the longest without progress are evicted.
    ///
    /// # Errors
    /// The client is evicted.
    pub fn try_charge(&self, bytes: usize) -> Result<bool, BudgetExhausted> {
        let mut state = self.shared.lock();
        let was_evicted = state.ledger.is_evicted(self.id);
        let result = state.ledger.charge(self.shared.now(), self.id, bytes);
        match result {
            ChargeResult::Granted => Ok(true),
            ChargeResult::Evicted => {
                state.evictions += u64::from(!was_evicted);
                Err(BudgetExhausted)
            }
            ChargeResult::Exhausted(victims) => {
                state.evictions += victims.len() as u64;
                for victim in victims {
                    if let Some(notify) = state.notified.get(&victim) {
                        notify.notify_one();
                    }
                }
                Ok(false)
            }
        }
    }

    /// Releases bytes.
    pub fn release(&self, bytes: usize) {
        if bytes > 0 {
            self.shared.lock().ledger.release(self.id, bytes);
            self.shared.released.notify_waiters();
        }
    }

    /// Records that the client sent or took bytes.
    pub fn note_progress(&self) {
        let now = self.shared.now();
        self.shared.lock().ledger.note_progress(now, self.id);
    }

    /// Sets whether the client waits for this system. It is not evicted meanwhile.
    pub fn set_pinned(&self, is_pinned: bool) {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        state.ledger.set_pinned(now, self.id, is_pinned);
    }

    /// Waits until the client is evicted.
    pub async fn evicted(&self) {
        while !self.shared.lock().ledger.is_evicted(self.id) {
            self.evicted.notified().await;
        }
    }
}

/// Charges are rounded up to multiples of this many bytes, so that small reads cost no charge each.
const CHARGE_BLOCK_BYTES: usize = 4 * 1024;

/// One buffer within the share of a client. Its bytes are released when it is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    share: Arc<BudgetShare>,
    charged: usize,
}

impl HeldBytes {
    /// Creates the account of an empty buffer.
    pub fn new(share: &Arc<BudgetShare>) -> Self {
        Self {
            share: Arc::clone(share),
            charged: 0,
        }
    }

    /// Number of bytes that are charged.
    pub fn charged(&self) -> usize {
        self.charged
    }

    /// Charges what a buffer of `bytes` lacks, and waits for a limited time until there is room.
    ///
    /// # Errors
    /// The client is evicted, or there is no room in time.
    pub async fn grow_to(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        let target = bytes.next_multiple_of(CHARGE_BLOCK_BYTES);
        if target > self.charged {
            self.share.charge(target - self.charged).await?;
            self.charged = target;
        }
        Ok(())
    }

    /// Like [`Self::grow_to`], without waiting. Returns whether the bytes are charged.
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        let target = bytes.next_multiple_of(CHARGE_BLOCK_BYTES);
        let is_granted =
            target <= self.charged || self.share.try_charge(target - self.charged) == Ok(true);
        if is_granted {
            self.charged = self.charged.max(target);
        }
        is_granted
    }

    /// Releases all that a buffer of `bytes` does not need.
    pub fn shrink_to(&mut self, bytes: usize) {
        let target = bytes.next_multiple_of(CHARGE_BLOCK_BYTES);
        if target < self.charged {
            self.share.release(self.charged - target);
            self.charged = target;
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.share.release(self.charged);
    }
}

impl Drop for BudgetShare {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.ledger.remove(self.id);
        state.notified.remove(&self.id);
        drop(state);
        self.shared.released.notify_waiters();
    }
}
