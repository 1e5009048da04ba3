//! The clients: connections, calls, cancellations, and the outcome of calls whose connection ends.
use super::{Action, Client, ConnectionRole, Harness, CLOSE_CROSSING, MAX_OPEN, RECONNECT, TICK};
use crate::plan::SECOND;
use crate::record::{Call, Class, Excuse};
use crate::wire;
use rand::Rng;
use tidewall_net::{Conn, Net};

impl Harness {
    pub(super) fn send_calls(&mut self) {
        let now = self.now();
        for gateway in 0..self.gateways.len() {
            while self.next_call[gateway] <= now {
                let mean = SECOND / self.plan.rate;
                let from = self.next_call[gateway].max(now.saturating_sub(SECOND));
                self.next_call[gateway] = from + self.rng.random_range(1..2 * mean);
                self.send_call(gateway);
            }
            for slot in 0..self.plan.connections {
                let client = &self.clients[gateway][slot];
                let is_stopping = self.gateways[gateway]
                    .stopping_at
                    .is_some_and(|at| now > at + 3_000);
                if client.conn.is_none() && client.retry_at <= now && !is_stopping {
                    let conn = self.net.connect(self.gateways[gateway].address, SECOND);
                    self.connection_roles
                        .insert(conn, ConnectionRole::Client { gateway, slot });
                    self.clients[gateway][slot].conn = Some(conn);
                }
            }
        }
    }

    pub(super) fn send_call(&mut self, gateway: usize) {
        let usable = |client: &Client| client.ready && client.open.len() < MAX_OPEN;
        let connections = self.plan.connections;
        let first = self.rng.random_range(0..connections);
        let slots = (0..connections).map(|offset| (first + offset) % connections);
        let Some(slot) = slots
            .into_iter()
            .find(|slot| usable(&self.clients[gateway][*slot]))
        else {
            return;
        };
        let class = Class::ALL[self.rng.random_range(0..3)];
        let patience_ms = self.rng.random_range(self.plan.patience_ms.clone());
        // The square of a uniform draw: some functions are called far more often than others.
        let drawn: f64 = self.rng.random();
        let function = (drawn * drawn * self.plan.functions as f64) as u64 + 1;
        let trace = self.record.calls.len();
        let client = &mut self.clients[gateway][slot];
        client.last_tag += 1;
        let (tag, conn) = (client.last_tag, client.conn.expect("it is ready"));
        client.open.insert(tag, trace);
        let text = wire::call(tag, trace as u64 + 1, class.name(), patience_ms, function);
        let sent_at = self.now();
        self.net.write(conn, text.as_bytes());
        let patience = patience_ms * 10;
        let note = match self.gateways[gateway].stopping_at {
            Some(at) => format!("(told to stop {} before)", sent_at - at),
            None => String::new(),
        };
        self.record.calls.push(Call {
            gateway,
            class,
            sent_at,
            patience,
            abandoned_at: None,
            answers: Vec::new(),
            attempts: Vec::new(),
            excuse: None,
            note,
        });
        let abandons_early = self.rng.random_ratio(1, 8);
        let abandons_at = if abandons_early {
            sent_at + self.rng.random_range(0..patience)
        } else {
            sent_at + patience + 5_010
        };
        self.schedule(abandons_at, Action::AbandonCall(trace, conn, tag));
    }

    /// The client cancels its call if it is still open; in one of eight cases it closes its connection
    /// instead.
    pub(super) fn abandon_call(&mut self, trace: usize, conn: Conn, tag: u64) {
        let now = self.now();
        let Some(ConnectionRole::Client { gateway, slot }) = self.connection_roles.get(&conn)
        else {
            return;
        };
        let (gateway, slot) = (*gateway, *slot);
        if self.clients[gateway][slot].open.remove(&tag).is_none() {
            return;
        }
        self.record.calls[trace].abandoned_at = Some(now);
        if self.rng.random_ratio(1, 8) {
            let open = std::mem::take(&mut self.clients[gateway][slot].open);
            for trace in open.into_values() {
                self.record.calls[trace].abandoned_at = Some(now);
            }
            self.connection_roles.remove(&conn);
            self.net.close(conn);
            self.clients[gateway][slot] = Client {
                retry_at: now + TICK,
                ..Client::default()
            };
        } else {
            self.net.write(conn, wire::cancel(tag).as_bytes());
        }
    }

    pub(super) fn client_received(&mut self, gateway: usize, slot: usize, bytes: &[u8]) -> usize {
        let mut used = 0;
        while let Some((tag, word, body, length)) = wire::client_answer(&bytes[used..]) {
            used += length;
            let now = self.now();
            // An answer to a call that the client has abandoned is ignored: it crossed the cancellation.
            if let Some(trace) = self.clients[gateway][slot].open.remove(&tag) {
                let is_own = word != "OK" || body == format!("{:016x}", trace + 1);
                let word = if is_own {
                    word
                } else {
                    format!("{word} of another: {body}")
                };
                self.record.calls[trace].answers.push((now, word));
            }
        }
        used
    }

    pub(super) fn client_closed(&mut self, gateway: usize, slot: usize) {
        let now = self.now();
        let own = &mut self.gateways[gateway];
        let was_killed = own.killed_at.is_some_and(|at| now < at + SECOND);
        for trace in std::mem::take(&mut self.clients[gateway][slot].open).into_values() {
            let call = &mut self.record.calls[trace];
            if was_killed {
                call.excuse = Some(Excuse::Killed);
            } else if now <= call.sent_at + CLOSE_CROSSING {
                call.excuse = Some(Excuse::CrossedClose);
            } else {
                call.note.push_str(&format!(
                    " closed by the gateway at +{}",
                    now - call.sent_at
                ));
            }
        }
        self.clients[gateway][slot] = Client {
            retry_at: now + RECONNECT,
            ..Client::default()
        };
    }
}
