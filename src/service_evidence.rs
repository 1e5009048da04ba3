//! Evidence of workers being in service, and its age: from the endpoint list as a whole, and from each
//! worker's own answers. Makes no decisions; those are in `choice/endpoint_age.rs`. Times are in tenths of a
//! millisecond; 0 means never.
use crate::interface::Time;

/// How recent the endpoint list is.
#[derive(Clone, Copy, Debug)]
pub struct EndpointListAge {
    /// The time as of which the discovery server's answers confirm the list.
    pub as_of: Time,
    /// The time by which the next answer arrives while the server is reachable; `Time::MAX` if lists arrive
    /// without requests.
    pub due_at: Time,
}

impl Default for EndpointListAge {
    fn default() -> EndpointListAge {
        EndpointListAge { as_of: Time::MAX, due_at: Time::MAX }
    }
}

/// Evidence from a worker's own answers. Each time is the one at which the worker was asked.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceEvidence {
    /// It accepted work: it executed an attempt, or looked for the instance.
    pub accepted_work_at: Time,
    /// It answered a health check as healthy.
    pub healthy_at: Time,
    /// It answered a query for instances.
    pub queried_at: Time,
    /// It answered a query and had instances.
    pub had_instances_at: Time,
    /// It rejected work, because it was full or draining.
    pub rejected_at: Time,
    /// Consecutive attempts that it rejected while the list was overdue.
    pub rejections: u32,
    /// It answered that it takes no work, or did not answer.
    pub denied_at: Time,
    /// When it was last asked whether it is in service.
    pub asked_at: Time,
    /// Number of answers to these service checks that are still to come.
    pub answers_pending: u32,
    /// It is not asked again before this time.
    pub ask_again_at: Time,
    /// When a connection to it last ended that was not closed from this side.
    pub connection_lost_at: Time,
    /// Whether it was presumed to have restarted although no list said so: another worker may be at its
    /// address.
    pub is_start_presumed: bool,
}

impl ServiceEvidence {
    /// The latest time as of which it is known to have been in service.
    pub fn confirmed_at(&self) -> Time {
        self.accepted_work_at.max(self.healthy_at.min(self.queried_at))
    }
}
