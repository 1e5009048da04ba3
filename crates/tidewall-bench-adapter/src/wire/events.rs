//! Decodes events of the simulator and their fields into the scheduler's terms. Fields are decoded
//! in a fixed order, so that of several errors in one line always the same one is reported.
use super::{Fields, GATEWAY};
use crate::error::FieldError;
use crate::names::ConfiguredNames;
use base64::{engine::general_purpose::STANDARD, Engine};
use tidewall::interface::{Endpoint, EndpointState, FunctionId, Outcome, RequestInfo, Time};
use tidewall::interner::fnv1a;
use tidewall::settings::Settings;

/// Kinds of events; other events are ignored.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// A gateway starts.
    GatewayStarted,
    /// A gateway was killed.
    GatewayKilled,
    /// The discovery server answered.
    EndpointUpdate,
    /// A request arrived.
    RequestArrived,
    /// The response to an attempt started.
    ResponseStarted,
    /// An attempt ended.
    AttemptEnded,
    /// A client stopped waiting.
    ClientAbandoned,
    /// A timer fired.
    TimerFired,
    /// A health check ended.
    HealthCheckEnded,
    /// A message from another gateway arrived.
    PeerMessage,
    /// A load request ended.
    LoadRequestEnded,
}

impl EventKind {
    /// Returns the kind of the event with this name; `None` if the event does not concern the
    /// scheduler.
    pub fn from_name(name: &str) -> Option<EventKind> {
        Some(match name {
            "UP" => EventKind::GatewayStarted,
            "KILLED" => EventKind::GatewayKilled,
            "VIEW" => EventKind::EndpointUpdate,
            "DEMAND" => EventKind::RequestArrived,
            "ACK_FIRST" => EventKind::ResponseStarted,
            "REPORT_BACK" => EventKind::AttemptEnded,
            "LAPSED" => EventKind::ClientAbandoned,
            "TIMER" => EventKind::TimerFired,
            "HEALTH" => EventKind::HealthCheckEnded,
            "FROM_PEER" => EventKind::PeerMessage,
            "LOAD_DONE" => EventKind::LoadRequestEnded,
            _ => return None,
        })
    }
}

/// Content of a discovery server's answer.
pub enum EndpointUpdate {
    /// The request failed.
    Failed,
    /// The answer holds the complete endpoint list.
    Complete,
    /// The answer holds changes of some entries.
    Incremental,
}

/// Load that a worker reports. A value that is not reported is 0.
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: f64,
    /// Share of its cores that is busy.
    pub busy: f64,
}

/// The end of an attempt.
pub struct AttemptEnd<'a> {
    /// Number of the attempt among the attempts of its request.
    pub attempt: usize,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Duration of the attempt.
    pub duration: Time,
    /// Whether the client has its response because of this attempt.
    pub finished: bool,
    /// Additional information from the worker, in the scheduler's encoding.
    pub note: u32,
    /// Load report of the worker, if there is one.
    pub report: Option<LoadReport>,
    /// Name of the worker.
    pub worker: &'a str,
}

/// The end of a health check.
pub struct HealthCheckEnd<'a> {
    /// Outcome of the health check.
    pub outcome: Outcome,
    /// Load report of the worker, if there is one.
    pub report: Option<LoadReport>,
    /// Name of the worker.
    pub worker: &'a str,
}

/// The end of a load request.
pub struct LoadRequestEnd<'a> {
    /// Outcome of the load request.
    pub outcome: Outcome,
    /// Number of instances that the worker has loaded after the request.
    pub instances: u32,
    /// Name of the worker.
    pub worker: &'a str,
    /// Key of the function.
    pub function: &'a str,
}

/// A message from another gateway.
pub struct PeerMessage {
    /// Index of the gateway that sent the message.
    pub sender: u32,
    /// Content of the message.
    pub bytes: Vec<u8>,
}

impl<'a> Fields<'a> {
    /// Number of the gateway that the event is for.
    pub fn gateway(&self) -> Result<u64, FieldError> {
        let name = self.gateway_name()?;
        let number = name
            .strip_prefix("gateway/")
            .and_then(|number| number.parse().ok());
        number.ok_or_else(|| FieldError::NotAGateway {
            field: GATEWAY,
            value: name.to_string(),
        })
    }

    /// Name of the gateway that the event is for.
    pub fn gateway_name(&self) -> Result<&'a str, FieldError> {
        self.text(GATEWAY)
    }

    /// Seed of a starting gateway's random number generator.
    pub fn seed(&self) -> Result<u64, FieldError> {
        self.parsed("entropy", None)
    }

    /// Settings of a starting gateway: all fields but its name and seed.
    pub fn settings(&self) -> Settings {
        self.pairs()
            .filter(|(key, _)| *key != GATEWAY && *key != "entropy")
            .map(|(key, value)| (key.to_string(), value.to_string()))
            .collect()
    }

    /// Id of the request that the event is about.
    pub fn request_id(&self) -> Result<&'a str, FieldError> {
        self.text("msg-id")
    }

    /// Key of the function that the event is about.
    pub fn function_key(&self) -> Result<&'a str, FieldError> {
        self.text("target-fn")
    }

    /// Name of the worker that the event is about.
    pub fn worker_name(&self) -> Result<&'a str, FieldError> {
        self.text("host")
    }

    /// Number of the attempt among the attempts of its request.
    pub fn attempt(&self) -> Result<usize, FieldError> {
        self.parsed("shot", None)
    }

    /// Token of a timer, as the scheduler assigned it.
    pub fn timer_token(&self) -> Result<u64, FieldError> {
        self.parsed("ctx", None)
    }

    /// Content of a discovery server's answer. Its entries are on the following lines.
    pub fn endpoint_update(&self) -> Result<EndpointUpdate, FieldError> {
        Ok(match self.text("scope")? {
            "broken" => EndpointUpdate::Failed,
            "whole" | "stale_copy" => EndpointUpdate::Complete,
            "patch" => EndpointUpdate::Incremental,
            value => return Err(unknown_word("scope", value, "scope")),
        })
    }

    /// Decodes an entry of an endpoint list.
    pub fn endpoint(&self, names: &ConfiguredNames) -> Result<Endpoint, FieldError> {
        let worker = self.worker_name()?;
        let state = match self.text("state")? {
            "on" => EndpointState::Active,
            "fading" => EndpointState::Draining,
            "off" => EndpointState::Removed,
            value => return Err(unknown_word("state", value, "state")),
        };
        Ok(Endpoint {
            name_hash: fnv1a(worker),
            zone: names.zone(self.find("dc")),
            kind: names.worker_kind(self.find("sku")),
            cell: self.parsed("pod", Some(0))?,
            state,
            rating: self.number("rating", Some(1.0))?,
            started_at: self.time("since-ms", Some(0.0))?,
        })
    }

    /// Decodes a request. `function` is the index of its function.
    pub fn request(
        &self,
        names: &ConfiguredNames,
        function: FunctionId,
    ) -> Result<RequestInfo, FieldError> {
        let key = self.function_key()?;
        let tenant = self.find("project").filter(|name| *name != "0");
        let class = self.text("qos")?;
        Ok(RequestInfo {
            class: names.class(class).ok_or_else(|| FieldError::UnknownName {
                field: "qos",
                value: class.to_string(),
            })?,
            tenant: tenant.and_then(|name| names.tenant(name)),
            function,
            function_hash: fnv1a(key),
            lanes: self.parsed("at-once", Some(1))?,
            memory: self.number("size-mb", Some(0.0))?,
            deadline: self.time("valid-until-ms", None)?,
            cost_hint: self.duration("work-hint-ms")?,
            load_hint: self.duration("cold-ms")?,
            is_retry: self.flag("resent")?,
        })
    }

    /// Decodes the end of an attempt.
    pub fn attempt_end(&self) -> Result<AttemptEnd<'a>, FieldError> {
        Ok(AttemptEnd {
            attempt: self.attempt()?,
            outcome: self.outcome()?,
            duration: self.duration("lag-ms")?,
            finished: self.flag("closed")?,
            note: self.parsed("note", Some(0))?,
            report: self.load_report()?,
            worker: self.worker_name()?,
        })
    }

    /// Decodes the end of a health check.
    pub fn health_check_end(&self) -> Result<HealthCheckEnd<'a>, FieldError> {
        let (outcome, report) = (self.outcome()?, self.load_report()?);
        // The duration is not used, but a line with an invalid one is rejected like any other
        // invalid line.
        self.duration("lag-ms")?;
        Ok(HealthCheckEnd {
            outcome,
            report,
            worker: self.worker_name()?,
        })
    }

    /// Decodes the end of a load request.
    pub fn load_request_end(&self) -> Result<LoadRequestEnd<'a>, FieldError> {
        let (outcome, instances) = (self.outcome()?, self.parsed("count", Some(0))?);
        // Validated but not used, as for health checks.
        self.duration("lag-ms")?;
        Ok(LoadRequestEnd {
            outcome,
            instances,
            worker: self.worker_name()?,
            function: self.function_key()?,
        })
    }

    /// Decodes a message from another gateway. `-` stands for an empty message.
    pub fn peer_message(&self) -> Result<PeerMessage, FieldError> {
        let (sender, payload) = (self.parsed("sender", None)?, self.text("payload")?);
        let payload = if payload == "-" { "" } else { payload };
        let bytes = STANDARD
            .decode(payload)
            .map_err(|cause| FieldError::Payload {
                field: "payload",
                cause,
            })?;
        Ok(PeerMessage { sender, bytes })
    }

    fn outcome(&self) -> Result<Outcome, FieldError> {
        Ok(match self.text("code")? {
            "1" => Outcome::Ok,
            "0" => Outcome::Error,
            "2" => Outcome::AtCapacity,
            "3" => Outcome::TimedOut,
            "4" => Outcome::ConnectFailed,
            "5" => Outcome::Reset,
            "6" => Outcome::Cancelled,
            "7" => Outcome::Discarded,
            "8" => Outcome::Miss,
            value => return Err(unknown_word("code", value, "outcome")),
        })
    }

    /// Decodes the load report; `None` if nothing is reported. If a name is repeated, its first
    /// value is used.
    fn load_report(&self) -> Result<Option<LoadReport>, FieldError> {
        let (mut in_flight, mut busy, mut reported) = (None, None, false);
        let pairs = self.find("metrics").unwrap_or("").split(',');
        for pair in pairs.filter(|pair| !pair.is_empty()) {
            let invalid = || FieldError::LoadReport {
                field: "metrics",
                value: pair.to_string(),
            };
            let (name, number) = pair.split_once(':').ok_or_else(invalid)?;
            let number = number
                .parse::<f64>()
                .ok()
                .filter(|number| number.is_finite());
            let number = number.ok_or_else(invalid)?;
            reported = true;
            match name {
                "rif" => _ = in_flight.get_or_insert(number),
                "busy" => _ = busy.get_or_insert(number),
                _ => {}
            }
        }
        Ok(reported.then(|| LoadReport {
            in_flight: in_flight.unwrap_or(0.0),
            busy: busy.unwrap_or(0.0),
        }))
    }
}

fn unknown_word(field: &'static str, value: &str, expected: &'static str) -> FieldError {
    FieldError::UnknownWord {
        field,
        value: value.to_string(),
        expected,
    }
}
