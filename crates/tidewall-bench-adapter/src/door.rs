//! The door: id texts become small indices here, and what the decisions call for becomes lines.
use base64::{engine::general_purpose::STANDARD, Engine};
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use tidewall::interface::{SchedulerActions, Time};
use tidewall::interner::Interner;

pub fn bytes(text: &str) -> Result<Vec<u8>, String> {
    let text = if text == "-" { "" } else { text };
    STANDARD
        .decode(text)
        .map_err(|e| format!("field payload: {e}"))
}

pub struct Door {
    id: String,
    pub out: String,
    pub types: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    workers: Interner,
    functions: Interner,
    events: Vec<String>,
    places: HashMap<String, usize>,
}

impl Door {
    pub fn new(id: &str, settings: &BTreeMap<String, String>) -> Door {
        let named = |list: &str| {
            (0..)
                .map_while(|i| settings.get(&format!("{list}.{i}.name")).cloned())
                .collect()
        };
        let plain = |key: &str| {
            settings
                .get(key)
                .map_or(Vec::new(), |v| v.split(',').map(str::to_string).collect())
        };
        Door {
            id: id.to_string(),
            out: String::new(),
            types: named("classes"),
            tenants: named("tenants"),
            zones: plain("zones"),
            kinds: plain("kinds"),
            workers: Interner::default(),
            functions: Interner::default(),
            events: Vec::new(),
            places: HashMap::new(),
        }
    }

    pub fn worker(&mut self, text: &str) -> usize {
        self.workers.intern(text)
    }

    pub fn function(&mut self, text: &str) -> usize {
        self.functions.intern(text)
    }

    pub fn known_function(&self, text: &str) -> Option<usize> {
        self.functions.get(text)
    }

    pub fn open(&mut self, place: usize, text: &str) {
        if self.events.len() <= place {
            self.events.resize(place + 1, String::new());
        }
        self.events[place].clear();
        self.events[place].push_str(text);
        self.places.insert(text.to_string(), place);
    }

    pub fn event(&self, text: &str) -> Option<usize> {
        self.places.get(text).copied()
    }

    fn line(&mut self, name: &str, rest: std::fmt::Arguments) {
        // Writing to a String cannot fail.
        let _ = writeln!(self.out, "{name} gateway-id={}{rest}", self.id);
    }
}

/// Tenths of a millisecond as the wire's milliseconds.
struct Ms(Time);

impl std::fmt::Display for Ms {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}.{}", self.0 / 10, self.0 % 10)
    }
}

impl SchedulerActions for Door {
    fn send_attempt(&mut self, evt: usize, wk: usize, time_out: Time) {
        let (id, host) = (
            self.events[evt].clone(),
            self.workers.resolve(wk).to_string(),
        );
        self.line(
            "TRY",
            format_args!(" msg-id={id} try-for-ms={} host={host}", Ms(time_out)),
        );
    }

    fn cancel_attempt(&mut self, evt: usize, launch: usize) {
        let id = self.events[evt].clone();
        self.line("ABANDON", format_args!(" msg-id={id} shot={launch}"));
    }

    fn reject(&mut self, evt: usize, come_back: Time) {
        let id = self.events[evt].clone();
        self.line(
            "REFUSE",
            format_args!(" msg-id={id} backoff-ms={}", Ms(come_back)),
        );
    }

    fn fail(&mut self, evt: usize) {
        let id = self.events[evt].clone();
        self.line("ABORT", format_args!(" msg-id={id}"));
    }

    fn release_request(&mut self, evt: usize) {
        self.places.remove(&self.events[evt]);
    }

    fn set_timer(&mut self, wait: Time, token: u64) {
        self.line("SCHEDULE", format_args!(" in-ms={} ctx={token}", Ms(wait)));
    }

    fn send_health_check(&mut self, wk: usize) {
        let host = self.workers.resolve(wk).to_string();
        self.line("ASK_LOAD", format_args!(" host={host}"));
    }

    fn close_idle_connections(&mut self, wk: usize) {
        let host = self.workers.resolve(wk).to_string();
        self.line("HANG_UP", format_args!(" host={host}"));
    }

    fn send_load_request(&mut self, img: usize, wk: usize, copies: u32) {
        let (key, host) = (
            self.functions.resolve(img).to_string(),
            self.workers.resolve(wk).to_string(),
        );
        self.line(
            "START_COPY",
            format_args!(" target-fn={key} host={host} count={copies}"),
        );
    }

    fn unload_instances(&mut self, img: usize, wk: usize) {
        let (key, host) = (
            self.functions.resolve(img).to_string(),
            self.workers.resolve(wk).to_string(),
        );
        self.line("EVICT", format_args!(" target-fn={key} host={host}"));
    }

    fn forget_function(&mut self, img: usize) {
        self.functions.remove(img);
    }

    fn watch_endpoints(&mut self, on: bool) {
        self.line("FOLLOW", format_args!(" enable={}", u8::from(on)));
    }

    fn poll_endpoints(&mut self) {
        self.line("LOOKUP", format_args!(""));
    }

    fn send_to_peers(&mut self, peer: Option<u32>, bytes: &[u8]) {
        let payload = if bytes.is_empty() {
            "-".to_string()
        } else {
            STANDARD.encode(bytes)
        };
        match peer {
            Some(peer) => self.line(
                "ANNOUNCE",
                format_args!(" addressee={peer} payload={payload}"),
            ),
            None => self.line("ANNOUNCE", format_args!(" addressee=* payload={payload}")),
        }
    }

    fn log_note(&mut self, text: &str) {
        self.line(
            "SAY_LOG",
            format_args!(" note-text={}", text.replace('\n', " ")),
        );
    }
}
