//! Consensus on the control log.
