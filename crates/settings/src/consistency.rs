//! Consistency checks between values of the tree: references to other branches, limits that depend
//! on each other, and keys that must be unique.

use std::collections::{BTreeMap, HashMap};

use toml::Table;

use crate::check::{closest_match, fault};
use crate::fleet::{AccountSettings, FleetSettings, ModelSettings, ServiceKind, ServiceSettings};
use crate::location::CheckLocation;
use crate::path::SettingPath;
use crate::policy::{PolicyOverrides, PolicySettings};
use crate::tree::SettingFault;

/// All inconsistencies of the resolved tree. References are looked up in `raw_root`, the tree as
/// written, because `fleet` may lack a faulty branch, and a reference to it must not be reported as
/// dangling.
pub(crate) fn check_consistency(fleet: &FleetSettings, raw_root: &Table) -> Vec<SettingFault> {
    let mut check = ConsistencyCheck {
        fleet,
        raw_root,
        faults: Vec::new(),
    };
    check.check_limits();
    check.check_services();
    check.check_endpoints();
    check.check_accounts();
    check.check_key_hashes();
    check.faults
}

struct ConsistencyCheck<'a> {
    fleet: &'a FleetSettings,
    raw_root: &'a Table,
    faults: Vec<SettingFault>,
}

impl ConsistencyCheck<'_> {
    fn report(&mut self, location: &CheckLocation<'_>, reason: impl Into<String>) {
        self.faults.push(fault(location, reason));
    }

    /// Whether the tree as written has the branch `group.name`, valid or not.
    fn has_branch(&self, group: &str, name: &str) -> bool {
        let table = self.raw_root.get(group).and_then(toml::Value::as_table);
        table.is_some_and(|table| table.contains_key(name))
    }

    /// Reports a reference to a branch that is not in the group. Returns whether the branch exists.
    fn check_reference(&mut self, location: &CheckLocation<'_>, group: &str, name: &str) -> bool {
        if self.has_branch(group, name) {
            return true;
        }
        let table = self.raw_root.get(group).and_then(toml::Value::as_table);
        let known = table.into_iter().flat_map(Table::keys);
        let reason = match closest_match(name, known.map(String::as_str)) {
            Some(closest) => format!("`{name}` is not in `{group}`; did you mean `{closest}`?"),
            None => format!("`{name}` is not in `{group}`"),
        };
        self.report(location, reason);
        false
    }

    fn check_limits(&mut self) {
        let fleet = self.fleet;
        let root = CheckLocation::ROOT;
        self.check_policy(&root, &fleet.policy, None);
        let services = root.child("services");
        for (name, service) in &fleet.services {
            let location = services.child(name);
            let models = location.child("models");
            self.check_policy(&location, &service.policy, Some(&fleet.policy));
            for (model_name, model) in &service.models {
                self.check_policy(
                    &models.child(model_name),
                    &model.policy,
                    Some(&service.policy),
                );
            }
        }
        let accounts = root.child("accounts");
        for (name, account) in &fleet.accounts {
            let location = accounts.child(name);
            self.check_policy(&location, &account.policy, Some(&fleet.policy));
            self.check_account_services(&location, name, account);
        }
    }

    fn check_account_services(
        &mut self,
        location: &CheckLocation<'_>,
        name: &str,
        account: &AccountSettings,
    ) {
        let fleet = self.fleet;
        let mut branches = account.per_service.values().chain([&account.overrides]);
        let is_reported = limit_faults(&account.policy).next().is_some();
        if is_reported || !branches.any(sets_limit) {
            return;
        }
        let per_service = location.child("per_service");
        for (service_name, service) in &fleet.services {
            let resolved = fleet.request_policy(name, service_name);
            let location = match account.per_service.get(service_name) {
                Some(_) => per_service.child(service_name),
                None => *location,
            };
            self.check_policy(&location, &resolved, Some(&service.policy));
        }
    }

    /// Reports limits that contradict each other, unless the parent has the same contradiction.
    fn check_policy(
        &mut self,
        location: &CheckLocation<'_>,
        policy: &PolicySettings,
        parent: Option<&PolicySettings>,
    ) {
        let inherited: Vec<String> = parent
            .into_iter()
            .flat_map(limit_faults)
            .map(|it| it.1)
            .collect();
        for (key, reason) in limit_faults(policy) {
            if !inherited.contains(&reason) {
                self.report(&location.child(key), reason);
            }
        }
    }

    fn check_services(&mut self) {
        let fleet = self.fleet;
        let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
        let group = CheckLocation::ROOT.child("services");
        for (name, service) in &fleet.services {
            let location = group.child(name);
            let models = location.child("models");
            if service.kind == ServiceKind::Plain && !service.models.is_empty() {
                self.report(&models, "a plain service has no models");
            }
            for (model_name, model) in &service.models {
                let location = models.child(model_name);
                if let Some(owner) = owners.insert(model_name, name) {
                    self.report(
                        &location,
                        format!("is already a model of `services.{owner}`"),
                    );
                }
                self.check_placement(&location, name, service, model);
            }
        }
    }

    /// Reports endpoints that are unknown or belong to another service, and a model that has no
    /// endpoint because its service has none.
    fn check_placement(
        &mut self,
        location: &CheckLocation<'_>,
        service_name: &str,
        service: &ServiceSettings,
        model: &ModelSettings,
    ) {
        let fleet = self.fleet;
        let location = location.child("endpoints");
        if service.kind == ServiceKind::Plain {
            return;
        }
        for name in &model.endpoints {
            if !self.check_reference(&location, "endpoints", name) {
                continue;
            }
            let owner = fleet
                .endpoints
                .get(name)
                .map(|found| found.service.as_str());
            let is_other_service =
                owner.is_some_and(|owner| !owner.is_empty() && owner != service_name);
            if let Some(owner) = owner.filter(|_| is_other_service) {
                self.report(
                    &location,
                    format!("`{name}` belongs to the service `{owner}`"),
                );
            }
        }
        let mut endpoints = fleet.endpoints.values();
        let has_any = endpoints.any(|endpoint| endpoint.service == service_name);
        if model.endpoints.is_empty() && !has_any {
            let reason = format!("fits no endpoint: `{service_name}` has none");
            self.report(&location, reason);
        }
    }

    fn check_endpoints(&mut self) {
        let fleet = self.fleet;
        let group = CheckLocation::ROOT.child("endpoints");
        for (name, endpoint) in &fleet.endpoints {
            let location = group.child(name);
            // An empty name has already been reported as missing or malformed.
            if !endpoint.service.is_empty() {
                self.check_reference(&location.child("service"), "services", &endpoint.service);
            }
        }
    }

    fn check_accounts(&mut self) {
        let fleet = self.fleet;
        let group = CheckLocation::ROOT.child("accounts");
        for (name, account) in &fleet.accounts {
            let location = group.child(name);
            let per_service = location.child("per_service");
            for service in &account.services {
                self.check_reference(&location.child("services"), "services", service);
            }
            for service in account.per_service.keys() {
                let location = per_service.child(service);
                let is_known = self.check_reference(&location, "services", service);
                let is_allowed = account.services.is_empty() || account.services.contains(service);
                if is_known && !is_allowed {
                    self.report(&location, "the account may not use this service");
                }
            }
        }
    }

    /// Reports keys that are used by more than one account or operator.
    fn check_key_hashes(&mut self) {
        let fleet = self.fleet;
        let accounts = fleet.accounts.iter();
        let accounts = accounts.map(|(name, account)| ("accounts", name, &account.key_hash));
        let operators = fleet.operators.iter();
        let operators = operators.map(|(name, operator)| ("operators", name, &operator.key_hash));
        let mut owners: HashMap<&str, (&str, &str)> = HashMap::new();
        for (group, name, hash) in accounts.chain(operators) {
            // An empty hash has already been reported as missing or malformed.
            if hash.is_empty() {
                continue;
            }
            let Some((other_group, other)) = owners.insert(hash, (group, name)) else {
                continue;
            };
            let owner = SettingPath::default().child(other_group).child(other);
            let group = CheckLocation::ROOT.child(group);
            let location = group.child(name);
            let reason = format!("is also the key of `{owner}`");
            self.report(&location.child("key_hash"), reason);
        }
    }
}

/// Whether an account sets a limit that [`limit_faults`] compares. Accounts cannot set the load
/// limits.
fn sets_limit(overrides: &PolicyOverrides) -> bool {
    overrides.deadline_ms.is_some() || overrides.retention_s.is_some()
}

/// The contradictions between the limits of one branch, as the key to report and the reason.
fn limit_faults(policy: &PolicySettings) -> impl Iterator<Item = (&'static str, String)> + use<> {
    let PolicySettings {
        load_aim,
        load_bound,
        deadline,
        retention,
        ..
    } = *policy;
    let load_fault = (load_aim > load_bound).then(|| {
        let reason = format!("is {load_aim}, above `load_bound`, which is {load_bound}");
        ("load_aim", reason)
    });
    let retention_fault = (retention < deadline).then(|| {
        let reason = format!(
            "is {}, shorter than `deadline_ms`, which is {}",
            retention.as_secs(),
            deadline.as_millis()
        );
        ("retention_s", reason)
    });
    load_fault.into_iter().chain(retention_fault)
}
