//! How the decisions act. Whoever runs them (the bench's adapter today, a gateway later) implements this.

/// A time or a span in whole tenths of a millisecond.
pub type Time = u64;

/// How a launch, a probe or a hold order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    AtCapacity,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    Discarded,
    Miss,
}

/// What the list says of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    Active,
    Draining,
    #[default]
    Removed,
}

/// Where a worker stands in the list. Zone and kind are places in the settings' lists.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    pub name_hash: u64,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub state: EndpointState,
    pub rating: f64,
    /// When it last started; 0 is long ago.
    pub started_at: Time,
}

/// What is known of an event when it comes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestInfo {
    pub class: usize,
    /// None where the deployment has no tenants.
    pub tenant: Option<usize>,
    pub function: usize,
    /// A fixed hash of the function's id text, the same at every gateway.
    pub function_hash: u64,
    pub lanes: u32,
    pub memory: f64,
    /// When the client gives this try up.
    pub deadline: Time,
    /// Expected work and usual time of a load; 0 where it is not told.
    pub cost_hint: Time,
    pub load_hint: Time,
    pub is_retry: bool,
}

/// Indices: `evt` is the place that `Scheduler::next_place` named, `wk` and `img` (a function) are the door's.
pub trait SchedulerActions {
    /// Launches count 0, 1, 2 ... for each event. A time-out of 0 lasts until the client gives up.
    fn send_attempt(&mut self, evt: usize, wk: usize, time_out: Time);
    fn cancel_attempt(&mut self, evt: usize, launch: usize);
    fn reject(&mut self, evt: usize, come_back: Time);
    fn fail(&mut self, evt: usize);
    /// The event is over and all its launches are accounted for; its place will be used again.
    fn release_request(&mut self, evt: usize);
    fn set_timer(&mut self, wait: Time, token: u64);
    fn send_health_check(&mut self, wk: usize);
    fn close_idle_connections(&mut self, wk: usize);
    fn send_load_request(&mut self, img: usize, wk: usize, copies: u32);
    fn unload_instances(&mut self, img: usize, wk: usize);
    /// Nothing is known or pending of this function any more; its index may name another.
    fn forget_function(&mut self, img: usize);
    fn watch_endpoints(&mut self, on: bool);
    fn poll_endpoints(&mut self);
    fn send_to_peers(&mut self, peer: Option<u32>, bytes: &[u8]);
    fn log_note(&mut self, text: &str);
}
