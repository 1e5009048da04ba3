//! The state machine of one virtual router (RFC 9568, section 6).
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | Initialize | startup | Active as the owner of the addresses, else Backup |
//! | Backup | Active_Down_Timer fires | Active |
//! | Backup | advertisement of priority 0 | Backup; the timer fires after Skew_Time |
//! | Backup | another advertisement, unless of a lower priority that is preempted | Backup; the timer restarts |
//! | Active | Adver_Timer fires | Active; advertises |
//! | Active | advertisement of a higher priority, or of the same one and a higher address | Backup |
//! | Active | another advertisement | Active; advertises |
//! | Backup, Active | shutdown | Initialize |

use crate::{Time, CENTISECOND, MAX_INTERVAL, OWNER_PRIORITY, SHUTDOWN_PRIORITY};
use std::net::Ipv4Addr;
use thiserror::Error;

/// The states of a virtual router (RFC 9568, 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not started.
    Initialize,
    /// Monitors the Active router's advertisements.
    Backup,
    /// Owns the virtual addresses and advertises.
    Active,
}

/// The parameters of a virtual router (RFC 9568, 6.1).
#[derive(Clone, Debug)]
pub struct Parameters {
    /// The virtual router's identifier, 1 to 255.
    pub vrid: u8,
    /// 1 to 254, or 255 for the owner of the addresses.
    pub priority: u8,
    /// Advertisement_Interval in centiseconds, 1 to 4095.
    pub interval: u16,
    /// Preempt_Mode: whether to replace an Active router of lower priority.
    pub preempt: bool,
    /// Accept_Mode: whether an Active router that is not the owner accepts packets to the virtual addresses.
    pub accept: bool,
    /// The primary address; of two Active routers with equal priority the higher one stays Active.
    pub address: Ipv4Addr,
}

/// A parameter is out of range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ParameterError {
    /// The virtual router's identifier.
    #[error("vrid: 0 is not within 1 to 255")]
    Vrid,
    /// The priority.
    #[error("priority: 0 is not within 1 to 255")]
    Priority,
    /// The advertisement interval, with its value.
    #[error("interval: {0} is not within 1 to 4095 centiseconds")]
    Interval(u16),
}

impl From<ParameterError> for String {
    fn from(error: ParameterError) -> String {
        error.to_string()
    }
}

impl Parameters {
    fn validate(&self) -> Result<(), ParameterError> {
        if self.vrid == 0 {
            return Err(ParameterError::Vrid);
        }
        if self.priority == SHUTDOWN_PRIORITY {
            return Err(ParameterError::Priority);
        }
        if !(1..=MAX_INTERVAL).contains(&self.interval) {
            return Err(ParameterError::Interval(self.interval));
        }
        Ok(())
    }
}

/// The actions that a virtual router requests from its owner. `vrid` identifies the router.
pub trait VrrpActions {
    /// Sends an advertisement; `interval` is in centiseconds.
    fn advertise(&mut self, vrid: u8, priority: u8, interval: u16);
    /// Starts the router's only timer, replacing a running one.
    fn set_timer(&mut self, vrid: u8, delay: Time);
    /// Stops the timer.
    fn cancel_timer(&mut self, vrid: u8);
    /// Takes ownership of the virtual addresses for this router (on a real link: sends gratuitous ARP).
    /// `accept`: Accept_Mode as configured, always true for the owner of the addresses.
    fn become_active(&mut self, vrid: u8, accept: bool);
    /// Gives up ownership of the virtual addresses.
    fn become_backup(&mut self, vrid: u8);
}

/// The contents of a received advertisement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Advertisement {
    /// The virtual router's identifier.
    pub vrid: u8,
    /// The sender's priority; 0 if it shuts down.
    pub priority: u8,
    /// The sender's advertisement interval in centiseconds.
    pub interval: u16,
    /// The sender's primary address.
    pub from: Ipv4Addr,
}

/// One virtual router.
pub struct Router {
    parameters: Parameters,
    state: State,
    /// Active_Adver_Interval in centiseconds: the interval that the Active router advertises, or the
    /// configured one until an advertisement was received.
    active_interval: u16,
}

impl Router {
    /// Returns a router in state Initialize, or an error that names the first parameter out of range.
    pub fn new(parameters: Parameters) -> Result<Router, ParameterError> {
        parameters.validate()?;
        Ok(Router {
            state: State::Initialize,
            active_interval: parameters.interval,
            parameters,
        })
    }

    /// The current state.
    pub fn state(&self) -> State {
        self.state
    }

    fn active_interval(&self) -> Time {
        Time::from(self.active_interval) * CENTISECOND
    }

    /// Skew_Time: shorter for a higher priority (RFC 9568, 6.1).
    pub fn skew_time(&self) -> Time {
        Time::from(256 - u16::from(self.parameters.priority)) * self.active_interval() / 256
    }

    /// Active_Down_Interval: after this time without an advertisement the Active router counts as down (RFC
    /// 9568, 6.1).
    pub fn active_down_interval(&self) -> Time {
        3 * self.active_interval() + self.skew_time()
    }

    fn advertise(&self, actions: &mut impl VrrpActions, priority: u8) {
        actions.advertise(self.parameters.vrid, priority, self.parameters.interval);
    }

    fn advertise_and_restart_timer(&self, actions: &mut impl VrrpActions) {
        self.advertise(actions, self.parameters.priority);
        self.start_advertisement_timer(actions);
    }

    /// Starts Adver_Timer.
    fn start_advertisement_timer(&self, actions: &mut impl VrrpActions) {
        let interval = Time::from(self.parameters.interval) * CENTISECOND;
        actions.set_timer(self.parameters.vrid, interval);
    }

    /// Starts Active_Down_Timer.
    fn start_active_down_timer(&self, actions: &mut impl VrrpActions) {
        actions.set_timer(self.parameters.vrid, self.active_down_interval());
    }

    fn become_active(&mut self, actions: &mut impl VrrpActions) {
        let Parameters {
            vrid,
            priority,
            accept,
            ..
        } = self.parameters;
        self.advertise(actions, priority);
        actions.become_active(vrid, accept || priority == OWNER_PRIORITY);
        self.start_advertisement_timer(actions);
        self.state = State::Active;
    }

    /// Handles the Startup event (RFC 9568, 6.4.1).
    pub fn startup(&mut self, actions: &mut impl VrrpActions) {
        if self.state != State::Initialize {
            return;
        }
        if self.parameters.priority == OWNER_PRIORITY {
            return self.become_active(actions);
        }
        self.active_interval = self.parameters.interval;
        self.start_active_down_timer(actions);
        self.state = State::Backup;
    }

    /// Handles the Shutdown event (RFC 9568, 6.4.2 and 6.4.3).
    pub fn shutdown(&mut self, actions: &mut impl VrrpActions) {
        let vrid = self.parameters.vrid;
        match std::mem::replace(&mut self.state, State::Initialize) {
            State::Initialize => {}
            State::Backup => actions.cancel_timer(vrid),
            State::Active => {
                actions.cancel_timer(vrid);
                self.advertise(actions, SHUTDOWN_PRIORITY);
                actions.become_backup(vrid);
            }
        }
    }

    /// Handles the timer of [`VrrpActions::set_timer`]: Active_Down_Timer in Backup, Adver_Timer in Active.
    pub fn timer_fired(&mut self, actions: &mut impl VrrpActions) {
        match self.state {
            State::Initialize => {}
            State::Backup => self.become_active(actions),
            State::Active => self.advertise_and_restart_timer(actions),
        }
    }

    /// Handles an advertisement for this virtual router that passed all checks of RFC 9568, 7.1.
    pub fn advertisement_received(
        &mut self,
        actions: &mut impl VrrpActions,
        advertisement: Advertisement,
    ) {
        match self.state {
            State::Initialize => {}
            State::Backup => self.received_as_backup(actions, advertisement),
            State::Active => self.received_as_active(actions, advertisement),
        }
    }

    fn received_as_backup(&mut self, actions: &mut impl VrrpActions, received: Advertisement) {
        if received.priority == SHUTDOWN_PRIORITY {
            actions.set_timer(self.parameters.vrid, self.skew_time());
        } else if !self.parameters.preempt || received.priority >= self.parameters.priority {
            self.active_interval = received.interval;
            self.start_active_down_timer(actions);
        }
        // A sender of lower priority is preempted: Active_Down_Timer keeps running.
    }

    fn received_as_active(&mut self, actions: &mut impl VrrpActions, received: Advertisement) {
        let Parameters {
            priority, address, ..
        } = self.parameters;
        let outranked = received.priority > priority
            || received.priority == priority && received.from > address;
        if outranked {
            self.active_interval = received.interval;
            actions.become_backup(self.parameters.vrid);
            self.start_active_down_timer(actions);
            self.state = State::Backup;
        } else {
            // Advertised at once, also in reply to priority 0, so that after one network delay only one of
            // two Active routers is left (RFC 9568, 6.4.3).
            self.advertise_and_restart_timer(actions);
        }
    }
}
