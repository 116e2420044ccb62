//! The agent program: authority for one endpoint.
