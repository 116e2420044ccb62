//! Durable log and snapshots under one data folder.
