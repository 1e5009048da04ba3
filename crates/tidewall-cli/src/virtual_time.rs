//! Timestamps of log lines in simulated runs.
use tidewall_net::memory::{current_step, CurrentStep};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;

/// Writes the simulated network's time in milliseconds and the number of the node that is executing, instead
/// of the system's time: log lines then agree with the audit's times, and are the same in each run of a seed.
pub struct VirtualTime;

impl FormatTime for VirtualTime {
    fn format_time(&self, writer: &mut Writer<'_>) -> std::fmt::Result {
        match current_step() {
            None => write!(writer, "start"),
            Some(CurrentStep { at, node }) => {
                write!(writer, "{}.{} ms node {node}", at / 10, at % 10)
            }
        }
    }
}
