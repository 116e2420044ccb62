//! Checks of the tree as a whole: names that refer to each other, limits that depend on each
//! other, and keys that must differ.

use std::collections::{BTreeMap, HashMap};

use toml::Table;

use crate::check::{fault, nearest};
use crate::fleet::{AccountSettings, FleetSettings, ModelSettings, ServiceKind, ServiceSettings};
use crate::location::CheckPlace;
use crate::path::SettingPath;
use crate::policy::{PolicyOverrides, PolicySettings};
use crate::tree::SettingFault;

/// Every fault of the resolved tree. `names` is the tree before faulty values were left out, so
/// that a faulty branch is not reported again as a dangling name.
pub(crate) fn check_whole(fleet: &FleetSettings, names: &Table) -> Vec<SettingFault> {
    let mut check = WholeCheck {
        fleet,
        names,
        faults: Vec::new(),
    };
    check.limits();
    check.services();
    check.endpoints();
    check.accounts();
    check.key_hashes();
    check.faults
}

struct WholeCheck<'a> {
    fleet: &'a FleetSettings,
    names: &'a Table,
    faults: Vec<SettingFault>,
}

impl WholeCheck<'_> {
    fn report(&mut self, path: &CheckPlace<'_>, reason: impl Into<String>) {
        self.faults.push(fault(path, reason));
    }

    /// Whether the tree has the branch `group.name`, valid or not.
    fn has(&self, group: &str, name: &str) -> bool {
        let table = self.names.get(group).and_then(toml::Value::as_table);
        table.is_some_and(|table| table.contains_key(name))
    }

    /// Reports a name that refers to no branch of the group.
    fn reference(&mut self, path: &CheckPlace<'_>, group: &str, name: &str) -> bool {
        if self.has(group, name) {
            return true;
        }
        let table = self.names.get(group).and_then(toml::Value::as_table);
        let known = table.into_iter().flat_map(Table::keys);
        let reason = match nearest(name, known.map(String::as_str)) {
            Some(near) => format!("`{name}` is not in `{group}`; did you mean `{near}`?"),
            None => format!("`{name}` is not in `{group}`"),
        };
        self.report(path, reason);
        false
    }

    fn limits(&mut self) {
        let fleet = self.fleet;
        let root = CheckPlace::ROOT;
        self.policy(&root, &fleet.policy, None);
        let services = root.child("services");
        for (name, service) in &fleet.services {
            let path = services.child(name);
            let models = path.child("models");
            self.policy(&path, &service.policy, Some(&fleet.policy));
            for (model_name, model) in &service.models {
                self.policy(
                    &models.child(model_name),
                    &model.policy,
                    Some(&service.policy),
                );
            }
        }
        let accounts = root.child("accounts");
        for (name, account) in &fleet.accounts {
            let path = accounts.child(name);
            self.policy(&path, &account.policy, Some(&fleet.policy));
            self.account_services(&path, name, account);
        }
    }

    fn account_services(&mut self, path: &CheckPlace<'_>, name: &str, account: &AccountSettings) {
        let fleet = self.fleet;
        let mut branches = account.per_service.values().chain([&account.overrides]);
        let is_reported = limit_faults(&account.policy).next().is_some();
        if is_reported || !branches.any(sets_limit) {
            return;
        }
        let per_service = path.child("per_service");
        for (service_name, service) in &fleet.services {
            let resolved = fleet.request_policy(name, service_name);
            let path = match account.per_service.get(service_name) {
                Some(_) => per_service.child(service_name),
                None => *path,
            };
            self.policy(&path, &resolved, Some(&service.policy));
        }
    }

    /// Reports limits that contradict each other, unless the parent's already do.
    fn policy(
        &mut self,
        path: &CheckPlace<'_>,
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
                self.report(&path.child(key), reason);
            }
        }
    }

    fn services(&mut self) {
        let fleet = self.fleet;
        let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
        let group = CheckPlace::ROOT.child("services");
        for (name, service) in &fleet.services {
            let path = group.child(name);
            let models = path.child("models");
            if service.kind == ServiceKind::Plain && !service.models.is_empty() {
                self.report(&models, "a plain service has no models");
            }
            for (model_name, model) in &service.models {
                let path = models.child(model_name);
                if let Some(owner) = owners.insert(model_name, name) {
                    self.report(&path, format!("is already a model of `services.{owner}`"));
                }
                self.placement(&path, name, service, model);
            }
        }
    }

    /// Reports a placement that fits no endpoint.
    fn placement(
        &mut self,
        path: &CheckPlace<'_>,
        service_name: &str,
        service: &ServiceSettings,
        model: &ModelSettings,
    ) {
        let fleet = self.fleet;
        let path = path.child("endpoints");
        if service.kind == ServiceKind::Plain {
            return;
        }
        for name in &model.endpoints {
            if !self.reference(&path, "endpoints", name) {
                continue;
            }
            let owner = fleet
                .endpoints
                .get(name)
                .map(|found| found.service.as_str());
            let is_foreign = owner.is_some_and(|owner| !owner.is_empty() && owner != service_name);
            if let Some(owner) = owner.filter(|_| is_foreign) {
                self.report(&path, format!("`{name}` belongs to the service `{owner}`"));
            }
        }
        let mut endpoints = fleet.endpoints.values();
        let has_any = endpoints.any(|endpoint| endpoint.service == service_name);
        if model.endpoints.is_empty() && !has_any {
            let reason = format!("fits no endpoint: `{service_name}` has none");
            self.report(&path, reason);
        }
    }

    fn endpoints(&mut self) {
        let fleet = self.fleet;
        let group = CheckPlace::ROOT.child("endpoints");
        for (name, endpoint) in &fleet.endpoints {
            let path = group.child(name);
            // An empty name was reported as missing or malformed.
            if !endpoint.service.is_empty() {
                self.reference(&path.child("service"), "services", &endpoint.service);
            }
        }
    }

    fn accounts(&mut self) {
        let fleet = self.fleet;
        let group = CheckPlace::ROOT.child("accounts");
        for (name, account) in &fleet.accounts {
            let path = group.child(name);
            let per_service = path.child("per_service");
            for service in &account.services {
                self.reference(&path.child("services"), "services", service);
            }
            for service in account.per_service.keys() {
                let path = per_service.child(service);
                let is_known = self.reference(&path, "services", service);
                let is_allowed = account.services.is_empty() || account.services.contains(service);
                if is_known && !is_allowed {
                    self.report(&path, "the account may not use this service");
                }
            }
        }
    }

    /// Reports keys that open more than one branch.
    fn key_hashes(&mut self) {
        let fleet = self.fleet;
        let accounts = fleet.accounts.iter();
        let accounts = accounts.map(|(name, account)| ("accounts", name, &account.key_hash));
        let operators = fleet.operators.iter();
        let operators = operators.map(|(name, operator)| ("operators", name, &operator.key_hash));
        let mut owners: HashMap<&str, (&str, &str)> = HashMap::new();
        for (group, name, hash) in accounts.chain(operators) {
            // An empty hash was reported as missing or malformed.
            if hash.is_empty() {
                continue;
            }
            let Some((other_group, other)) = owners.insert(hash, (group, name)) else {
                continue;
            };
            let owner = SettingPath::default().child(other_group).child(other);
            let group = CheckPlace::ROOT.child(group);
            let path = group.child(name);
            let reason = format!("is also the key of `{owner}`");
            self.report(&path.child("key_hash"), reason);
        }
    }
}

/// Whether an account sets one of the values that [`limit_faults`] compares.
fn sets_limit(overrides: &PolicyOverrides) -> bool {
    overrides.deadline_ms.is_some() || overrides.retention_s.is_some()
}

/// Limits of one branch that contradict each other: the key to report and the reason.
fn limit_faults(policy: &PolicySettings) -> impl Iterator<Item = (&'static str, String)> + use<> {
    let PolicySettings {
        load_aim,
        load_bound,
        deadline,
        retention,
        ..
    } = *policy;
    let aim = (load_aim > load_bound).then(|| {
        let reason = format!("is {load_aim}, above `load_bound`, which is {load_bound}");
        ("load_aim", reason)
    });
    let kept = (retention < deadline).then(|| {
        let reason = format!(
            "is {}, shorter than `deadline_ms`, which is {}",
            retention.as_secs(),
            deadline.as_millis()
        );
        ("retention_s", reason)
    });
    aim.into_iter().chain(kept)
}
