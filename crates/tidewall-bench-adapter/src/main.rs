//! The bench's wire on standard input and output. Many gateways live here and share nothing but the pipe.
//! It decodes, hands each field straight to the decisions, and writes what they call for.
mod door;

use door::Door;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use tidewall::choice::Scheduler;
use tidewall::interface::{Endpoint, EndpointState, Outcome, RequestInfo, Time};
use tidewall::interner::fnv1a;

type Gateways = BTreeMap<u64, Scheduler<Door>>;

/// The fields of one line; what goes wrong names the field.
struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    fn read(rest: &'a str) -> Result<Fields<'a>, String> {
        let mut pairs = Vec::new();
        for part in rest.split(' ').filter(|p| !p.is_empty()) {
            pairs.push(
                part.split_once('=')
                    .ok_or_else(|| format!("'{part}' is not name=value"))?,
            );
        }
        Ok(Fields(pairs))
    }

    fn find(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|p| p.0 == name).map(|p| p.1)
    }

    fn text(&self, name: &str) -> Result<&'a str, String> {
        self.find(name)
            .filter(|v| !v.is_empty())
            .ok_or_else(|| format!("field {name} is missing"))
    }

    fn parsed<T: std::str::FromStr>(&self, name: &str, otherwise: Option<T>) -> Result<T, String> {
        match (self.find(name), otherwise) {
            (None, Some(value)) => Ok(value),
            (None, None) => Err(format!("field {name} is missing")),
            (Some(v), _) => v
                .parse()
                .map_err(|_| format!("field {name}: '{v}' is not a valid value")),
        }
    }

    fn number(&self, name: &str, otherwise: Option<f64>) -> Result<f64, String> {
        let value = self.parsed(name, otherwise)?;
        if value.is_finite() && (0.0..1e15).contains(&value) {
            return Ok(value);
        }
        Err(format!("field {name}: '{value}' is out of range"))
    }

    /// Milliseconds to tenths, rounded down: a time of giving up never moves later.
    fn time(&self, name: &str, otherwise: Option<f64>) -> Result<Time, String> {
        Ok((self.number(name, otherwise)? * 10.0 + 1e-6).floor() as Time)
    }

    /// Milliseconds to tenths, rounded up: the clock and spans are never shorter than they were.
    fn span(&self, name: &str) -> Result<Time, String> {
        Ok((self.number(name, Some(0.0))? * 10.0 - 1e-6).ceil() as Time)
    }

    fn flag(&self, name: &str) -> Result<bool, String> {
        match self.find(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(v) => Err(format!("field {name}: '{v}' is neither 0 nor 1")),
        }
    }

    fn gateway(&self) -> Result<u64, String> {
        let id = self.text("gateway-id")?;
        let number = id.strip_prefix("gateway/").and_then(|n| n.parse().ok());
        number.ok_or_else(|| format!("field gateway-id: '{id}' is not an instance"))
    }

    fn outcome(&self) -> Result<Outcome, String> {
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
            v => return Err(format!("field code: '{v}' is no outcome")),
        })
    }

    /// A load report as (name, value) pairs.
    fn report(&self) -> Result<Vec<(&'a str, f64)>, String> {
        let mut values = Vec::new();
        for pair in self
            .find("metrics")
            .unwrap_or("")
            .split(',')
            .filter(|p| !p.is_empty())
        {
            let bad = || format!("field metrics: '{pair}' is not name:number");
            let (name, value) = pair.split_once(':').ok_or_else(bad)?;
            values.push((
                name,
                value
                    .parse::<f64>()
                    .ok()
                    .filter(|v| v.is_finite())
                    .ok_or_else(bad)?,
            ));
        }
        Ok(values)
    }
}

/// One line of a list.
fn listed(door: &mut Door, fields: &Fields) -> Result<(usize, Endpoint), String> {
    let host = fields.text("host")?;
    let standing = match fields.text("state")? {
        "on" => EndpointState::Active,
        "fading" => EndpointState::Draining,
        "off" => EndpointState::Removed,
        v => return Err(format!("field state: '{v}' is no state")),
    };
    let entry = Endpoint {
        name_hash: fnv1a(host),
        zone: door
            .zones
            .iter()
            .position(|z| Some(z.as_str()) == fields.find("dc"))
            .map_or(u32::MAX, |z| z as u32),
        kind: door
            .kinds
            .iter()
            .position(|k| Some(k.as_str()) == fields.find("sku"))
            .map_or(u32::MAX, |k| k as u32),
        cell: fields.parsed("pod", Some(0))?,
        state: standing,
        rating: fields.number("rating", Some(1.0))?,
        started_at: fields.time("since-ms", Some(0.0))?,
    };
    Ok((door.worker(host), entry))
}

/// Hands over the values of a load report, where one came.
fn reported(gw: &mut Scheduler<Door>, wk: usize, report: &[(&str, f64)]) {
    let value = |name| report.iter().find(|v| v.0 == name).map_or(0.0, |v| v.1);
    if !report.is_empty() {
        gw.load_reported(wk, value("rif"), value("busy"));
    }
}

/// Applies one event; `more` are the list lines that belong to it.
fn apply(all: &mut Gateways, now: Time, line: &str, more: &[String]) -> Result<(), String> {
    let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
    if name == "UP" {
        // The settings stand beside the two fields of the event, without a name in front of them.
        let fields = Fields::read(rest)?;
        let own = |key: &str| key == "gateway-id" || key == "entropy";
        let pairs = fields.0.iter().filter(|p| !own(p.0));
        let settings: BTreeMap<_, _> = pairs.map(|p| (p.0.to_string(), p.1.to_string())).collect();
        let seed = fields.parsed("entropy", None)?;
        let door = Door::new(fields.text("gateway-id")?, &settings);
        let gateway = Scheduler::new(door, now, seed, settings)
            .map_err(|e| format!("field profile-data: {e}"))?;
        all.insert(fields.gateway()?, gateway);
        return Ok(());
    }
    // A peer's payload may hold any base64, so only the first '=' of a pair divides it.
    let fields = Fields::read(rest)?;
    if !matches!(
        name,
        "KILLED"
            | "VIEW"
            | "DEMAND"
            | "ACK_FIRST"
            | "REPORT_BACK"
            | "LAPSED"
            | "TIMER"
            | "HEALTH"
            | "FROM_PEER"
            | "LOAD_DONE"
    ) {
        return Ok(());
    }
    let number = fields.gateway()?;
    if name == "KILLED" {
        // What it called for earlier in this batch goes with it.
        all.remove(&number);
        return Ok(());
    }
    let gw = all
        .get_mut(&number)
        .ok_or("field gateway-id: this instance is not up")?;
    gw.advance_clock(now);
    match name {
        "VIEW" => {
            let scope = fields.text("scope")?;
            if scope == "broken" {
                gw.endpoint_update_failed();
                return Ok(());
            }
            if !matches!(scope, "patch" | "whole" | "stale_copy") {
                return Err(format!("field scope: '{scope}' is no scope"));
            }
            let mut entries = Vec::new();
            for entry in more {
                let fields = Fields::read(entry.strip_prefix("M").unwrap_or(entry))?;
                entries.push(listed(&mut gw.host, &fields)?);
            }
            gw.update_endpoints(&entries, scope != "patch");
        }
        "DEMAND" => {
            let key = fields.text("target-fn")?;
            let tenant = fields.find("project").filter(|t| *t != "0");
            let typ = fields.text("qos")?;
            let arrival = RequestInfo {
                class: gw
                    .host
                    .types
                    .iter()
                    .position(|t| t == typ)
                    .ok_or_else(|| format!("field qos: '{typ}' is unknown"))?,
                tenant: tenant.and_then(|t| gw.host.tenants.iter().position(|n| n == t)),
                function: gw.host.function(key),
                function_hash: fnv1a(key),
                lanes: fields.parsed("at-once", Some(1))?,
                memory: fields.number("size-mb", Some(0.0))?,
                deadline: fields.time("valid-until-ms", None)?,
                cost_hint: fields.span("work-hint-ms")?,
                load_hint: fields.span("cold-ms")?,
                is_retry: fields.flag("resent")?,
            };
            let place = gw.next_request_slot();
            gw.host.open(place, fields.text("msg-id")?);
            gw.request_arrived(arrival);
        }
        "ACK_FIRST" => {
            let launch = fields.parsed("shot", None)?;
            if let Some(evt) = gw.host.event(fields.text("msg-id")?) {
                gw.response_started(evt, launch);
            }
        }
        "REPORT_BACK" => {
            let (launch, outcome) = (fields.parsed("shot", None)?, fields.outcome()?);
            let (took, over) = (fields.span("lag-ms")?, fields.flag("closed")?);
            let (note, report) = (fields.parsed("note", Some(0))?, fields.report()?);
            let wk = gw.host.worker(fields.text("host")?);
            reported(gw, wk, &report);
            if let Some(evt) = gw.host.event(fields.text("msg-id")?) {
                gw.attempt_ended(evt, launch, (outcome, took), over, note);
            }
        }
        "LAPSED" => {
            if let Some(evt) = gw.host.event(fields.text("msg-id")?) {
                gw.client_abandoned(evt);
            }
        }
        "TIMER" => gw.timer_fired(fields.parsed("ctx", None)?),
        "HEALTH" => {
            let (outcome, report) = (fields.outcome()?, fields.report()?);
            fields.span("lag-ms")?;
            let wk = gw.host.worker(fields.text("host")?);
            reported(gw, wk, &report);
            gw.health_check_ended(wk, outcome);
        }
        "FROM_PEER" => {
            let sender = fields.parsed("sender", None)?;
            gw.peer_message_received(sender, &door::bytes(fields.text("payload")?)?);
        }
        _ => {
            let (outcome, copies) = (fields.outcome()?, fields.parsed("count", Some(0))?);
            fields.span("lag-ms")?;
            let wk = gw.host.worker(fields.text("host")?);
            if let Some(img) = gw.host.known_function(fields.text("target-fn")?) {
                gw.load_request_ended(img, wk, outcome, copies);
            }
        }
    }
    Ok(())
}

/// A panic of the decisions is declared on the wire, with its text.
fn guarded(
    all: &mut Gateways,
    now: Time,
    line: &str,
    more: &[String],
) -> Result<Option<String>, String> {
    match catch_unwind(AssertUnwindSafe(|| apply(all, now, line, more))) {
        Ok(done) => done.map(|()| None),
        Err(cause) => {
            let text = cause.downcast_ref::<String>().cloned();
            let text = text.or_else(|| cause.downcast_ref::<&str>().map(|s| s.to_string()));
            let rest = line.split_once(' ').map_or("", |p| p.1);
            let id = rest
                .split(' ')
                .find_map(|p| p.strip_prefix("gateway-id="))
                .unwrap_or("gateway/0");
            let text = text
                .unwrap_or_else(|| "panic".to_string())
                .replace('\n', " ");
            Ok(Some(format!("BROKEN gateway-id={id} note-text={text}\n")))
        }
    }
}

fn run() -> Result<(), String> {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let (mut line, mut more, mut reply) = (String::new(), Vec::new(), String::new());
    let (mut count, mut now, mut open) = (0u64, 0, false);
    let mut all = Gateways::new();
    let mut read = |line: &mut String, count: &mut u64| -> Result<bool, String> {
        line.clear();
        *count += 1;
        let got = input
            .read_line(line)
            .map_err(|e| format!("line {count}: {e}"))?;
        line.truncate(line.trim_end_matches(['\n', '\r']).len());
        Ok(got > 0)
    };
    while read(&mut line, &mut count)? {
        let at = |e: String| format!("line {count}: {e}");
        if let Some(rest) = line.strip_prefix("TURN") {
            let fields = Fields::read(rest).map_err(at)?;
            fields.text("wall-ms").map_err(at)?;
            (now, open) = (fields.span("wall-ms").map_err(at)?, true);
        } else if line == "COMMIT" && open {
            open = false;
            for gateway in all.values_mut() {
                reply.push_str(&gateway.host.out);
                gateway.host.out.clear();
            }
            reply.push_str("EOR\n");
            output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| at(e.to_string()))?;
            reply.clear();
        } else if line.is_empty() {
            continue;
        } else if !open {
            return Err(at(format!(
                "'{}' stands outside a batch",
                line.split(' ').next().unwrap_or("")
            )));
        } else {
            more.clear();
            let (first, event) = (count, line.clone());
            if let Some(rest) = event.strip_prefix("VIEW ") {
                let fields = Fields::read(rest).map_err(at)?;
                for _ in 0..fields.parsed("members-list", Some(0u32)).map_err(at)? {
                    if !read(&mut line, &mut count)? || !line.starts_with("M ") {
                        return Err(format!(
                            "line {count}: field members-list: an entry is missing"
                        ));
                    }
                    more.push(line.clone());
                }
            }
            let fault =
                guarded(&mut all, now, &event, &more).map_err(|e| format!("line {first}: {e}"))?;
            reply.push_str(fault.as_deref().unwrap_or(""));
        }
    }
    if open {
        return Err(format!("line {count}: input ends inside a batch"));
    }
    Ok(())
}

fn main() {
    std::panic::set_hook(Box::new(|info| eprintln!("{info}")));
    if let Err(text) = run() {
        eprintln!("{text}");
        std::process::exit(2);
    }
}
