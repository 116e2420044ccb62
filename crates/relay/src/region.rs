//! Regions in which calls must stay.

use std::collections::{BTreeMap, BTreeSet};

use catalog::{AccountRule, RouteRule};
use wire::id::{DomainId, name_id};

/// Region of each failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DomainRegions {
    regions: BTreeMap<DomainId, String>,
}

impl DomainRegions {
    /// The regions of failure domains, by name.
    pub fn new(domains: &BTreeMap<String, String>) -> Self {
        let regions = domains.iter();
        let regions = regions.map(|(domain, region)| (name_id(domain), region.clone()));
        Self {
            regions: regions.collect(),
        }
    }

    /// Whether a failure domain lies in this region.
    pub fn contains(&self, region: &str) -> bool {
        self.regions.values().any(|known| known == region)
    }
}

/// Failure domains in which the calls of a route and a client account must stay; `None` if neither
/// names a region. Where both do, both apply. A domain whose region is not known is in none of them,
/// so that a call never leaves its regions for lack of settings.
pub fn allowed_domains(
    regions: &DomainRegions,
    route: &RouteRule,
    account: Option<&AccountRule>,
) -> Option<BTreeSet<DomainId>> {
    let of_account = account.map_or(&[][..], |account| &account.allowed_regions);
    let lists = [&route.allowed_regions[..], of_account];
    let lists = lists.into_iter().filter(|list| !list.is_empty());
    let lists: Vec<&[String]> = lists.collect();
    if lists.is_empty() {
        return None;
    }
    let is_allowed = |region: &String| lists.iter().all(|list| list.contains(region));
    let allowed = regions.regions.iter();
    let allowed = allowed.filter(|(_, region)| is_allowed(region));
    Some(allowed.map(|(domain, _)| *domain).collect())
}
