//! How the decisions act. Whoever runs them (the bench's adapter today, a gateway later) implements this.

/// A time or a span in whole tenths of a millisecond.
pub type Time = u64;

/// How a launch, a probe or a hold order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    Full,
    TimedOut,
    NoConnection,
    Reset,
    Cancelled,
    Moot,
    Miss,
}

/// What the list says of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    On,
    Draining,
    #[default]
    Gone,
}

/// Where a worker stands in the list. Zone and kind are places in the settings' lists.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Listed {
    pub hash: u64,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub standing: Standing,
    pub rating: f64,
    /// When it last started; 0 is long ago.
    pub since: Time,
}

/// What is known of an event when it comes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arrival {
    pub typ: usize,
    /// None where the deployment has no tenants.
    pub tenant: Option<usize>,
    pub function: usize,
    /// A fixed hash of the function's id text, the same at every gateway.
    pub function_hash: u64,
    pub lanes: u32,
    pub memory: f64,
    /// When the client gives this try up.
    pub gives_up: Time,
    /// Expected work and usual time of a load; 0 where it is not told.
    pub hint: Time,
    pub load_hint: Time,
    pub resent: bool,
}

/// Indices: `evt` is the place that `Choice::next_place` named, `wk` and `img` (a function) are the door's.
pub trait Host {
    /// Launches count 0, 1, 2 ... for each event. A time-out of 0 lasts until the client gives up.
    fn launch(&mut self, evt: usize, wk: usize, time_out: Time);
    fn cancel(&mut self, evt: usize, launch: usize);
    fn defer(&mut self, evt: usize, come_back: Time);
    fn dead_letter(&mut self, evt: usize);
    /// The event is over and all its launches are accounted for; its place will be used again.
    fn release(&mut self, evt: usize);
    fn timer(&mut self, wait: Time, token: u64);
    fn probe(&mut self, wk: usize);
    fn hang_up(&mut self, wk: usize);
    fn hold(&mut self, img: usize, wk: usize, copies: u32);
    fn unload(&mut self, img: usize, wk: usize);
    /// Nothing is known or pending of this function any more; its index may name another.
    fn forget(&mut self, img: usize);
    fn follow(&mut self, on: bool);
    fn look_up(&mut self);
    fn tell(&mut self, peer: Option<u32>, bytes: &[u8]);
    fn note(&mut self, text: &str);
}
