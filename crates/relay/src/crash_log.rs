//! Log lines and metrics of the decisions on calls that crash endpoints.

use wire::gateway::CrashReport;

use crate::crash::CrashNews;
use crate::state::RelayState;

impl RelayState {
    /// Writes the decisions of the crash tracker since the last call of this function to the log
    /// and the metrics.
    pub fn publish_crash_news(&self) {
        let news = self.crashes.borrow_mut().take_news();
        for decision in news {
            self.metrics.count_crash_decision(label_of(decision));
            self.log_decision(decision);
        }
    }

    fn log_decision(&self, decision: CrashNews) {
        let (text, report) = match decision {
            CrashNews::Pending(report) => ("relay: call broke, cause pending", report),
            CrashNews::RuledOut(report) => ("relay: break is not a crash", report),
            CrashNews::Expired(report) => ("relay: break expired without a verdict", report),
            CrashNews::Counted { report, crashes } => {
                let text = format!("relay: crash counted, {crashes} in all");
                return self.log_report(&text, report);
            }
            CrashNews::Blocked(fingerprint) => {
                log::warn!(fingerprint = hex_text(fingerprint).as_str(); "relay: call is blocked");
                return;
            }
        };
        self.log_report(text, report);
    }

    fn log_report(&self, text: &str, report: CrashReport) {
        let table = self.table.borrow();
        let row = table.row(report.endpoint);
        log::info!(
            fingerprint = hex_text(report.fingerprint).as_str(),
            endpoint = row.map_or("-", |row| row.name.as_str()),
            endpoint_id = hex_text(report.endpoint).as_str();
            "{text}"
        );
    }
}

fn label_of(decision: CrashNews) -> &'static str {
    match decision {
        CrashNews::Pending(_) => "pending",
        CrashNews::RuledOut(_) => "ruled-out",
        CrashNews::Expired(_) => "expired",
        CrashNews::Counted { .. } => "counted",
        CrashNews::Blocked(_) => "blocked",
    }
}

/// Formats a hash as 16 hexadecimal digits.
pub fn hex_text(hash: u64) -> String {
    format!("{hash:016x}")
}
