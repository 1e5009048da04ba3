//! What the role state machine has its owner do.

use crate::leadership::Leadership;
use crate::proposal::ProposerTransport;

/// The effects of a role change, besides the requests to voters.
pub trait RoleActions: ProposerTransport<Leadership> {
    /// Starts or shuts down VRRP. A router that is Active advertises priority 0 as it shuts down.
    fn set_vrrp_enabled(&mut self, enabled: bool);
    /// Serves from now on. `take_over`: continues what the other member had in flight. `lost_state`: what others had in
    /// flight before is on no record.
    fn start_serving(&mut self, leadership: Leadership, take_over: bool, lost_state: bool);
    /// Goes on serving under another leadership; `take_over` as above.
    fn leadership_renewed(&mut self, leadership: Leadership, take_over: bool);
    /// Receives no new requests; what is in flight is completed.
    fn stop_accepting(&mut self);
    /// Whether calls and responses wait until the other member recorded them.
    fn set_replication_wait(&mut self, enabled: bool);
    /// Replicates to the other member: a snapshot and all updates, or `updates_only` where it holds all up to now.
    fn start_replication(&mut self, updates_only: bool);
    /// Asks the other member to step down.
    fn request_step_down(&mut self);
    /// Reports to the other member that this one has stepped down.
    fn confirm_step_down(&mut self);
    /// Ends the process and starts it anew, without state.
    fn restart_process(&mut self, reason: &'static str);
    /// Ends the process: a shutdown was requested and nothing is in flight.
    fn exit_process(&mut self);
}
