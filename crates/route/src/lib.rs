//! Choice of an endpoint for a request.
