//! Where log lines go: to standard error. That a line cannot be written never ends a command, and never blocks
//! or slows a gateway. Lines that are lost are counted, and one line tells their number once writing works again.
use std::io::{self, Write};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::writer::BoxMakeWriter;

/// Number of lines that wait while standard error takes none. Later ones are lost.
const MAX_WAITING_LINES: usize = 4096;

/// How long a command waits for standard error to take the last line before it ends.
const LAST_LINE_TIMEOUT: Duration = Duration::from_millis(500);

/// How the log is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blocking {
    /// A line that cannot be written yet is waited for.
    Allowed,
    /// Another thread writes the lines, and some are lost where standard error does not take them.
    Never,
}

/// Creates the writer of log lines. The lines that wait are written, as far as possible, when the guard is
/// dropped. `json` tells that each line is a JSON object.
pub fn open(blocking: Blocking, json: bool) -> (BoxMakeWriter, Option<WorkerGuard>) {
    let overflow = Arc::new(OnceLock::new());
    let sink = LogSink {
        output: io::stderr(),
        json,
        failed: 0,
        overflow: overflow.clone(),
        told: 0,
    };
    if blocking == Blocking::Allowed {
        return (BoxMakeWriter::new(Mutex::new(sink)), None);
    }
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_WAITING_LINES)
        .thread_name("log")
        .finish(sink);
    overflow.get_or_init(|| writer.error_counter());
    (BoxMakeWriter::new(writer), Some(guard))
}

/// Writes a line to standard error before the process ends, unless standard error takes nothing.
pub fn write_last_line(line: &str) {
    let mut poll = libc::pollfd {
        fd: libc::STDERR_FILENO,
        events: libc::POLLOUT,
        revents: 0,
    };
    // SAFETY: the pointer is to one initialised entry, which outlives the call.
    let ready = unsafe { libc::poll(&mut poll, 1, LAST_LINE_TIMEOUT.as_millis() as libc::c_int) };
    if ready > 0 {
        // Nothing is left to tell a failure to.
        let _ = writeln!(io::stderr(), "{line}");
    }
}

/// Writes one line in each call of [`Write::write`], and counts those that cannot be written.
struct LogSink<W> {
    output: W,
    json: bool,
    /// Number of lines whose write has failed.
    failed: u64,
    /// Counts the lines that were lost because too many waited.
    overflow: Arc<OnceLock<ErrorCounter>>,
    /// Number of lost lines that a line has told of.
    told: u64,
}

impl<W: Write> LogSink<W> {
    fn lost(&self) -> u64 {
        let overflow = self.overflow.get().map_or(0, ErrorCounter::dropped_lines);
        self.failed + overflow as u64
    }

    /// Tells how many lines were lost since the last such line. The first byte ends a line that was written in
    /// part.
    fn tell_lost(&mut self) -> io::Result<()> {
        let (lost, so_far) = (self.lost() - self.told, self.lost());
        if lost == 0 {
            return Ok(());
        }
        let line = if self.json {
            format!("\n{{\"level\":\"WARN\",\"message\":\"log lines lost\",\"lost\":{lost},\"so_far\":{so_far}}}\n")
        } else {
            format!("\nWARN log lines lost lost={lost} so_far={so_far}\n")
        };
        self.output.write_all(line.as_bytes())?;
        self.told = so_far;
        Ok(())
    }
}

impl<W: Write> Write for LogSink<W> {
    /// Never fails: a line that cannot be written is counted.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let written = self.tell_lost().and_then(|()| self.output.write_all(line));
        self.failed += u64::from(written.is_err());
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
