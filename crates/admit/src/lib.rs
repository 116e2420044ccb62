//! Admission to one endpoint: load bound, fair queue, deadlines, drain.
