//! Number of running calls by client account.

use std::collections::HashMap;

use wire::id::ServiceId;

/// Number of calls that this instance is running, by service and client account.
#[derive(Debug, Default)]
pub struct AccountLoads {
    services: HashMap<ServiceId, HashMap<String, u32>>,
}

impl AccountLoads {
    /// Counts an admitted call of a client account.
    pub fn start(&mut self, service: ServiceId, account: &str) {
        let accounts = self.services.entry(service).or_default();
        *accounts.entry(account.to_owned()).or_default() += 1;
    }

    /// Removes a finished call of a client account from the count.
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

    /// Number of running calls of a client account.
    pub fn running(&self, service: ServiceId, account: &str) -> u32 {
        let accounts = self.services.get(&service);
        let running = accounts.and_then(|accounts| accounts.get(account));
        running.copied().unwrap_or_default()
    }

    /// Iterates over the client accounts with running calls and their numbers of calls, without
    /// those of callers that have no account.
    pub fn of_service(&self, service: ServiceId) -> impl Iterator<Item = (&str, u32)> {
        let accounts = self.services.get(&service).into_iter().flatten();
        let named = accounts.filter(|(account, _)| !account.is_empty());
        named.map(|(account, running)| (account.as_str(), *running))
    }

    /// Ratio of a client account's running calls, including the one to be admitted, to the mean
    /// over all client accounts that have running calls. Always 1 for an empty name: callers
    /// without a client account have nothing in common and must not be limited as one.
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
