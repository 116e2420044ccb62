//! Choice of a route's service by weight.

use crate::catalog::RouteRule;

impl RouteRule {
    /// Chooses the service of a request by the weights of the route; `None` if all weights are 0.
    /// `draw` must be uniformly distributed over all of `u64`.
    pub fn choose_service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self
            .services
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        if total == 0 {
            return None;
        }
        let mut rest = draw % total;
        for share in &self.services {
            let weight = u64::from(share.weight);
            if rest < weight {
                return Some(&share.service);
            }
            rest -= weight;
        }
        None
    }
}
