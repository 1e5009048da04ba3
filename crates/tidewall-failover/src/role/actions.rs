//! The actions that the role state machine requests from its owner.

use crate::leadership::Leadership;
use crate::proposal::ProposerTransport;

/// The effects of role changes. Requests to voters are those of [`ProposerTransport`].
pub trait RoleActions: ProposerTransport<Leadership> {
    /// Starts or shuts down VRRP. An Active router advertises priority 0 when it shuts down.
    fn set_vrrp_enabled(&mut self, enabled: bool);
    /// Starts serving. `take_over`: the requests that the other member had in flight are continued.
    /// `lost_state`: earlier incarnations may have had requests in flight of which no record is left.
    fn start_serving(&mut self, leadership: Leadership, take_over: bool, lost_state: bool);
    /// Continues serving under a new leadership; `take_over` as in [`RoleActions::start_serving`].
    fn leadership_renewed(&mut self, leadership: Leadership, take_over: bool);
    /// Stops accepting new requests; those in flight are completed.
    fn stop_accepting(&mut self);
    /// Sets whether calls and responses wait until the other member has recorded them.
    fn set_replication_wait(&mut self, enabled: bool);
    /// Starts replication to the other member: a snapshot followed by all updates, or with `updates_only` the
    /// updates alone, as the other member already holds everything up to now.
    fn start_replication(&mut self, updates_only: bool);
    /// Asks the other member to step down.
    fn request_step_down(&mut self);
    /// Reports to the other member that this one has stepped down.
    fn confirm_step_down(&mut self);
    /// Ends the process and restarts it without state.
    fn restart_process(&mut self, reason: &'static str);
    /// Ends the process: a shutdown was requested and no request is in flight.
    fn exit_process(&mut self);
}
