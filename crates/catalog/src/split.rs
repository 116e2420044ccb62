//! Choosing one of the services of a route.

use crate::catalog::RouteRule;

impl RouteRule {
    /// The service that takes a request, by the weights of the route. `draw` is uniform over all
    /// of `u64`.
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
