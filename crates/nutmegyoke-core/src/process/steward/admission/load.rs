//! The requests that an engine holds, as its report tells.

/// An engine's report of its requests and its memory, in tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// The requests that wait.
    pub waiting: u32,
    /// The requests that run.
    pub running: u32,
    /// The memory that cannot be evicted.
    pub used: u64,
    /// The whole memory; 0 if it is not known.
    pub total: u64,
    /// The tokens of the first request that waits.
    pub next: u64,
    /// The requests that run.
    pub runs: Vec<Run>,
}

/// A request that runs at an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Run {
    /// The id of the request.
    pub request: String,
    /// The tokens that it has in memory.
    pub tokens: u64,
    /// The events that it has produced; 0 until its prompt is prefilled.
    pub events: u64,
    /// 0 is the most urgent.
    pub priority: u8,
}
