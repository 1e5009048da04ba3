//! The ingress that speaks the native frames of `docs/wire.md`.
use crate::client_requests::ClientRequests;
use crate::error::ProtocolError;
use crate::ingress::{IncomingRequest, Ingress, ReplyHandle, Response};
use crate::IngressContext;
use tidewall_net::{Conn, Net, Time};
use tidewall_wire::{self as wire, kind, Field, Fields, Frame, WireError};
use tracing::warn;

/// The longest time that a client may state: an hour, in tenths of a millisecond, which is also the limit
/// in the settings.
const MAX_CLIENT_TIME: Time = 36_000_000;

/// The most lanes that a request may occupy, which is also the limit in the settings.
const MAX_LANES: u64 = 1000;

/// The state of a client's connection.
#[derive(Default)]
struct Client {
    /// The connection's generation.
    generation: u32,
    greeted: bool,
}

/// Maximum number of frames of one connection that are handled before other connections have their turn.
const FRAMES_PER_TURN: usize = 32;

/// The ingress for clients that speak native frames.
pub struct NativeIngress {
    /// The ingress's index among the gateway's ingresses.
    index: usize,
    /// The gateway's name.
    name: String,
    /// Clients by connection index.
    clients: Vec<Client>,
    requests: ClientRequests,
    /// Buffer for the frame that is being encoded.
    frame: Vec<u8>,
}

impl NativeIngress {
    /// Creates the ingress with this index, of the gateway with this name.
    pub fn new(index: usize, name: &str) -> NativeIngress {
        NativeIngress {
            index,
            name: name.to_string(),
            clients: Vec::new(),
            requests: ClientRequests::new(index),
            frame: Vec::new(),
        }
    }

    fn client(&mut self, conn: Conn) -> &mut Client {
        if self.clients.len() <= conn.index() {
            self.clients.resize_with(conn.index() + 1, Client::default);
        }
        &mut self.clients[conn.index()]
    }

    fn frame_received<N: Net>(
        &mut self,
        context: &mut IngressContext<N>,
        conn: Conn,
        fields: &Fields,
    ) -> Result<(), ProtocolError> {
        if !self.client(conn).greeted {
            return self.greeting_received(context, conn, fields);
        }
        match fields.kind()? {
            kind::EVENT => self.request_received(context, conn, fields),
            kind::LEAVE => {
                let id = fields.whole(Field::Id)?;
                // The response may have been sent before the client's message arrived.
                if let Some(key) = self.requests.find(conn, id) {
                    let handle = self.requests.handle(key);
                    let request = self.requests.remove(key);
                    context.client_abandoned(request.slot, handle);
                }
                Ok(())
            }
            other => {
                Err(WireError::invalid(Field::Kind, format!("{other} is not for a gateway")).into())
            }
        }
    }

    /// Handles the first frame of a connection, and answers it with the gateway's greeting.
    fn greeting_received<N: Net>(
        &mut self,
        context: &mut IngressContext<N>,
        conn: Conn,
        fields: &Fields,
    ) -> Result<(), ProtocolError> {
        if wire::greeted(fields)? != "client" {
            return Err(WireError::invalid(Field::Role, "only clients are heard here").into());
        }
        self.client(conn).greeted = true;
        self.frame.clear();
        let epoch = context.epoch();
        let frame = Frame::new(&mut self.frame, kind::HELLO)
            .whole(Field::Version, wire::VERSION)
            .text(Field::Role, "gateway")
            .text(Field::Name, &self.name)
            .whole(Field::Life, self.index as u64);
        let frame = if epoch > 0 {
            frame.whole(Field::Epoch, epoch)
        } else {
            frame
        };
        frame.end();
        context.net().write(conn, &self.frame);
        Ok(())
    }

    fn request_received<N: Net>(
        &mut self,
        context: &mut IngressContext<N>,
        conn: Conn,
        fields: &Fields,
    ) -> Result<(), ProtocolError> {
        let id = fields.whole(Field::Id)?;
        if self.requests.find(conn, id).is_some() {
            return Err(WireError::invalid(Field::Id, format!("{id} is in hand already")).into());
        }
        let incoming = read_request(context, id, fields)?;
        let key = self.requests.add(conn, id, id);
        let reply_handle = self.requests.handle(key);
        match context.admit(&IncomingRequest {
            reply_handle,
            client: Some(conn),
            ..incoming
        }) {
            Ok(slot) => self.requests.set_slot(key, slot),
            Err(error) => {
                self.requests.remove(key);
                self.refuse(context, conn, id, error.wire_text());
            }
        }
        Ok(())
    }

    /// Tells the client that its request is not admitted.
    fn refuse<N: Net>(
        &mut self,
        context: &mut IngressContext<N>,
        conn: Conn,
        id: u64,
        reason: &str,
    ) {
        self.frame.clear();
        Frame::new(&mut self.frame, kind::ANSWER)
            .whole(Field::Id, id)
            .text(Field::Word, "turned-away")
            .text(Field::Reason, reason)
            .end();
        context.net().write(conn, &self.frame);
    }

    /// Handles the end of a connection: no client waits for its requests any more.
    fn disconnected<N: Net>(&mut self, context: &mut IngressContext<N>, conn: Conn) {
        while let Some(key) = self.requests.latest(conn) {
            let handle = self.requests.handle(key);
            let request = self.requests.remove(key);
            context.client_disconnected(request.slot, handle);
        }
        *self.client(conn) = Client::default();
    }

    /// Closes the connection on which a malformed frame arrived.
    fn reject_malformed<N: Net>(
        &mut self,
        context: &mut IngressContext<N>,
        conn: Conn,
        error: &ProtocolError,
    ) {
        let reason = error.to_string();
        warn!(reason, "malformed client frame received");
        context.counters().malformed += 1;
        self.frame.clear();
        wire::error(&mut self.frame, &reason);
        context.net().write(conn, &self.frame);
        self.disconnected(context, conn);
        context.net().close(conn);
    }
}

/// Reads a request's fields. The remaining time is reduced by the time that the request may have been
/// unread; the reply handle is not set yet.
fn read_request<'a, N: Net>(
    context: &IngressContext<N>,
    id: u64,
    fields: &'a Fields,
) -> Result<IncomingRequest<'a>, ProtocolError> {
    let class_name = fields.text(Field::Type)?;
    let class = context
        .class_names()
        .iter()
        .position(|name| name == class_name);
    let tenant_name = fields.word(Field::Tenant)?;
    // The request may have been unread for up to this time.
    let read_delay = context.net_ref().read_delay();
    let stated = fields.upto(Field::Left, MAX_CLIENT_TIME, 0)?;
    let remaining = stated.saturating_sub(read_delay);
    let incoming = IncomingRequest {
        reply_handle: ReplyHandle::default(),
        client: None,
        id,
        class: class
            .ok_or_else(|| WireError::invalid(Field::Type, format!("'{class_name}' is unknown")))?,
        tenant: context
            .tenant_names()
            .iter()
            .position(|name| name == tenant_name),
        function: fields.text(Field::Function)?,
        lanes: fields.upto(Field::Lanes, MAX_LANES, 1)? as u32,
        memory: fields.real(Field::Memory, 0.0)?,
        cost_hint: fields.upto(Field::Hint, MAX_CLIENT_TIME, 0)?,
        load_hint: fields.upto(Field::LoadHint, MAX_CLIENT_TIME, 0)?,
        remaining,
        uncertainty: stated - remaining,
        is_retry: fields.flag(Field::Resent)?,
        idempotency_key: fields.bytes(Field::Mark)?,
        payload: fields.bytes(Field::Payload)?,
    };
    // The remaining time is required, but `upto` returns 0 for a missing field.
    fields.whole(Field::Left)?;
    Ok(incoming)
}

impl<N: Net> Ingress<N> for NativeIngress {
    fn accepted(&mut self, _context: &mut IngressContext<N>, conn: Conn) {
        *self.client(conn) = Client {
            generation: conn.generation(),
            greeted: false,
        };
    }

    fn received(&mut self, context: &mut IngressContext<N>, conn: Conn, bytes: &[u8]) -> usize {
        let mut used = 0;
        for frames in 0.. {
            if frames == FRAMES_PER_TURN {
                context.net().defer_rest(conn);
                break;
            }
            let result = match wire::frame(&bytes[used..]) {
                Ok(None) => return used,
                Ok(Some((body, length))) => {
                    used += length;
                    Fields::read(body)
                        .map_err(ProtocolError::from)
                        .and_then(|fields| self.frame_received(context, conn, &fields))
                }
                Err(error) => Err(error.into()),
            };
            if let Err(error) = result {
                self.reject_malformed(context, conn, &error);
                return bytes.len();
            }
        }
        used
    }

    fn writable(&mut self, _context: &mut IngressContext<N>, _conn: Conn) {}

    fn closed(&mut self, context: &mut IngressContext<N>, conn: Conn) {
        if self.client(conn).generation == conn.generation() {
            self.disconnected(context, conn);
        }
    }

    fn response_started(&mut self, net: &mut N, handle: ReplyHandle, payload: &[u8]) {
        let Some(request) = self.requests.get(handle) else {
            return;
        };
        self.frame.clear();
        Frame::new(&mut self.frame, kind::BEGUN)
            .whole(Field::Id, request.id)
            .bytes(Field::Payload, payload)
            .end();
        net.write(request.conn, &self.frame);
    }

    fn request_expired(&mut self, _now: Time, handle: ReplyHandle) {
        if let Some(key) = self.requests.key(handle) {
            self.requests.remove(key);
        }
    }

    fn respond(&mut self, net: &mut N, handle: ReplyHandle, response: &Response) {
        // The client may have abandoned the request in the same wake-up.
        let Some(key) = self.requests.key(handle) else {
            return;
        };
        let request = self.requests.remove(key);
        self.frame.clear();
        let frame = Frame::new(&mut self.frame, kind::ANSWER)
            .whole(Field::Id, request.id)
            .text(Field::Word, response.disposition.wire_text())
            .text(Field::Reason, response.reason)
            .whole(Field::Took, response.elapsed)
            .bytes(Field::Payload, response.payload);
        let frame = if response.retry_after > 0 {
            frame.whole(Field::ComeBack, response.retry_after)
        } else {
            frame
        };
        frame.end();
        if !net.write(request.conn, &self.frame) {
            // A client that reads nothing until its buffer is full loses its own connection only; other
            // clients are not affected.
            net.abort(request.conn);
        }
    }
}
