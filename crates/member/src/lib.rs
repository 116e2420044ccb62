//! Membership: incarnations, heartbeats, platform list, suspicion, leaving.
