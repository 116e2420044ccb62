//! Logs, metrics and decision records.
