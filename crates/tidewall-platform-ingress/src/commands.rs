//! Handling of client commands.
use crate::error::{ConnectionError, InvalidCall};
use crate::PlatformIngress;
use tidewall_gateway::ingress::{remaining_time, Disposition, IncomingRequest, ReplyHandle};
use tidewall_gateway::IngressContext;
use tidewall_net::{Conn, Net, Time};
use tidewall_platform::client_command::{CallError, CallRequest, ClientCommand};
use tidewall_platform::client_reply::ReplyStatus;
use tidewall_platform::printable;

/// Maximum number of open calls of one connection, from the platform's specification.
pub(crate) const MAX_OPEN_CALLS: u32 = 32;

/// Maximum number of commands of one connection that are handled before other connections have their turn.
/// A client that keeps to the platform's specification has at most this many calls open.
pub(crate) const COMMANDS_PER_TURN: u32 = MAX_OPEN_CALLS;

/// Indices of a call's class and tenant in the settings.
struct CallTarget {
    class: usize,
    tenant: Option<usize>,
}

/// Converts a time on the wire to the gateway's unit, tenths of a millisecond.
fn time_from_ms(ms: f64) -> Time {
    (ms * 10.0) as Time
}

impl PlatformIngress {
    /// Handles a command. An error ends its connection.
    pub(crate) fn handle_command<N: Net>(
        &mut self,
        context: &mut IngressContext<N>,
        conn: Conn,
        command: ClientCommand,
    ) -> Result<(), ConnectionError> {
        let now = context.net().now();
        self.connections.slot(conn).command_received(now);
        match command {
            ClientCommand::Call { tag, call } => self.handle_call(context, conn, tag, call)?,
            ClientCommand::Cancel { tag } => self.cancel_call(context, conn, tag),
            ClientCommand::HealthCheck { tag } => self.reply_to_health_check(context, conn, tag),
        }
        Ok(())
    }

    fn handle_call<N: Net>(
        &mut self,
        context: &mut IngressContext<N>,
        conn: Conn,
        tag: u64,
        call: Result<CallRequest, CallError>,
    ) -> Result<(), ConnectionError> {
        // An open call keeps its tag even if that is not remembered any more.
        let is_open = self.calls.find_tag(conn, tag).is_some();
        if is_open || !self.connections.slot(conn).used_tags.insert(tag) {
            return Err(ConnectionError::TagReused);
        }
        let validated = call.map_err(InvalidCall::from).and_then(|call| {
            let target = self.check_call(context, &call)?;
            Ok((call, target))
        });
        match validated {
            Ok((call, target)) => self.admit_call(context, conn, tag, &call, &target),
            Err(error) => {
                self.log_malformed(&error, "call");
                context.counters().malformed += 1;
                self.refuse_call(context, conn, tag, Disposition::Failed);
            }
        }
        Ok(())
    }

    /// Validates a call against the settings and the calls in flight.
    fn check_call<N: Net>(
        &self,
        context: &IngressContext<N>,
        call: &CallRequest,
    ) -> Result<CallTarget, InvalidCall> {
        let class = context.class_names().iter().position(|c| c == call.class);
        let class = class.ok_or_else(|| InvalidCall::UnknownClass(printable(call.class)))?;
        let tenants = context.tenant_names();
        let tenant = tenants.iter().position(|t| Some(t.as_str()) == call.tenant);
        if tenant.is_none() && (call.tenant.is_some() || !tenants.is_empty()) {
            return Err(InvalidCall::UnknownTenant);
        }
        if self.needs_idempotency_key[class] && call.idempotency_key.is_empty() {
            return Err(InvalidCall::IdempotencyKeyMissing);
        }
        if self.calls.contains_request(call.request_id) {
            return Err(InvalidCall::DuplicateRequest);
        }
        Ok(CallTarget { class, tenant })
    }

    fn admit_call<N: Net>(
        &mut self,
        context: &mut IngressContext<N>,
        conn: Conn,
        tag: u64,
        call: &CallRequest,
        target: &CallTarget,
    ) {
        // Reduced by the time for which the command may have waited unread in the socket.
        let read_delay = context.net().read_delay();
        let remaining = remaining_time(time_from_ms(call.timeout_ms), read_delay).unwrap_or(0);
        // To the client a call is open until it has read the reply.
        let unread_replies = self.unread_replies(context.net_ref(), conn);
        let open_calls = self.connections.slot(conn).open_calls + unread_replies;
        if open_calls >= MAX_OPEN_CALLS || remaining == 0 {
            context.counters().refused += 1;
            return self.refuse_call(context, conn, tag, Disposition::Rejected);
        }
        let request = IncomingRequest {
            reply_handle: ReplyHandle::default(),
            client: Some(conn),
            id: call.request_id,
            class: target.class,
            tenant: target.tenant,
            function: call.function,
            lanes: call.lanes as u32,
            memory: call.memory_mb,
            cost_hint: time_from_ms(call.cost_hint_ms),
            load_hint: time_from_ms(call.load_hint_ms),
            remaining,
            // The platform's clients send `CANCEL` when they stop waiting.
            uncertainty: 0,
            is_retry: call.is_retry,
            idempotency_key: call.idempotency_key.as_bytes(),
            payload: call.payload,
        };
        let key = self
            .calls
            .insert(&mut self.connections, conn, tag, call.request_id);
        let reply_handle = self.calls.reply_handle(key);
        match context.admit(&IncomingRequest {
            reply_handle,
            ..request
        }) {
            Ok(request_slot) => self.calls.admitted(key, request_slot),
            Err(_) => {
                self.calls.remove(&mut self.connections, key);
                self.refuse_call(context, conn, tag, Disposition::Rejected);
            }
        }
    }

    /// Abandons the call with this tag, as its client no longer waits for it. It may be gone
    /// already: its reply may have crossed this command.
    fn cancel_call<N: Net>(&mut self, context: &mut IngressContext<N>, conn: Conn, tag: u64) {
        if let Some(key) = self.calls.find_tag(conn, tag) {
            self.abandon_call(context, key);
        }
    }

    fn reply_to_health_check<N: Net>(
        &mut self,
        context: &mut IngressContext<N>,
        conn: Conn,
        tag: u64,
    ) {
        let status = if context.is_shutting_down() {
            ReplyStatus::Down
        } else {
            ReplyStatus::Up
        };
        self.encode_reply(tag, status, &[]);
        self.write_reply(context.net(), conn);
    }
}
