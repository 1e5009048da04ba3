//! What is known of workers' being in service, and as of when: from the endpoint list as a whole, and from
//! each worker's own answers. It decides nothing; `choice/endpoint_age.rs` does. Times are in tenths of a
//! millisecond; 0 is never.
use crate::interface::Time;

/// How recent the endpoint list is.
#[derive(Clone, Copy, Debug)]
pub struct EndpointListAge {
    /// The discovery server's answers prove the list as of then.
    pub as_of: Time,
    /// While the server can be reached its next answer comes by then; `Time::MAX` where lists come unasked.
    pub due_at: Time,
}

impl Default for EndpointListAge {
    fn default() -> EndpointListAge {
        EndpointListAge { as_of: Time::MAX, due_at: Time::MAX }
    }
}

/// What a worker's own answers say. Each time is that at which it was asked.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceEvidence {
    /// It took work: it executed an attempt, or looked for the instance.
    pub took_work_at: Time,
    /// It said that it is healthy.
    pub healthy_at: Time,
    /// It answered a query for instances.
    pub queried_at: Time,
    /// It answered a query with instances that it has.
    pub had_instances_at: Time,
    /// It turned work away; it may be full, or draining.
    pub rejected_at: Time,
    /// Attempts in a row that it turned away while the list was overdue.
    pub rejections: u32,
    /// It said that it takes no work, or did not answer.
    pub denied_at: Time,
    /// When it was last asked whether it is in service.
    pub asked_at: Time,
    /// Answers to that which are still to come.
    pub answers_pending: u32,
    /// It is not asked again before.
    pub ask_again_at: Time,
    /// When a connection to it last ended, and not from this side.
    pub connection_lost_at: Time,
    /// It was taken to have restarted though no list said so: another worker may be at its address.
    pub is_start_presumed: bool,
}

impl ServiceEvidence {
    /// The last time as of which it is known to have been in service.
    pub fn confirmed_at(&self) -> Time {
        self.took_work_at.max(self.healthy_at.min(self.queried_at))
    }
}
