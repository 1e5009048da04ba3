//! The gateways that run in this process. Each event is passed to the scheduler of its gateway.
use crate::error::FieldError;
use crate::host::SchedulerHost;
use crate::wire::{self, EndpointUpdate, EventKind, Fields, LoadReport};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use tidewall::choice::Scheduler;
use tidewall::interface::{Time, WorkerId};

type Gateway = Scheduler<SchedulerHost>;

/// The running gateways by number. They share no state.
#[derive(Default)]
pub struct Gateways(BTreeMap<u64, Gateway>);

impl Gateways {
    /// Moves the commands of all gateways to the end of a reply, ordered by gateway number.
    pub fn drain_commands(&mut self, reply: &mut String) {
        for gateway in self.0.values_mut() {
            gateway.host.commands.drain_into(reply);
        }
    }

    /// Applies one event; `entries` are the lines of its endpoint list. If the scheduler panics,
    /// returns the line that reports this to the simulator.
    pub fn apply_guarded(
        &mut self,
        now: Time,
        event: &str,
        entries: &[String],
    ) -> Result<Option<String>, FieldError> {
        match catch_unwind(AssertUnwindSafe(|| self.apply(now, event, entries))) {
            Ok(result) => result.map(|()| None),
            Err(panic) => Ok(Some(wire::scheduler_panicked(
                event,
                panic_message(panic.as_ref()),
            ))),
        }
    }

    fn apply(&mut self, now: Time, event: &str, entries: &[String]) -> Result<(), FieldError> {
        let (name, fields) = wire::split_event(event);
        let fields = Fields::parse(fields)?;
        match EventKind::from_name(name) {
            None => Ok(()),
            Some(EventKind::GatewayStarted) => self.start(now, &fields),
            Some(EventKind::GatewayKilled) => {
                // The gateway's commands of this batch are lost with it.
                self.0.remove(&fields.gateway()?);
                Ok(())
            }
            Some(kind) => {
                let gateway = self.0.get_mut(&fields.gateway()?);
                let gateway = gateway.ok_or(FieldError::GatewayNotRunning {
                    field: wire::GATEWAY,
                })?;
                gateway.advance_clock(now);
                deliver(gateway, kind, &fields, entries)
            }
        }
    }

    fn start(&mut self, now: Time, fields: &Fields) -> Result<(), FieldError> {
        let settings = fields.settings();
        let seed = fields.seed()?;
        let host = SchedulerHost::new(fields.gateway_name()?, &settings);
        let gateway =
            Scheduler::new(host, now, seed, settings).map_err(|cause| FieldError::Settings {
                field: wire::SETTINGS,
                cause,
            })?;
        self.0.insert(fields.gateway()?, gateway);
        Ok(())
    }
}

/// Passes an event to the scheduler of a running gateway.
fn deliver(
    gateway: &mut Gateway,
    kind: EventKind,
    fields: &Fields,
    entries: &[String],
) -> Result<(), FieldError> {
    match kind {
        // `apply` handles both before it looks up the running gateway.
        EventKind::GatewayStarted | EventKind::GatewayKilled => {}
        EventKind::EndpointUpdate => update_endpoints(gateway, fields, entries)?,
        EventKind::RequestArrived => request_arrived(gateway, fields)?,
        EventKind::ResponseStarted => {
            let attempt = fields.attempt()?;
            if let Some(request) = gateway.host.find_request(fields.request_id()?) {
                gateway.response_started(request, attempt);
            }
        }
        EventKind::AttemptEnded => attempt_ended(gateway, fields)?,
        EventKind::ClientAbandoned => {
            if let Some(request) = gateway.host.find_request(fields.request_id()?) {
                gateway.client_abandoned(request);
            }
        }
        EventKind::TimerFired => gateway.timer_fired(fields.timer_token()?),
        EventKind::HealthCheckEnded => {
            let end = fields.health_check_end()?;
            let worker = gateway.host.intern_worker(end.worker);
            load_reported(gateway, worker, end.report);
            gateway.health_check_ended(worker, end.outcome);
        }
        EventKind::PeerMessage => {
            let message = fields.peer_message()?;
            gateway.peer_message_received(message.sender, &message.bytes);
        }
        EventKind::LoadRequestEnded => {
            let end = fields.load_request_end()?;
            let worker = gateway.host.intern_worker(end.worker);
            if let Some(function) = gateway.host.find_function(end.function) {
                gateway.load_request_ended(function, worker, end.outcome, end.instances);
            }
        }
    }
    Ok(())
}

fn update_endpoints(
    gateway: &mut Gateway,
    fields: &Fields,
    entries: &[String],
) -> Result<(), FieldError> {
    let complete = match fields.endpoint_update()? {
        EndpointUpdate::Failed => {
            gateway.endpoint_update_failed();
            return Ok(());
        }
        EndpointUpdate::Complete => true,
        EndpointUpdate::Incremental => false,
    };
    let mut endpoints = Vec::new();
    for entry in entries {
        let fields = wire::entry_fields(entry)?;
        let endpoint = fields.endpoint(&gateway.host.names)?;
        endpoints.push((gateway.host.intern_worker(fields.worker_name()?), endpoint));
    }
    gateway.update_endpoints(&endpoints, complete);
    Ok(())
}

fn request_arrived(gateway: &mut Gateway, fields: &Fields) -> Result<(), FieldError> {
    let function = gateway.host.intern_function(fields.function_key()?);
    let request = fields.request(&gateway.host.names, function)?;
    let slot = gateway.next_request_slot();
    gateway.host.insert_request(slot, fields.request_id()?);
    gateway.request_arrived(request);
    Ok(())
}

fn attempt_ended(gateway: &mut Gateway, fields: &Fields) -> Result<(), FieldError> {
    let end = fields.attempt_end()?;
    let worker = gateway.host.intern_worker(end.worker);
    // The load report is valid even if the request no longer exists.
    load_reported(gateway, worker, end.report);
    if let Some(request) = gateway.host.find_request(fields.request_id()?) {
        let outcome = (end.outcome, end.duration);
        gateway.attempt_ended(request, end.attempt, outcome, end.finished, end.note);
    }
    Ok(())
}

fn load_reported(gateway: &mut Gateway, worker: WorkerId, report: Option<LoadReport>) {
    if let Some(report) = report {
        gateway.load_reported(worker, report.in_flight, report.busy);
    }
}

/// Returns the message of a panic.
fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic")
}
