//! Events of the simulator and their fields, by the scheduler's terms. Fields are read in a fixed order, so that of
//! several faults in one line the same one is always named.
use super::{Fields, GATEWAY};
use crate::error::FieldError;
use crate::names::ConfiguredNames;
use base64::{engine::general_purpose::STANDARD, Engine};
use tidewall::interface::{Endpoint, EndpointState, FunctionId, Outcome, RequestInfo, Time};
use tidewall::interner::fnv1a;
use tidewall::settings::Settings;

/// What an event tells; others are passed over.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// A gateway starts.
    GatewayStarted,
    /// A gateway is killed.
    GatewayKilled,
    /// Discovery answered.
    EndpointUpdate,
    /// A request arrived.
    RequestArrived,
    /// The response of an attempt began.
    ResponseStarted,
    /// An attempt ended.
    AttemptEnded,
    /// A client stopped waiting.
    ClientAbandoned,
    /// A timer fired.
    TimerFired,
    /// A health check ended.
    HealthCheckEnded,
    /// A message of another gateway came.
    PeerMessage,
    /// A load request ended.
    LoadRequestEnded,
}

impl EventKind {
    /// The kind of an event by its name, None where it is none that the scheduler would hear of.
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

/// What an answer of discovery says.
pub enum EndpointUpdate {
    /// It failed.
    Failed,
    /// It holds the whole endpoint list.
    Complete,
    /// It holds changes of some entries.
    Incremental,
}

/// What a worker says of its load; 0 where it does not say.
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: f64,
    /// Part of its cores that is busy.
    pub busy: f64,
}

/// The end of an attempt.
pub struct AttemptEnd<'a> {
    /// Number of the attempt among those of its request.
    pub attempt: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub took: Time,
    /// Whether the client has its response by it.
    pub finished: bool,
    /// What the worker says beside the outcome, as the scheduler packs it.
    pub note: u32,
    /// The worker's load report, where one came.
    pub report: Option<LoadReport>,
    /// Name of the worker.
    pub worker: &'a str,
}

/// The end of a health check.
pub struct HealthCheckEnd<'a> {
    /// How it ended.
    pub outcome: Outcome,
    /// The worker's load report, where one came.
    pub report: Option<LoadReport>,
    /// Name of the worker.
    pub worker: &'a str,
}

/// The end of a load request.
pub struct LoadRequestEnd<'a> {
    /// How it ended.
    pub outcome: Outcome,
    /// Instances that the worker has loaded now.
    pub instances: u32,
    /// Name of the worker.
    pub worker: &'a str,
    /// Key of the function.
    pub function: &'a str,
}

/// A message of another gateway.
pub struct PeerMessage {
    /// Index of the gateway that sent it.
    pub sender: u32,
    /// Its bytes.
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

    /// Seed of a starting gateway's random numbers.
    pub fn seed(&self) -> Result<u64, FieldError> {
        self.parsed("entropy", None)
    }

    /// Settings of a starting gateway: they stand beside its own two fields, without a name in front of them.
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

    /// Number of the attempt among those of its request.
    pub fn attempt(&self) -> Result<usize, FieldError> {
        self.parsed("shot", None)
    }

    /// Token of a timer, as the scheduler gave it.
    pub fn timer_token(&self) -> Result<u64, FieldError> {
        self.parsed("ctx", None)
    }

    /// What an answer of discovery says; its entries are on the lines that follow.
    pub fn endpoint_update(&self) -> Result<EndpointUpdate, FieldError> {
        Ok(match self.text("scope")? {
            "broken" => EndpointUpdate::Failed,
            "whole" | "stale_copy" => EndpointUpdate::Complete,
            "patch" => EndpointUpdate::Incremental,
            value => return Err(unknown_word("scope", value, "scope")),
        })
    }

    /// An entry of an endpoint list.
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

    /// A request; `function` is the index of its function's key.
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

    /// The end of an attempt.
    pub fn attempt_end(&self) -> Result<AttemptEnd<'a>, FieldError> {
        Ok(AttemptEnd {
            attempt: self.attempt()?,
            outcome: self.outcome()?,
            took: self.duration("lag-ms")?,
            finished: self.flag("closed")?,
            note: self.parsed("note", Some(0))?,
            report: self.load_report()?,
            worker: self.worker_name()?,
        })
    }

    /// The end of a health check.
    pub fn health_check_end(&self) -> Result<HealthCheckEnd<'a>, FieldError> {
        let (outcome, report) = (self.outcome()?, self.load_report()?);
        // Nobody needs it, but a line whose duration is no number is refused like any other.
        self.duration("lag-ms")?;
        Ok(HealthCheckEnd {
            outcome,
            report,
            worker: self.worker_name()?,
        })
    }

    /// The end of a load request.
    pub fn load_request_end(&self) -> Result<LoadRequestEnd<'a>, FieldError> {
        let (outcome, instances) = (self.outcome()?, self.parsed("count", Some(0))?);
        // As with health checks.
        self.duration("lag-ms")?;
        Ok(LoadRequestEnd {
            outcome,
            instances,
            worker: self.worker_name()?,
            function: self.function_key()?,
        })
    }

    /// A message of another gateway; a dash stands for one without bytes.
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

    /// A load report; of a name that stands twice the first value counts. None where nothing is reported.
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
