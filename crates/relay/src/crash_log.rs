//! Log lines and metrics of the decisions on requests that crash endpoints.

use wire::id::EndpointId;

use crate::crash::{CrashDecision, SuspectHash, SuspectKind};
use crate::state::RelayState;

impl RelayState {
    /// Writes the decisions of the crash tracker since the last call of this function to the log
    /// and the metrics.
    pub fn publish_crash_decisions(&self) {
        let decisions = self.crashes.borrow_mut().take_decisions();
        for decision in decisions {
            self.metrics.count_crash_decision(label_of(&decision));
            self.log_decision(decision);
        }
    }

    fn log_decision(&self, decision: CrashDecision) {
        match decision {
            CrashDecision::Pending(run) => {
                self.log_run(
                    "relay: run lost, cause pending",
                    run.fingerprint,
                    run.endpoint,
                );
            }
            CrashDecision::RuledOut(run) => {
                self.log_run(
                    "relay: run not lost in a crash",
                    run.fingerprint,
                    run.endpoint,
                );
            }
            CrashDecision::Expired(run) => {
                self.log_run(
                    "relay: cause of a lost run unknown",
                    run.fingerprint,
                    run.endpoint,
                );
            }
            CrashDecision::Found { crash, endpoint } => log::info!(
                crash = hex_text(crash).as_str(),
                endpoint = self.endpoint_name(endpoint).as_str(),
                endpoint_id = hex_text(endpoint).as_str();
                "relay: endpoint found down"
            ),
            // A crash is counted at every instance for every request that was lost in it; the first
            // one is logged only where the request was lost.
            CrashDecision::Counted {
                crashes: 1,
                is_own: false,
                ..
            } => {}
            CrashDecision::Counted {
                kind: SuspectKind::Request,
                hash,
                endpoint,
                crashes,
                ..
            } => {
                let text = format!("relay: crash counted, {crashes} in all");
                self.log_run(&text, hash, endpoint);
            }
            CrashDecision::Counted {
                kind: SuspectKind::Part,
                hash,
                endpoint,
                crashes,
                ..
            } => log::info!(
                part = hex_text(hash).as_str(),
                endpoint = self.endpoint_name(endpoint).as_str(),
                endpoint_id = hex_text(endpoint).as_str();
                "relay: crash counted against a prompt part, {crashes} in all"
            ),
            CrashDecision::Blocked(SuspectKind::Request, hash) => {
                log::warn!(fingerprint = hex_text(hash).as_str(); "relay: request is blocked");
            }
            CrashDecision::Blocked(SuspectKind::Part, hash) => {
                log::warn!(part = hex_text(hash).as_str(); "relay: prompt part is blocked");
            }
            CrashDecision::Cleared(SuspectKind::Request, hash) => {
                log::info!(fingerprint = hex_text(hash).as_str(); "relay: request cleared");
            }
            CrashDecision::Cleared(SuspectKind::Part, hash) => {
                log::info!(part = hex_text(hash).as_str(); "relay: prompt part cleared");
            }
        }
    }

    fn log_run(&self, text: &str, fingerprint: SuspectHash, endpoint: EndpointId) {
        log::info!(
            fingerprint = hex_text(fingerprint).as_str(),
            endpoint = self.endpoint_name(endpoint).as_str(),
            endpoint_id = hex_text(endpoint).as_str();
            "{text}"
        );
    }

    pub(crate) fn endpoint_name(&self, endpoint: EndpointId) -> String {
        let table = self.table.borrow();
        let row = table.row(endpoint);
        row.map_or_else(|| "-".to_owned(), |row| row.name.clone())
    }
}

fn label_of(decision: &CrashDecision) -> &'static str {
    match decision {
        CrashDecision::Pending(_) => "pending",
        CrashDecision::RuledOut(_) => "ruled-out",
        CrashDecision::Expired(_) => "expired",
        CrashDecision::Found { .. } => "found",
        CrashDecision::Counted { .. } => "counted",
        CrashDecision::Blocked(..) => "blocked",
        CrashDecision::Cleared(..) => "cleared",
    }
}

/// Formats a hash as 16 hexadecimal digits.
pub fn hex_text(hash: u64) -> String {
    format!("{hash:016x}")
}
