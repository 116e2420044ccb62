//! What the system lets this process use.

/// Number of file descriptors that this process may open; `None` if the system does not tell.
pub fn descriptor_limit() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Number of links from other processes that a process accepts at most. The rest of the descriptors
/// is for other connections and for files, so that a flood of links does not stop those.
pub fn max_links() -> usize {
    descriptor_limit().map_or(usize::MAX, |limit| limit / 2)
}
