//! The entry program: requests from callers, choice of endpoint, answer streams.
