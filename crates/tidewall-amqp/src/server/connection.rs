//! Class connection (section 1.4.1): negotiation, choice of the virtual host, and blocking of publishers.
use super::state::{ChannelAddress, ConnectionState};
use super::{MethodResult, Server, ServerActions, ServerConfig};
use crate::codec::{self, method, ArgumentReader, FieldValue, TableWriter};
use crate::{reply_code, ProtocolError, Time, SECOND};

/// Extensions that the server announces; clients use them only if they are announced.
const CAPABILITIES: [&str; 4] = [
    "publisher_confirms",
    "basic.nack",
    "connection.blocked",
    "consumer_cancel_notify",
];

/// Channel 0, which stands for the connection itself (4.2.3).
fn channel_zero(connection: usize) -> ChannelAddress {
    ChannelAddress {
        connection,
        number: 0,
    }
}

impl Server {
    pub(super) fn send_start<A: ServerActions>(&mut self, actions: &mut A, connection: usize) {
        self.connections[connection].state = ConnectionState::AwaitingStartOk;
        let mut capabilities = TableWriter::default();
        for name in CAPABILITIES {
            capabilities.boolean(name, true);
        }
        let mut properties = TableWriter::default();
        properties.long_string("product", "tidewall");
        properties.table("capabilities", &capabilities.0);
        let to = channel_zero(connection);
        self.write_method(actions, to, method::CONNECTION_START, |frame| {
            // Protocol version 0-9.
            frame
                .octet(0)
                .octet(9)
                .long_str(&properties.0)
                .long_str(b"PLAIN")
                .long_str(b"en_US")
        });
    }

    /// Handles a method of class connection.
    pub(super) fn connection_method<A: ServerActions>(
        &mut self,
        actions: &mut A,
        connection: usize,
        id: codec::MethodId,
        arguments: &mut ArgumentReader,
    ) -> MethodResult {
        match (self.connections[connection].state, id) {
            (ConnectionState::AwaitingStartOk, method::CONNECTION_START_OK) => {
                self.start_ok(actions, connection, arguments)
            }
            (ConnectionState::AwaitingTuneOk, method::CONNECTION_TUNE_OK) => {
                self.tune_ok(connection, arguments)
            }
            (ConnectionState::AwaitingOpen, method::CONNECTION_OPEN) => {
                let name = arguments.short_str()?;
                let hosts = &self.config.virtual_hosts;
                let index = hosts.iter().position(|host| host == name).ok_or_else(|| {
                    ProtocolError::new(reply_code::NOT_ALLOWED, format!("no virtual host '{name}'"))
                })?;
                let state = &mut self.connections[connection];
                state.virtual_host = index;
                state.state = ConnectionState::Running;
                let to = channel_zero(connection);
                self.write_method(actions, to, method::CONNECTION_OPEN_OK, |frame| {
                    frame.octet(0)
                });
                Ok(())
            }
            (_, method::CONNECTION_CLOSE) => {
                let to = channel_zero(connection);
                self.write_method(actions, to, method::CONNECTION_CLOSE_OK, |frame| frame);
                actions.close(self.connections[connection].transport);
                self.connection_closed(connection);
                Ok(())
            }
            (_, method::CONNECTION_CLOSE_OK) => Ok(()),
            (ConnectionState::Running, method::CONNECTION_UPDATE_SECRET) => Err(
                ProtocolError::new(reply_code::NOT_IMPLEMENTED, "secrets are not renewed"),
            ),
            _ => Err(ProtocolError::new(
                reply_code::COMMAND_INVALID,
                format!("connection method {} is out of its turn", id.method),
            )),
        }
    }

    fn start_ok<A: ServerActions>(
        &mut self,
        actions: &mut A,
        connection: usize,
        arguments: &mut ArgumentReader,
    ) -> MethodResult {
        let client_properties = arguments.table()?;
        let mechanism = arguments.short_str()?;
        let response = arguments.long_str()?;
        let _locale = arguments.short_str()?;
        if mechanism != "PLAIN" {
            return Err(ProtocolError::new(
                reply_code::ACCESS_REFUSED,
                format!("mechanism '{mechanism}' is not offered"),
            ));
        }
        let state = &mut self.connections[connection];
        if let Some(FieldValue::Table(capabilities)) = client_properties.get("capabilities") {
            state.supports_blocked =
                capabilities.get("connection.blocked") == Some(FieldValue::Boolean(true));
        }
        // RFC 4616: authorization identity, user and password, separated by zero octets.
        let mut parts = response.splitn(3, |byte| *byte == 0);
        let (_, user, password) = (parts.next(), parts.next(), parts.next());
        let user = user.and_then(|user| std::str::from_utf8(user).ok());
        let (Some(user), Some(password)) = (user, password) else {
            return Err(ProtocolError::new(
                reply_code::SYNTAX_ERROR,
                "the PLAIN response is malformed",
            ));
        };
        state.state = ConnectionState::Authenticating;
        state.user = user.to_string();
        actions.authenticate(connection, user, password);
        Ok(())
    }

    fn tune_ok(&mut self, connection: usize, arguments: &mut ArgumentReader) -> MethodResult {
        let channel_max = arguments.short()?;
        let frame_max = arguments.long()?;
        let heartbeat_seconds = arguments.short()?;
        let offer = &self.config;
        if frame_max > 0 && frame_max < codec::FRAME_MIN_SIZE || frame_max > offer.frame_max {
            return Err(ProtocolError::new(
                reply_code::SYNTAX_ERROR,
                format!("frame-max {frame_max} was not offered"),
            ));
        }
        let state = &mut self.connections[connection];
        // 0 means that the client sets no limit, so the server's limit applies (1.4.2.6).
        state.channel_max = match channel_max {
            0 => offer.channel_max,
            requested => requested.min(offer.channel_max),
        };
        state.frame_max = match frame_max {
            0 => offer.frame_max,
            requested => requested,
        };
        state.heartbeat = Time::from(heartbeat_seconds) * SECOND;
        state.state = ConnectionState::AwaitingOpen;
        Ok(())
    }

    /// Handles the result of a check that `ServerActions::authenticate` started. It is ignored if the
    /// connection has ended; `transport` shows whether its id was given to a new connection.
    pub fn authentication_finished<A: ServerActions>(
        &mut self,
        actions: &mut A,
        connection: usize,
        transport: u64,
        accepted: bool,
    ) {
        let Some(state) = self.connections.get_mut(connection) else {
            return;
        };
        if state.transport != transport || state.state != ConnectionState::Authenticating {
            return; // disconnected in the meantime
        }
        if !accepted {
            let error = ProtocolError::new(reply_code::ACCESS_REFUSED, "login refused")
                .in_method(method::CONNECTION_START_OK);
            return self.raise_exception(actions, connection, 0, error);
        }
        state.state = ConnectionState::AwaitingTuneOk;
        let ServerConfig {
            channel_max,
            frame_max,
            heartbeat_seconds,
            ..
        } = self.config;
        let to = channel_zero(connection);
        self.write_method(actions, to, method::CONNECTION_TUNE, |frame| {
            frame
                .short(channel_max)
                .long(frame_max)
                .short(heartbeat_seconds)
        });
    }

    /// Sends `connection.blocked` or `connection.unblocked` if the client supports them. The caller holds the
    /// client back by not reading from the connection.
    pub fn set_blocked<A: ServerActions>(
        &mut self,
        actions: &mut A,
        connection: usize,
        blocked: bool,
        reason: &str,
    ) {
        let Some(state) = self.connections.get_mut(connection) else {
            return;
        };
        if state.state != ConnectionState::Running || state.blocked == blocked {
            return;
        }
        state.blocked = blocked;
        let to = channel_zero(connection);
        if state.supports_blocked && blocked {
            self.write_method(actions, to, method::CONNECTION_BLOCKED, |frame| {
                frame.short_str(reason)
            });
        } else if state.supports_blocked {
            self.write_method(actions, to, method::CONNECTION_UNBLOCKED, |frame| frame);
        }
    }
}
