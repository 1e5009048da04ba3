//! What is remembered of workers, functions and events. It decides nothing; all decisions are in `choice`.
use crate::choice::{COUNTER_STEP, MAX_ATTEMPTS};
use crate::interface::{Endpoint, RequestInfo, Time};
use std::collections::VecDeque;

/// Settings that every event asks for, read once: looking them up by name took most of the time at full size.
#[derive(Default)]
pub struct SchedulerConfig {
    pub siblings: f64,
    /// Departures for large fleets act with more gateways than this one's own rate and own events in flight
    /// can speak for (the limit lies well between the fleets seen, of 3 and of 20 and more).
    pub many: bool,
    /// Among many: a copy of which nothing is known is presumed to stand.
    pub presumes: bool,
    /// Probes are allowed and their reports tell how full a worker is.
    pub looks: bool,
    pub keep: Time,
    pub tick: Time,
    /// How often what is in hand is looked at.
    pub sweep: Time,
    /// How long an event waits for a probe's answer.
    pub look: Time,
    /// Reports tell events in flight.
    pub counts: bool,
    /// How long a worker is cold, and the part that it starts with; it tips over so many times that, for so long.
    pub cold: (Time, f64),
    pub tip: f64,
    pub tips: Time,
    /// Lists come only where they are asked for.
    pub asks: bool,
    pub orders: bool,
    /// Of orders: window, free ones, share of the events.
    pub ration: (Time, f64, f64),
    /// A worker without the function answers with a miss, and an order may change that.
    pub on_miss: bool,
    pub twice: bool,
    pub cancel: bool,
    pub most: usize,
    /// Events that a gateway may hold.
    pub held: f64,
    /// The longest time to come back that a deferral may tell; 0 where none may be told.
    pub back: Time,
    /// A launch that has not left so long after it was decided does not leave any more.
    pub reach: Time,
    /// A list that is older than this counts as told, asked for or not.
    pub within: Time,
}

/// What may be done again once a launch may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RetrySafety {
    Idempotent,
    IdempotencyKey(KeyScope, Time),
    #[default]
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Default)]
pub struct RequestClass {
    pub target: Time,
    /// The target time as clients show it: less where they leave before the told times.
    pub felt: f64,
    /// After which clients give up, and by how many times its work the target time of an event is longer.
    pub age: f64,
    pub stretch: f64,
    pub benefit: f64,
    pub late: f64,
    pub repeat: RetrySafety,
    /// Smoothed own warm latency and hint of cost, in tenths of a millisecond.
    pub run: f64,
    pub hint: f64,
}

#[derive(Default)]
pub struct Tenant {
    pub quota: f64,
    pub rate: SlidingCounter,
}

/// A count that slides over twenty steps.
#[derive(Clone, Default)]
pub struct SlidingCounter {
    pub steps: [u32; 20],
    pub at: Time,
    pub sum: u32,
}

impl SlidingCounter {
    pub fn turn(&mut self, now: Time) {
        let (step, len) = (now / COUNTER_STEP, self.steps.len() as Time);
        for s in self.at + 1..=step.min(self.at + len) {
            self.sum -= std::mem::take(&mut self.steps[(s % len) as usize]);
        }
        self.at = self.at.max(step);
    }

    pub fn add(&mut self, now: Time, n: u32) {
        self.turn(now);
        self.steps[(self.at % self.steps.len() as Time) as usize] += n;
        self.sum += n;
    }

    /// The sum by now, where nothing was added for a while.
    pub fn recent(&self, now: Time) -> u32 {
        let (step, len) = (now / COUNTER_STEP, self.steps.len() as Time);
        let gone = (self.at + 1..=step.min(self.at + len)).map(|s| self.steps[(s % len) as usize]);
        self.sum - gone.sum::<u32>()
    }

    /// How many there were, and over which part of the span since `started` they were counted.
    pub fn seen(&mut self, now: Time, started: Time) -> (f64, Time) {
        self.turn(now);
        (f64::from(self.sum), (now - started).min(COUNTER_STEP * self.steps.len() as Time))
    }
}

#[derive(Default)]
pub struct Worker {
    pub listed: Endpoint,
    pub in_flight: u32,
    /// The in-flight bound that the page leaves open, for the worker as a whole; learned.
    pub bound: f64,
    /// Smoothed warm latency over the target time.
    pub strain: f64,
    pub cut_at: Time,
    /// How full its last report showed it, when that came, and when a probe without answer went out.
    pub seen: f64,
    pub seen_at: Time,
    pub probe_at: Time,
    /// Failures in a row, and how long it is left out for them.
    pub failures: u32,
    /// When a connection to it last broke under a launch.
    pub broke_at: Time,
    pub out_until: Time,
    pub out_span: Time,
    /// Mean work that it did of late, and the launches that a cold start's budget counts.
    pub done: SlidingCounter,
    pub budget: VecDeque<(Time, usize)>,
    /// Where between 0 and 1 this gateway rounds its share of a cold worker up.
    pub luck: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum InstanceState {
    #[default]
    Unknown,
    Absent,
    Loading,
    Loaded,
}

/// A function's copies on one worker. A function has a seat for every worker, in the shared order.
#[derive(Clone, Copy, Debug, Default)]
pub struct Placement {
    pub wk: usize,
    pub copies: InstanceState,
    pub flight: u32,
    /// Orders that await their end, and asks that do.
    pub pending: u32,
    pub asks: u32,
    /// Company that own events met there, smoothed.
    pub crowd: f64,
    /// Last sign that the copy's idle time began anew.
    pub renewed: Time,
    pub barred_until: Time,
}

impl Placement {
    /// Nothing is out or awaited there.
    pub fn still(&self) -> bool {
        self.flight == 0 && self.pending == 0 && self.asks == 0
    }
}

#[derive(Default)]
pub struct Function {
    pub hash: u64,
    pub live: bool,
    pub typ: usize,
    pub lanes: u32,
    /// Smoothed own warm latency; 0 where there is none yet.
    pub run: f64,
    /// Smoothed time from an order to its copy; 0 where there is none yet.
    pub load: f64,
    /// A worker has shown that it knows it.
    pub shown: bool,
    /// An answer came since the last release of a copy.
    pub news: bool,
    pub crowded: Time,
    pub n: usize,
    pub turn: usize,
    pub rate: SlidingCounter,
    pub last: Time,
    pub events: u32,
    pub seats: Vec<Placement>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AttemptState {
    InFlight,
    /// Cancelled by us or late beyond patience: counted against its worker already.
    Overdue,
    Cancelled,
    #[default]
    NotExecuted,
    MayHaveExecuted,
    /// May have run; its connection broke, which says little of the worker.
    ConnectionLost,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Attempt {
    pub wk: usize,
    pub at: Time,
    /// How full the worker was seen to be.
    pub seen: f64,
    pub state: AttemptState,
}

#[derive(Default)]
pub struct Request {
    pub arrival: RequestInfo,
    pub came: Time,
    pub over: bool,
    pub streaming: bool,
    pub waiting: bool,
    /// The workers whose probes it waits for.
    pub looks: [usize; 2],
    /// Instances added for it, and when last.
    pub grown: u32,
    pub grown_at: Time,
    /// Launches that followed a failure; the move after a miss is not one.
    pub further: u32,
    pub launches: [Attempt; MAX_ATTEMPTS],
    pub count: usize,
}

impl Request {
    pub fn sent(&self) -> &[Attempt] {
        &self.launches[..self.count]
    }

    pub fn out(&self) -> usize {
        self.sent().iter().filter(|l| is_out(l.state)).count()
    }

    pub fn proven_not_run(&self) -> bool {
        self.sent().iter().all(|l| l.state == AttemptState::NotExecuted)
    }
}

pub fn is_out(state: AttemptState) -> bool {
    matches!(state, AttemptState::InFlight | AttemptState::Overdue | AttemptState::Cancelled)
}
