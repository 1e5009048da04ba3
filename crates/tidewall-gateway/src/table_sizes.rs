//! Sizes of the tables that clients make grow, for the log: they tell which one takes memory.
use crate::Gateway;
use tidewall_net::Net;

/// Number of entries of each table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Functions with state at the scheduler.
    pub functions: usize,
    /// Functions that no worker has shown to know.
    pub unconfirmed_functions: usize,
    /// Placements of all functions.
    pub placements: usize,
    /// Slots of open requests, used or not.
    pub request_slots: usize,
    /// Calls to workers that have not ended.
    pub calls: usize,
    /// Entries in the list of waiting requests, some of which do not wait any more.
    pub waiting: usize,
}

impl<N: Net> Gateway<N> {
    /// Sizes of the tables that clients make grow.
    pub fn table_sizes(&self) -> TableSizes {
        let scheduler = &self.context.scheduler;
        let functions = scheduler.function_counts();
        TableSizes {
            functions: functions.live,
            unconfirmed_functions: functions.unconfirmed,
            placements: functions.placements,
            request_slots: scheduler.request_slots(),
            calls: scheduler.host.calls.len(),
            waiting: scheduler.waiting_entries(),
        }
    }
}
