//! VRRP version 3 (RFC 9568) as a machine without I/O: a `Router` is told what happens to one virtual router and acts
//! through `VrrpActions`. `packet` knows the octets. The RFC's Active router is the one that RFC 5798 called Master.
//! What differs from the RFC: packets ride in UDP on loopback, so the hop limit is carried as a field and the
//! checksum covers no pseudo-header; and since anyone on a segment could claim to be Active, each packet ends
//! in a keyed hash with a replay guard.
pub mod packet;

use std::net::Ipv4Addr;

/// Whole tenths of a millisecond.
pub type Time = u64;

/// One centisecond, the unit of advertisement intervals.
pub const CENTISECOND: Time = 100;

/// The priority of whoever owns the addresses, and the one that says "I stop" (RFC 9568, 5.2.4).
pub const OWNER: u8 = 255;
pub const STOPS: u8 = 0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Initialize,
    Backup,
    Active,
}

/// The parameters of a virtual router (RFC 9568, 6.1).
#[derive(Clone, Debug)]
pub struct Parameters {
    /// 1 to 255.
    pub vrid: u8,
    /// 1 to 254, or 255 for the owner of the addresses.
    pub priority: u8,
    /// Centiseconds, 1 to 4095.
    pub interval: u16,
    pub preempt: bool,
    /// Whether an Active router that is not the owner takes what is sent to the addresses.
    pub accept: bool,
    /// Decides between equal priorities.
    pub address: Ipv4Addr,
}

/// How a router acts.
pub trait VrrpActions {
    fn advertise(&mut self, vrid: u8, priority: u8, interval: u16);
    /// The one timer of a router; a new time replaces the old one.
    fn set_timer(&mut self, vrid: u8, wait: Time);
    fn cancel_timer(&mut self, vrid: u8);
    /// The virtual addresses are ours from now on (on a real link: gratuitous ARP). `accept` as configured, always
    /// true for the owner.
    fn become_active(&mut self, vrid: u8, accept: bool);
    fn become_backup(&mut self, vrid: u8);
}

/// What an advertisement says that matters here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Advertisement {
    pub priority: u8,
    pub interval: u16,
    pub from: Ipv4Addr,
}

pub struct Router {
    p: Parameters,
    state: State,
    /// The interval that the Active router tells; our own until one was heard.
    active_interval: u16,
}

impl Router {
    /// A line that names the parameter, where one is out of its range.
    pub fn new(p: Parameters) -> Result<Router, String> {
        if p.vrid == 0 {
            return Err("vrid: 0 is not within 1 to 255".to_string());
        }
        if p.priority == STOPS {
            return Err("priority: 0 is not within 1 to 255".to_string());
        }
        if !(1..=4095).contains(&p.interval) {
            return Err(format!(
                "interval: {} is not within 1 to 4095 centiseconds",
                p.interval
            ));
        }
        let active_interval = p.interval;
        Ok(Router {
            p,
            state: State::Initialize,
            active_interval,
        })
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn parameters(&self) -> &Parameters {
        &self.p
    }

    fn active_interval(&self) -> Time {
        Time::from(self.active_interval) * CENTISECOND
    }

    /// Skew_Time: the higher the priority, the shorter (6.1).
    pub fn skew_time(&self) -> Time {
        Time::from(256 - u16::from(self.p.priority)) * self.active_interval() / 256
    }

    /// Active_Down_Interval.
    pub fn active_down_interval(&self) -> Time {
        3 * self.active_interval() + self.skew_time()
    }

    fn own_interval(&self) -> Time {
        Time::from(self.p.interval) * CENTISECOND
    }

    fn advertise(&self, act: &mut impl VrrpActions, priority: u8) {
        act.advertise(self.p.vrid, priority, self.p.interval);
    }

    fn go_active(&mut self, act: &mut impl VrrpActions) {
        self.advertise(act, self.p.priority);
        act.become_active(self.p.vrid, self.p.accept || self.p.priority == OWNER);
        act.set_timer(self.p.vrid, self.own_interval());
        self.state = State::Active;
    }

    /// Startup (6.4.1).
    pub fn startup(&mut self, act: &mut impl VrrpActions) {
        if self.state != State::Initialize {
            return;
        }
        if self.p.priority == OWNER {
            return self.go_active(act);
        }
        self.active_interval = self.p.interval;
        act.set_timer(self.p.vrid, self.active_down_interval());
        self.state = State::Backup;
    }

    /// Shutdown (6.4.2, 6.4.3).
    pub fn shutdown(&mut self, act: &mut impl VrrpActions) {
        match std::mem::replace(&mut self.state, State::Initialize) {
            State::Initialize => {}
            State::Backup => act.cancel_timer(self.p.vrid),
            State::Active => {
                act.cancel_timer(self.p.vrid);
                self.advertise(act, STOPS);
                act.become_backup(self.p.vrid);
            }
        }
    }

    /// The timer of `VrrpActions::wake`: Active_Down_Timer in Backup, Adver_Timer in Active.
    pub fn timer_fired(&mut self, act: &mut impl VrrpActions) {
        match self.state {
            State::Initialize => {}
            State::Backup => self.go_active(act),
            State::Active => {
                self.advertise(act, self.p.priority);
                act.set_timer(self.p.vrid, self.own_interval());
            }
        }
    }

    /// An advertisement of this virtual router that passed all checks (7.1).
    pub fn advertisement_received(&mut self, act: &mut impl VrrpActions, a: Advertisement) {
        match self.state {
            State::Initialize => {}
            State::Backup if a.priority == STOPS => act.set_timer(self.p.vrid, self.skew_time()),
            State::Backup if !self.p.preempt || a.priority >= self.p.priority => {
                self.active_interval = a.interval;
                act.set_timer(self.p.vrid, self.active_down_interval());
            }
            // Of a lower priority, which is to be preempted: the timer runs on.
            State::Backup => {}
            State::Active if a.priority == STOPS => {
                self.advertise(act, self.p.priority);
                act.set_timer(self.p.vrid, self.own_interval());
            }
            State::Active => {
                let tie = a.priority == self.p.priority && a.from > self.p.address;
                if a.priority > self.p.priority || tie {
                    self.active_interval = a.interval;
                    act.become_backup(self.p.vrid);
                    act.set_timer(self.p.vrid, self.active_down_interval());
                    self.state = State::Backup;
                } else {
                    // RFC 9568: asserted at once, so that two Active routers are one again within a delay.
                    self.advertise(act, self.p.priority);
                    act.set_timer(self.p.vrid, self.own_interval());
                }
            }
        }
    }
}
