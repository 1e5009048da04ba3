//! A session of the simulator's line protocol: reads batches of events and replies to each batch
//! with commands.
use crate::error::{LineError, LineErrorKind};
use crate::gateways::Gateways;
use crate::wire::{self, Line};
use std::io::{self, BufRead, Write};
use tidewall::interface::Time;

/// Input and output of a session, and the gateways that run in it.
pub struct Session<R, W> {
    input: R,
    output: W,
    /// The last line read.
    line: String,
    /// Number of the last line read, counted from 1.
    line_number: u64,
    /// Endpoint list entries of the current event.
    entries: Vec<String>,
    /// Lines of the reply to the current batch.
    reply: String,
    /// Time of the current batch.
    now: Time,
    in_batch: bool,
    gateways: Gateways,
}

impl<R: BufRead, W: Write> Session<R, W> {
    /// Creates a session that has not read anything yet.
    pub fn new(input: R, output: W) -> Session<R, W> {
        Session {
            input,
            output,
            line: String::new(),
            line_number: 0,
            entries: Vec::new(),
            reply: String::new(),
            now: 0,
            in_batch: false,
            gateways: Gateways::default(),
        }
    }

    /// Replies to batches until the input ends.
    ///
    /// # Errors
    /// If input or output fails, a line is invalid, or the input ends inside a batch. The current
    /// batch gets no reply.
    pub fn run(mut self) -> Result<(), LineError> {
        while self.read_line()? {
            self.handle_line()?;
        }
        if self.in_batch {
            return Err(self.error(LineErrorKind::EndsInsideBatch));
        }
        Ok(())
    }

    /// Reads the next line and strips its line end. Returns false at the end of the input.
    fn read_line(&mut self) -> Result<bool, LineError> {
        self.line.clear();
        self.line_number += 1;
        let length = self.input.read_line(&mut self.line);
        let length = length.map_err(|cause| self.error(cause))?;
        self.line
            .truncate(self.line.trim_end_matches(['\n', '\r']).len());
        Ok(length > 0)
    }

    fn handle_line(&mut self) -> Result<(), LineError> {
        match Line::classify(&self.line) {
            Line::BatchStart(fields) => {
                self.now = wire::batch_time(fields).map_err(|cause| self.error(cause))?;
                self.in_batch = true;
                Ok(())
            }
            Line::BatchEnd if self.in_batch => {
                self.answer_batch().map_err(|cause| self.error(cause))
            }
            Line::Empty => Ok(()),
            Line::Event if self.in_batch => self.handle_event(),
            Line::BatchEnd | Line::Event => Err(self.error(LineErrorKind::OutsideBatch {
                event: wire::split_event(&self.line).0.to_string(),
            })),
        }
    }

    /// Writes the reply to the current batch: the commands of all gateways and the end mark.
    fn answer_batch(&mut self) -> io::Result<()> {
        self.in_batch = false;
        self.gateways.drain_commands(&mut self.reply);
        wire::push_batch_end(&mut self.reply);
        self.output.write_all(self.reply.as_bytes())?;
        self.output.flush()?;
        self.reply.clear();
        Ok(())
    }

    fn handle_event(&mut self) -> Result<(), LineError> {
        // The entries of the endpoint list are read into `self.line`, so the event is cloned first.
        let (event, event_line) = (self.line.clone(), self.line_number);
        self.entries.clear();
        for _ in 0..wire::entry_count(&event).map_err(|cause| self.error(cause))? {
            if !self.read_line()? || !wire::is_entry(&self.line) {
                return Err(self.error(LineErrorKind::EntryMissing {
                    field: wire::ENTRY_COUNT,
                }));
            }
            self.entries.push(self.line.clone());
        }
        let result = self.gateways.apply_guarded(self.now, &event, &self.entries);
        let panic_line = result.map_err(|cause| LineError {
            line: event_line,
            kind: cause.into(),
        })?;
        self.reply.push_str(panic_line.as_deref().unwrap_or(""));
        Ok(())
    }

    /// Creates an error at the last line read.
    fn error(&self, kind: impl Into<LineErrorKind>) -> LineError {
        LineError {
            line: self.line_number,
            kind: kind.into(),
        }
    }
}
