//! Load that an endpoint reports of itself.

/// Load that an endpoint reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that can run concurrently.
    pub slots: u32,
    /// Time that work takes on the endpoint's machine now, in percent of the usual time; `None` if
    /// it is not stated.
    pub work_percent: Option<u32>,
}

impl LoadReport {
    /// Number of queued requests relative to the slots; 0 if the slots are not known.
    pub fn waiting_ratio(self) -> f64 {
        f64::from(self.waiting) / f64::from(self.slots.max(1))
    }
}
