//! Running calls by client account.

use std::collections::HashMap;

use wire::id::ServiceId;

/// Calls that run here, by client account of a service.
#[derive(Debug, Default)]
pub struct AccountLoads {
    services: HashMap<ServiceId, HashMap<String, u32>>,
}

impl AccountLoads {
    /// A call of an account was let in.
    pub fn start(&mut self, service: ServiceId, account: &str) {
        let accounts = self.services.entry(service).or_default();
        *accounts.entry(account.to_owned()).or_default() += 1;
    }

    /// A call of an account has ended.
    pub fn finish(&mut self, service: ServiceId, account: &str) {
        let Some(accounts) = self.services.get_mut(&service) else {
            return;
        };
        let Some(running) = accounts.get_mut(account) else {
            return;
        };
        *running -= 1;
        if *running == 0 {
            accounts.remove(account);
        }
    }

    /// Calls of an account, the next one included, in relation to the mean of all that have any. Callers
    /// without an account are no single one, and have their share.
    pub fn load_ratio(&self, service: ServiceId, account: &str) -> f64 {
        if account.is_empty() {
            return 1.0;
        }
        let Some(accounts) = self.services.get(&service) else {
            return 1.0;
        };
        let own = accounts.get(account).copied().unwrap_or_default() + 1;
        let total: u32 = accounts.values().sum::<u32>() + 1;
        let count = accounts.len() + usize::from(own == 1);
        f64::from(own) * count as f64 / f64::from(total)
    }
}
