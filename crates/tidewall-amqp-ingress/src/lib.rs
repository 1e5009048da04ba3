//! The gateway's ingress for AMQP 0-9-1. It passes bytes between connections and `tidewall_amqp::server`,
//! turns publishes to the trigger exchange into requests, and responses into replies. `hold_back` decides
//! which connections are read and which are blocked, `logins` checks passwords, and `marks` deduplicates
//! publishes by message-id.
pub mod hold_back;
pub mod logins;
pub mod marks;

use hold_back::{ConnectionLoad, FlowControl, FlowControlActions};
use logins::Logins;
use marks::{MessageIds, MessageKey, MessageStatus};
use slab::Slab;
use tidewall_amqp::codec::FieldValue;
use tidewall_amqp::server::{
    Disposition, FinalAnswer, NotAccepted, Server, ServerActions, ServerConfig, TriggerPublish,
};
use tidewall_config::Section;
use tidewall_gateway::ingress::{IncomingRequest, Ingress, ReplyHandle, Response};
use tidewall_gateway::{ingress, IngressContext};
use tidewall_net::{Conn, Net, Time};
use tracing::{info, warn};

/// Interval of the timer that serves logins, heartbeats, expirations and flow control: 10 ms is no noticeable
/// delay of a login, and costs little.
const TIMER_INTERVAL: Time = 100;

/// Deliveries to a connection stop while this many bytes are unsent: half of the limit of the write buffer.
const MAX_UNSENT_BYTES: usize = tidewall_net::buffer::WRITE_BUFFER_LIMIT / 2;

/// A `user` of the settings.
struct User {
    name: String,
    password_hash: String,
    /// Index of the tenant.
    tenant: Option<usize>,
}

/// A `function` of the settings: defaults for requests whose headers do not give these values.
struct Function {
    /// A name, or a prefix and `*`.
    name: String,
    lanes: u32,
    memory: f64,
    cost_hint: Time,
    load_hint: Time,
}

/// An `event_type` of the settings.
struct EventType {
    name: String,
    /// Greatest time that a request may have left.
    max_age: Time,
    /// How long the answer to a message-id is recorded.
    answer_window: Time,
    /// Executing a request again does no harm, wherever it was executed before.
    redeliverable: bool,
}

/// A request in flight in the gateway, with the publishes that wait for its answer.
struct InFlightRequest {
    /// Distinguishes it from former requests in the same slot.
    generation: u32,
    /// Request id at the server and deadline of each publish: first the one that was admitted, then repeats
    /// of it.
    waiters: Vec<(u64, Time)>,
    message_key: Option<MessageKey>,
    /// Index of the event type.
    event_type: usize,
}

/// State of the ingress that the calls of the AMQP server need, besides the gateway's.
struct IngressState {
    /// Index of this ingress in its gateway.
    ingress_index: usize,
    users: Vec<User>,
    event_types: Vec<EventType>,
    functions: Vec<Function>,
    /// Whether headers of a message override the values of its function.
    use_headers: bool,
    logins: Logins,
    /// Connection and transport of logins that fail unchecked, because too many are waiting.
    rejected_logins: Vec<(usize, u64)>,
    message_ids: MessageIds,
    in_flight: Slab<InFlightRequest>,
    /// Slots of the requests that repeats wait for.
    slots_with_repeats: Vec<usize>,
    /// Server ids of repeats that get an answer of their own, as that of their request would be late.
    late_repeats: Vec<u64>,
    /// The generation of the latest request.
    generation: u32,
    /// The transport of each connection, by connection id.
    transports: Vec<u64>,
}

/// The AMQP ingress of a gateway.
pub struct Amqp {
    server: Server,
    state: IngressState,
    flow_control: FlowControl,
    /// By index of a connection of the net: its transport, and its id at the server.
    connections: Vec<Option<(u64, usize)>>,
    /// Number of exceptions when one was last logged.
    logged_exceptions: u64,
    /// Time of the last check of heartbeats and expirations.
    last_tick: Time,
    /// Reused by every update of the flow control.
    connection_loads: Vec<ConnectionLoad>,
}

/// Actions of the server that may admit requests to the gateway.
struct AdmittingActions<'a, N: Net> {
    context: &'a mut IngressContext<N>,
    state: &'a mut IngressState,
}

/// Actions of the server while a reply is sent. They need only the network, as no request is received then.
struct ReplyActions<'a, N: Net>(&'a mut N);

/// Whether the connection may get more deliveries, because few enough bytes are unsent.
fn has_write_capacity<N: Net>(net: &N, transport: u64) -> bool {
    net.unsent(Conn(transport)) < MAX_UNSENT_BYTES
}

/// Sends bytes, or aborts the connection if its write buffer is full.
fn write<N: Net>(net: &mut N, transport: u64, bytes: &[u8]) {
    if !net.write(Conn(transport), bytes) {
        // A client that does not read until the buffer is full loses its own deliveries; others are not
        // affected.
        net.abort(Conn(transport));
    }
}

/// The answer to a publish that is refused at admission.
fn refused(reason: &'static str) -> NotAccepted {
    NotAccepted {
        disposition: Disposition::Refused,
        reason,
    }
}

impl<N: Net> ServerActions for ReplyActions<'_, N> {
    fn write(&mut self, transport: u64, bytes: &[u8]) {
        write(self.0, transport, bytes);
    }
    fn is_writable(&self, transport: u64) -> bool {
        has_write_capacity(self.0, transport)
    }
    fn close(&mut self, transport: u64) {
        self.0.close(Conn(transport));
    }
    fn authenticate(&mut self, _: usize, _: &str, _: &[u8]) {}
    fn accept_request(&mut self, _: u64, _: &TriggerPublish) -> Result<(), NotAccepted> {
        Err(NotAccepted {
            disposition: Disposition::Rejected,
            reason: "busy",
        })
    }
}

impl<N: Net> ServerActions for AdmittingActions<'_, N> {
    fn write(&mut self, transport: u64, bytes: &[u8]) {
        write(self.context.net(), transport, bytes);
    }

    fn is_writable(&self, transport: u64) -> bool {
        has_write_capacity(self.context.net_ref(), transport)
    }

    fn close(&mut self, transport: u64) {
        self.context.net().close(Conn(transport));
    }

    fn authenticate(&mut self, connection: usize, user: &str, password: &[u8]) {
        let password_hash = self
            .state
            .users
            .iter()
            .find(|known| known.name == user)
            .map(|known| known.password_hash.clone());
        let transport = self.state.transports[connection];
        if !self
            .state
            .logins
            .submit(connection, transport, password_hash, password)
        {
            self.state.rejected_logins.push((connection, transport));
        }
    }

    fn accept_request(
        &mut self,
        request_id: u64,
        publish: &TriggerPublish,
    ) -> Result<(), NotAccepted> {
        let state = &mut *self.state;
        let now = self.context.net().now();
        let (event_type, function) = publish
            .routing_key
            .split_once('.')
            .ok_or(refused("the routing key is no TYPE.FUNCTION"))?;
        let event_type = state
            .event_types
            .iter()
            .position(|known| known.name == event_type)
            .ok_or(refused("unknown event type"))?;
        if function.is_empty() {
            return Err(refused("the routing key names no function"));
        }
        let max_age = state.event_types[event_type].max_age;
        let time_left = match publish.properties.expiration {
            "" => max_age,
            // The server has already checked that this is a number.
            expiration => expiration
                .parse::<u64>()
                .map_or(max_age, |ms| ms.saturating_mul(10).min(max_age)),
        };
        // Part of the time may have passed before the publish was read. If so, an answer might come too late,
        // and no answer might be wrong as well: the publish is refused.
        let waited = self.context.net().read_delay();
        let time_left =
            ingress::remaining_time(time_left, waited).ok_or(refused(if waited < time_left {
                "late"
            } else {
                "expired"
            }))?;
        let message_key = (!publish.properties.message_id.is_empty())
            .then(|| (event_type, publish.properties.message_id.into()));
        match message_key
            .as_ref()
            .and_then(|message_key| state.message_ids.lookup(now, message_key))
        {
            Some(MessageStatus::InFlight(slot)) => {
                let slot = *slot;
                state.in_flight[slot]
                    .waiters
                    .push((request_id, now + time_left));
                if !state.slots_with_repeats.contains(&slot) {
                    state.slots_with_repeats.push(slot);
                }
                return Ok(());
            }
            Some(MessageStatus::Answered(disposition)) => {
                return Err(NotAccepted {
                    disposition: *disposition,
                    reason: "repeat",
                })
            }
            None => {}
        }
        if message_key.is_some() && !state.message_ids.has_capacity() {
            return Err(refused("most-remembered"));
        }
        let user = state.users.iter().find(|user| user.name == publish.user);
        let function_config =
            state
                .functions
                .iter()
                .find(|config| match config.name.strip_suffix('*') {
                    Some(prefix) => function.starts_with(prefix),
                    None => config.name == function,
                });
        let header_number = |name: &str| {
            let headers = publish.properties.headers.filter(|_| state.use_headers);
            match headers.and_then(|table| table.get(name)) {
                Some(FieldValue::Signed(value)) if value >= 0 => Some(value as f64),
                Some(FieldValue::Unsigned(value)) => Some(value as f64),
                Some(FieldValue::Float(value)) if value.is_finite() && value >= 0.0 => Some(value),
                _ => None,
            }
        };
        // Headers give times in milliseconds; an hour is the maximum of every setting.
        let header_duration =
            |name: &str| header_number(name).map(|ms| (ms.min(3.6e6) * 10.0) as Time);
        state.generation = state.generation.wrapping_add(1);
        let slot = state.in_flight.insert(InFlightRequest {
            generation: state.generation,
            waiters: vec![(request_id, now + time_left)],
            message_key: message_key.clone(),
            event_type,
        });
        let request = IncomingRequest {
            reply_handle: ReplyHandle {
                ingress: state.ingress_index,
                key: slot as u64 | u64::from(state.generation) << 32,
            },
            // A published request is not cancelled when its publisher disconnects.
            client: None,
            id: request_id,
            class: event_type,
            tenant: user.and_then(|user| user.tenant),
            function,
            lanes: header_number("x-lanes")
                .map_or(function_config.map_or(1, |config| config.lanes), |value| {
                    value.clamp(1.0, 1000.0) as u32
                }),
            memory: header_number("x-memory-mb")
                .unwrap_or(function_config.map_or(0.0, |config| config.memory)),
            cost_hint: header_duration("x-hint-ms")
                .unwrap_or(function_config.map_or(0, |config| config.cost_hint)),
            load_hint: header_duration("x-load-hint-ms")
                .unwrap_or(function_config.map_or(0, |config| config.load_hint)),
            remaining: time_left,
            uncertainty: 0,
            is_retry: publish.redelivered,
            idempotency_key: publish.properties.message_id.as_bytes(),
            payload: publish.body,
        };
        // The client's id for logs is the correlation-id, if that is a number.
        let request = IncomingRequest {
            id: publish
                .properties
                .correlation_id
                .parse()
                .unwrap_or(request_id),
            ..request
        };
        if let Some(message_key) = &message_key {
            state
                .message_ids
                .insert_in_flight(message_key.clone(), slot);
        }
        match self.context.admit(&request) {
            Ok(_) => Ok(()),
            Err(reason) => {
                self.state.in_flight.remove(slot);
                if let Some(message_key) = message_key {
                    self.state.message_ids.record_answer(
                        now,
                        message_key,
                        Disposition::Rejected,
                        0,
                    );
                }
                Err(refused(reason.wire_text()))
            }
        }
    }
}

/// Carries out the decisions of the flow control.
struct ConnectionActions<'a, N: Net> {
    context: &'a mut IngressContext<N>,
    server: &'a mut Server,
    state: &'a mut IngressState,
}

impl<N: Net> FlowControlActions for ConnectionActions<'_, N> {
    fn set_read_paused(&mut self, connection: usize, paused: bool) {
        let transport = self.state.transports[connection];
        self.context.net().set_read_paused(Conn(transport), paused);
    }

    fn set_blocked(&mut self, connection: usize, blocked: bool, reason: &'static str) {
        let mut actions = AdmittingActions {
            context: self.context,
            state: self.state,
        };
        self.server
            .set_blocked(&mut actions, connection, blocked, reason);
    }
}

impl Amqp {
    /// `ingress_index` is the index of this ingress in its gateway.
    pub fn new(ingress_index: usize, settings: &Section) -> Amqp {
        let amqp = settings.section("amqp");
        let tenants: Vec<String> = settings
            .sections("tenant")
            .iter()
            .map(|section| section.text("name"))
            .collect();
        let mut virtual_hosts = amqp.strings("vhost");
        if virtual_hosts.is_empty() {
            virtual_hosts.push("/".to_string());
        }
        let max_queued_bytes = (amqp.number("queued_mb") * 1e6) as usize;
        let config = ServerConfig {
            frame_max: amqp.integer("frame_max") as u32,
            channel_max: amqp.integer("channel_max") as u16,
            heartbeat_seconds: amqp.integer("heartbeat_s") as u16,
            max_body_size: amqp.integer("body_max"),
            handshake_timeout: amqp.duration("handshake_ms"),
            max_queued_bytes,
            trigger_exchange: amqp.text("trigger_exchange"),
            dead_letter_exchange: amqp.text("dead_letter_exchange"),
            virtual_hosts,
        };
        let user = |section: &Section| User {
            name: section.text("name"),
            password_hash: section.text("password_hash"),
            tenant: tenants
                .iter()
                .position(|name| *name == section.text("tenant")),
        };
        let function = |section: &Section| Function {
            name: section.text("name"),
            lanes: section.integer("lanes") as u32,
            memory: section.number("memory_mb"),
            cost_hint: section.duration("hint_ms"),
            load_hint: section.duration("load_hint_ms"),
        };
        let event_type = |section: &Section| EventType {
            name: section.text("name"),
            max_age: section.duration("max_age_ms"),
            // Without a window in the settings, answers are recorded for as long as a client may still
            // repeat.
            answer_window: if section.duration("window_ms") > 0 {
                section.duration("window_ms")
            } else {
                section.duration("max_age_ms")
            },
            redeliverable: section.enum_value("redelivery") == "REDELIVERABLE",
        };
        let state = IngressState {
            ingress_index,
            users: amqp.sections("user").iter().map(user).collect(),
            event_types: settings
                .sections("event_type")
                .iter()
                .map(event_type)
                .collect(),
            functions: amqp.sections("function").iter().map(function).collect(),
            use_headers: amqp.flag("headers"),
            logins: Logins::new(amqp.integer("logins") as usize),
            rejected_logins: Vec::new(),
            message_ids: MessageIds::default(),
            in_flight: Slab::new(),
            slots_with_repeats: Vec::new(),
            late_repeats: Vec::new(),
            generation: 0,
            transports: Vec::new(),
        };
        let flow_control = FlowControl::new(amqp.integer("in_hand") as usize, max_queued_bytes);
        let server = Server::new(config);
        Amqp {
            server,
            state,
            flow_control,
            connections: Vec::new(),
            logged_exceptions: 0,
            last_tick: 0,
            connection_loads: Vec::new(),
        }
    }

    /// Answers repeats that joined a request and are close to their own deadline. The answer is
    /// [`Disposition::Failed`], which promises nothing, whatever becomes of the request.
    fn answer_due_repeats<N: Net>(&mut self, context: &mut IngressContext<N>) {
        let now = context.net().now();
        // Due if the deadline is within two timer intervals, this one and the next.
        let is_due = |waiter: &(u64, Time)| now + 2 * TIMER_INTERVAL >= waiter.1;
        let IngressState {
            in_flight,
            slots_with_repeats,
            late_repeats,
            ..
        } = &mut self.state;
        slots_with_repeats.retain(|slot| {
            let Some(request) = in_flight
                .get_mut(*slot)
                .filter(|request| request.waiters.len() > 1)
            else {
                return false;
            };
            late_repeats.extend(
                request.waiters[1..]
                    .iter()
                    .filter(|waiter| is_due(waiter))
                    .map(|waiter| waiter.0),
            );
            let first = request.waiters[0].0;
            request
                .waiters
                .retain(|waiter| waiter.0 == first || !is_due(waiter));
            request.waiters.len() > 1
        });
        if late_repeats.is_empty() {
            return;
        }
        for request_id in std::mem::take(late_repeats) {
            let answer = FinalAnswer {
                disposition: Disposition::Failed,
                retry_after: 0,
                reason: "in-hand",
                payload: &[],
            };
            self.server
                .complete_request(&mut ReplyActions(context.net()), request_id, answer);
        }
        self.server.flush(&mut ReplyActions(context.net()));
    }

    /// The server's id of a connection.
    fn connection_id(&self, conn: Conn) -> Option<usize> {
        self.connections
            .get(conn.index())
            .copied()
            .flatten()
            .filter(|entry| entry.0 == conn.0)
            .map(|entry| entry.1)
    }

    /// Logs the latest exception if there were any since the last call.
    fn log_exception(&mut self) {
        if self.server.exception_count() > self.logged_exceptions {
            self.logged_exceptions = self.server.exception_count();
            warn!(
                exception = self.server.last_exception(),
                count = self.logged_exceptions,
                "AMQP exception"
            );
        }
    }

    /// Sends the answer of a request to every publish that waits for it.
    fn complete<N: Net>(
        &mut self,
        net: &mut N,
        handle: ReplyHandle,
        disposition: Disposition,
        retry_after: Time,
        reason: &str,
        payload: &[u8],
    ) {
        let (slot, generation) = (
            (handle.key & 0xffff_ffff) as usize,
            (handle.key >> 32) as u32,
        );
        if self
            .state
            .in_flight
            .get(slot)
            .is_none_or(|request| request.generation != generation)
        {
            return;
        }
        let request = self.state.in_flight.remove(slot);
        let now = net.now();
        self.server.advance_clock(now);
        if let Some(message_key) = request.message_key {
            let answer_window = self.state.event_types[request.event_type].answer_window;
            self.state
                .message_ids
                .record_answer(now, message_key, disposition, answer_window);
        }
        for (request_id, deadline) in request.waiters {
            if now > deadline {
                // A repeat whose deadline passed while the process stood still.
                self.server.abandon_request(request_id);
                continue;
            }
            let answer = FinalAnswer {
                disposition,
                retry_after,
                reason,
                payload,
            };
            self.server
                .complete_request(&mut ReplyActions(net), request_id, answer);
        }
        self.server.flush(&mut ReplyActions(net));
    }
}

impl<N: Net> Ingress<N> for Amqp {
    fn started(&mut self, context: &mut IngressContext<N>) {
        context.set_ingress_timer(self.state.ingress_index, TIMER_INTERVAL);
    }

    fn accepted(&mut self, context: &mut IngressContext<N>, conn: Conn) {
        self.server.advance_clock(context.net().now());
        let connection = self.server.connection_accepted(conn.0);
        if self.connections.len() <= conn.index() {
            self.connections.resize(conn.index() + 1, None);
        }
        self.connections[conn.index()] = Some((conn.0, connection));
        if self.state.transports.len() <= connection {
            self.state.transports.resize(connection + 1, 0);
        }
        self.state.transports[connection] = conn.0;
        self.flow_control.reset_connection(connection);
    }

    fn received(&mut self, context: &mut IngressContext<N>, conn: Conn, bytes: &[u8]) -> usize {
        let Some(connection) = self.connection_id(conn) else {
            return bytes.len();
        };
        self.server.advance_clock(context.net().now());
        let consumed = self.server.receive(
            &mut AdmittingActions {
                context,
                state: &mut self.state,
            },
            connection,
            bytes,
        );
        let pending_requests = self.server.pending_requests_of(connection);
        let mut flow_control_actions = ConnectionActions {
            context,
            server: &mut self.server,
            state: &mut self.state,
        };
        self.flow_control
            .connection_read(&mut flow_control_actions, connection, pending_requests);
        self.log_exception();
        consumed
    }

    fn writable(&mut self, context: &mut IngressContext<N>, conn: Conn) {
        if let Some(connection) = self.connection_id(conn) {
            self.server.advance_clock(context.net().now());
            self.server.connection_writable(
                &mut AdmittingActions {
                    context,
                    state: &mut self.state,
                },
                connection,
            );
        }
    }

    fn close_abandons_requests(&self) -> bool {
        false
    }

    /// Requests of the connection continue: a client that reconnects repeats them with the same message-id.
    fn closed(&mut self, context: &mut IngressContext<N>, conn: Conn) {
        if let Some(connection) = self.connection_id(conn) {
            self.connections[conn.index()] = None;
            self.server.advance_clock(context.net().now());
            self.server.connection_closed(connection);
            self.flow_control.reset_connection(connection);
            self.server.flush(&mut AdmittingActions {
                context,
                state: &mut self.state,
            });
        }
    }

    fn response_started(&mut self, _net: &mut N, _handle: ReplyHandle, _payload: &[u8]) {}

    fn respond(&mut self, net: &mut N, handle: ReplyHandle, response: &Response) {
        let disposition = match response.disposition {
            ingress::Disposition::Completed => Disposition::Completed,
            ingress::Disposition::Rejected => Disposition::Rejected,
            ingress::Disposition::Failed => Disposition::Failed,
        };
        self.complete(
            net,
            handle,
            disposition,
            response.retry_after,
            response.reason,
            response.payload,
        );
    }

    fn request_expired(&mut self, now: Time, handle: ReplyHandle) {
        // The deadline passed while the process stood still, so no answer is sent. The request may have been
        // executed: its message-id may be executed again only if that does no harm; otherwise a repeat is
        // answered with `Disposition::Failed`.
        let (slot, generation) = (
            (handle.key & 0xffff_ffff) as usize,
            (handle.key >> 32) as u32,
        );
        if self
            .state
            .in_flight
            .get(slot)
            .is_some_and(|request| request.generation == generation)
        {
            let request = self.state.in_flight.remove(slot);
            if let Some(message_key) = request.message_key {
                let event_type = &self.state.event_types[request.event_type];
                let disposition = if event_type.redeliverable {
                    Disposition::Rejected
                } else {
                    Disposition::Failed
                };
                self.state.message_ids.record_answer(
                    now,
                    message_key,
                    disposition,
                    event_type.answer_window,
                );
            }
            for (request_id, deadline) in request.waiters {
                // The deadline of a repeat may be later than that of the request that it joined.
                if now < deadline {
                    self.state.late_repeats.push(request_id);
                } else {
                    self.server.abandon_request(request_id);
                }
            }
        }
    }

    fn timer_fired(&mut self, context: &mut IngressContext<N>) {
        context.set_ingress_timer(self.state.ingress_index, TIMER_INTERVAL);
        let now = context.net().now();
        self.server.advance_clock(now);
        self.answer_due_repeats(context);
        let mut server_actions = AdmittingActions {
            context,
            state: &mut self.state,
        };
        while let Some((connection, transport, good)) = server_actions.state.logins.try_result() {
            self.server
                .authentication_finished(&mut server_actions, connection, transport, good);
        }
        for (connection, transport) in std::mem::take(&mut server_actions.state.rejected_logins) {
            self.server
                .authentication_finished(&mut server_actions, connection, transport, false);
        }
        // Heartbeats and expirations are checked at a resolution of 100 ms. Flow control is updated as seldom
        // while no connection is held back, so that thousands of idle connections cost little.
        let tick_due = now >= self.last_tick + 10 * TIMER_INTERVAL;
        if !tick_due && !self.flow_control.is_holding_back() {
            return self.log_exception();
        }
        if tick_due {
            self.last_tick = now;
            self.server.tick(&mut server_actions);
            if context.is_draining() {
                info!(
                    connections = self.server.connection_count(),
                    waiting = self.server.pending_request_count(),
                    "AMQP ingress is draining"
                );
            }
        }
        self.connection_loads.clear();
        for (_, connection) in self.connections.iter().flatten() {
            let tenant = self
                .server
                .user(*connection)
                .and_then(|name| self.state.users.iter().position(|user| user.name == name));
            let tenant = tenant
                .and_then(|user| self.state.users[user].tenant)
                .map_or(0, |tenant| tenant + 1);
            self.connection_loads.push(ConnectionLoad {
                connection: *connection,
                tenant,
                pending_requests: self.server.pending_requests_of(*connection),
            });
        }
        let (queued_bytes, in_flight) = (self.server.queued_bytes(), context.in_flight());
        let mut flow_control_actions = ConnectionActions {
            context,
            server: &mut self.server,
            state: &mut self.state,
        };
        self.flow_control.update(
            &mut flow_control_actions,
            &self.connection_loads,
            queued_bytes,
            in_flight,
        );
        self.log_exception();
    }
}
