//! Emulated clients behind a simple load balancer: open-loop arrivals drawn with the seed, independent of the
//! responses, client timeouts, retries where those are harmless, and a balancer that keeps sending to a
//! failed gateway for a while.
use crate::terminal::{AmqpClient, AmqpClientHandler};
use crate::workers::idempotency_key;
use crate::{timer_kind, Context, Owner};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal};
use slab::Slab;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tidewall_audit::rows::{Kind, Row, ATTEMPTS_PER_REQUEST};
use tidewall_config::Section;
use tidewall_net::{Conn, Net, Time, TimerId};
use tidewall_wire::{self as wire, kind, Field, Fields, Frame};

/// Counts of what the clients observed.
#[derive(Clone, Debug)]
pub struct Results {
    pub events: u64,
    pub tries: u64,
    pub handled: u64,
    pub deferred: u64,
    pub dead_lettered: u64,
    pub lapsed: u64,
    pub turned_away: u64,
    pub broken: u64,
    pub unreachable: u64,
    /// By request type: requests handled within the target time, handled later, and sent.
    pub good: Vec<u64>,
    pub late: Vec<u64>,
    pub asked: Vec<u64>,
    pub benefit: Vec<f64>,
    pub names: Vec<String>,
    /// Confirms that contradict the response: an ack without a handled response, or a nack with one.
    pub confirms_wrong: u64,
    pub confirms: u64,
    /// Requests that were sent again after their connection broke.
    pub asked_again: u64,
    /// Requests whose AMQP client closed the channel or connection, or stopped reading.
    pub given_up_requests: u64,
    /// Duplicate publishes by a second AMQP client.
    pub duplicates: u64,
    /// Extra logins that were accepted.
    pub extra_logins: u64,
    /// Extra logins that were refused or broke.
    pub extra_logins_refused: u64,
    /// Time from a request's arrival to the response that it was handled, in tenths of a millisecond.
    pub latency: Histogram<u64>,
}

impl Results {
    /// Benefit of requests handled within the target time, divided by the benefit of all requests.
    pub fn service(&self) -> f64 {
        let sum = |counts: &[u64]| -> f64 {
            counts
                .iter()
                .zip(&self.benefit)
                .map(|(count, benefit)| *count as f64 * benefit)
                .sum()
        };
        sum(&self.good) / sum(&self.asked).max(1e-9)
    }
}

struct RequestType {
    name: String,
    target_time: Time,
    max_age: Time,
    benefit: f64,
    redelivery: String,
    all_workers: bool,
}

struct Request {
    number: u64,
    function: usize,
    work: f64,
    due: Time,
    attempts: u64,
    tenant: usize,
    /// Gateway and connection of the current attempt.
    sent_to: Option<(usize, usize)>,
    /// Whether the current attempt is sent and unanswered on an open connection.
    in_flight: bool,
    timeout_timer: Option<TimerId>,
    /// When the client of the current attempt gives up.
    deadline: Time,
    abandon_timer: Option<TimerId>,
    /// Gateway that the next attempt goes to, with its count of broken connections: if that has changed, the
    /// process may be another one.
    sticky: Option<(usize, u64)>,
    /// Whether its AMQP client stopped waiting for an earlier attempt by its own doing.
    given_up: bool,
    /// A duplicate of another request, published by a second client: it is not retried, and left out of the
    /// results.
    duplicate: bool,
    /// Whether the current attempt was sent. To a failover pair it is sent again on the next open connection.
    was_sent: bool,
}

/// What one AMQP client received, collected until all bytes are decoded.
#[derive(Default)]
struct Received {
    ready: bool,
    answers: Vec<(u64, String, u64)>,
    confirms: Vec<(u64, bool)>,
}

impl AmqpClientHandler for Received {
    fn ready(&mut self) {
        self.ready = true;
    }
    fn answer(&mut self, request_id: u64, word: &str, come_back: u64) {
        self.answers.push((request_id, word.to_string(), come_back));
    }
    fn confirmed(&mut self, request_id: u64, good: bool) {
        self.confirms.push((request_id, good));
    }
}

struct Gateway {
    name: String,
    amqp_clients: Vec<AmqpClient>,
    address: SocketAddr,
    connections: Vec<(Option<Conn>, bool)>,
    round_robin: usize,
    /// Since when no connection is open.
    down_since: Option<Time>,
    /// Connections that the clients did not break: the gateway may have been restarted since.
    broken_connections: u64,
    /// Connections that the clients broke themselves.
    cut_by_client: Vec<bool>,
}

/// An extra AMQP connection that logs in and sends no requests.
struct ExtraLogin {
    conn: Conn,
    amqp_client: AmqpClient,
}

pub struct Clients {
    types: Vec<RequestType>,
    tenants: Vec<String>,
    gateways: Vec<Gateway>,
    rate: f64,
    retries: u64,
    retry_delay: Time,
    /// Share of a request's maximum age after which its client gives up.
    timeout_share: f64,
    /// How long the balancer still sends to a gateway without open connections.
    balancer_lag: Time,
    payload_size: usize,
    /// Used for arrivals only, so that they do not depend on what happens to requests.
    arrivals: ChaCha8Rng,
    requests: Slab<Request>,
    arrival_count: u64,
    /// Remaining rounds for which arrivals may wait until all gateways are connected.
    startup_rounds: u32,
    /// When the next arrival is due, in fractional tenths of a millisecond: computed from the previous due
    /// time, so that a late wake-up does not lower the rate.
    next_due: f64,
    /// Whether the clients publish over AMQP.
    pub amqp: bool,
    /// Whether the response was `handled`, by request id, until the confirm arrives.
    handled_responses: BTreeMap<u64, bool>,
    pub send_until: Time,
    /// Whether the gateway is a failover pair behind one address: unanswered requests are sent again, and a
    /// gateway with an older epoch is refused.
    pair: bool,
    epoch: u64,
    /// Times from the end of the last open connection to the next connection.
    pub outages: Vec<Time>,
    pub rate_factor: f64,
    pub work_factor: f64,
    /// Whether AMQP clients publish each request twice.
    pub publish_twice: bool,
    /// Factor by which the clients' clocks are wrong.
    pub clock_factor: f64,
    extra_logins: Slab<ExtraLogin>,
    /// One in this many clients abandons its request early.
    pub abandon_ratio: u32,
    pub results: Results,
}

/// Delay before a reconnect.
const RECONNECT_DELAY: Time = 1_000;

/// Delay before a reconnect to a failover pair: short, so that a takeover costs clients little more than it
/// takes.
const PAIR_RECONNECT_DELAY: Time = 50;

/// One in this many clients abandons its request early, after a third of its timeout.
const ABANDON_RATIO: u32 = 100;

impl Clients {
    pub fn new<N: Net>(
        context: &mut Context<N>,
        settings: &Section,
        fleet: &Section,
        seed: u64,
        amqp: bool,
    ) -> Clients {
        let c = fleet.section("clients");
        let types: Vec<RequestType> = settings
            .sections("event_type")
            .iter()
            .map(|t| RequestType {
                name: t.text("name"),
                target_time: t.duration("target_time_ms"),
                max_age: t.duration("max_age_ms"),
                benefit: t.number("benefit"),
                redelivery: t.enum_value("redelivery"),
                all_workers: t.enum_value("group") == "ALL",
            })
            .collect();
        let gateway_of = |s: &Section| Gateway {
            name: s.text("name"),
            amqp_clients: (0..c.integer("connections"))
                .map(|_| AmqpClient::default())
                .collect(),
            address: s
                .text(if amqp { "amqp_address" } else { "address" })
                .parse()
                .expect("checked"),
            connections: vec![(None, false); c.integer("connections") as usize],
            round_robin: 0,
            down_since: Some(context.net.now()),
            broken_connections: 0,
            cut_by_client: vec![false; c.integer("connections") as usize],
        };
        let zeros = vec![0; types.len()];
        Clients {
            tenants: settings
                .sections("tenant")
                .iter()
                .map(|t| t.text("name"))
                .collect(),
            gateways: settings
                .sections("gateway")
                .iter()
                .map(gateway_of)
                .collect(),
            rate: c.number("rate"),
            retries: c.integer("retries"),
            retry_delay: c.duration("wait_ms"),
            timeout_share: c.number("patience"),
            balancer_lag: c.duration("front_ms"),
            payload_size: c.integer("payload") as usize,
            arrivals: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed_0a11),
            requests: Slab::new(),
            arrival_count: 0,
            startup_rounds: 100,
            next_due: 0.0,
            amqp,
            handled_responses: BTreeMap::new(),
            send_until: Time::MAX,
            pair: settings.has("pair"),
            epoch: 0,
            outages: Vec::new(),
            rate_factor: 1.0,
            work_factor: 1.0,
            publish_twice: false,
            clock_factor: 1.0,
            extra_logins: Slab::new(),
            abandon_ratio: ABANDON_RATIO,
            results: Results {
                events: 0,
                tries: 0,
                handled: 0,
                deferred: 0,
                dead_lettered: 0,
                lapsed: 0,
                turned_away: 0,
                broken: 0,
                unreachable: 0,
                confirms_wrong: 0,
                confirms: 0,
                asked_again: 0,
                given_up_requests: 0,
                duplicates: 0,
                extra_logins: 0,
                extra_logins_refused: 0,
                good: zeros.clone(),
                late: zeros.clone(),
                asked: zeros,
                benefit: types.iter().map(|t| t.benefit).collect(),
                names: types.iter().map(|t| t.name.clone()).collect(),
                // One hour, with three significant digits.
                latency: Histogram::new_with_bounds(1, 36_000_000, 3).expect("the bounds are good"),
            },
            types,
        }
    }

    pub fn gateways(&self) -> usize {
        self.gateways.len()
    }

    pub fn start<N: Net>(&mut self, context: &mut Context<N>) {
        for gateway in 0..self.gateways.len() {
            (0..self.gateways[gateway].connections.len())
                .for_each(|connection| self.connect(context, gateway, connection));
        }
        // The arrivals start after the connections had time to open.
        let now = context.net.now();
        context
            .net
            .set_timer(now + 2 * RECONNECT_DELAY, timer_kind::ARRIVAL);
    }

    pub fn connect<N: Net>(&mut self, context: &mut Context<N>, gateway: usize, connection: usize) {
        let conn = context.net.connect(
            self.gateways[gateway].address,
            if self.pair {
                RECONNECT_DELAY / 2
            } else {
                RECONNECT_DELAY
            },
        );
        context.set_owner(
            conn,
            Owner::Client {
                gw: gateway,
                n: connection,
            },
        );
        self.gateways[gateway].connections[connection] = (Some(conn), false);
    }

    pub fn connected<N: Net>(
        &mut self,
        context: &mut Context<N>,
        gateway: usize,
        connection: usize,
    ) {
        context.buffer.clear();
        if self.amqp {
            self.gateways[gateway].amqp_clients[connection].connected(&mut context.buffer);
            if let Some(conn) = self.gateways[gateway].connections[connection].0 {
                context.net.write(conn, &context.buffer);
            }
            return;
        }
        wire::hello(
            &mut context.buffer,
            "client",
            &format!("{}-{connection}", self.gateways[gateway].name),
            1,
        );
        if let Some(conn) = self.gateways[gateway].connections[connection].0 {
            context.net.write(conn, &context.buffer);
        }
    }

    pub fn closed<N: Net>(&mut self, context: &mut Context<N>, gateway: usize, connection: usize) {
        let now = context.net.now();
        let target = &mut self.gateways[gateway];
        target.connections[connection] = (None, false);
        let cut = std::mem::take(&mut target.cut_by_client[connection]);
        target.broken_connections += u64::from(!cut);
        if target.down_since.is_none() && target.connections.iter().all(|c| !c.1) {
            target.down_since = Some(now);
            if self.pair {
                context.record_row(Row {
                    kind: Kind::Away,
                    gateway,
                    ..Row::default()
                });
            }
        }
        let delay = if self.pair {
            PAIR_RECONNECT_DELAY
        } else {
            RECONNECT_DELAY
        };
        context.net.set_timer(
            now + delay,
            timer_kind::CONNECT | (gateway as u64) << 32 | connection as u64,
        );
        if cut {
            return self.stop_waiting(context, gateway, connection);
        }
        if self.pair {
            self.requests
                .iter_mut()
                .filter(|request| request.1.sent_to == Some((gateway, connection)))
                .for_each(|request| request.1.in_flight = false);
            return;
        }
        let unanswered: Vec<usize> = self
            .requests
            .iter()
            .filter(|request| {
                request.1.sent_to == Some((gateway, connection)) && request.1.in_flight
            })
            .map(|request| request.0)
            .collect();
        for key in unanswered {
            let request_id = self.request_id(key);
            context.record_row(Row {
                kind: Kind::Broke,
                request_id,
                gateway,
                ..Row::default()
            });
            self.results.broken += 1;
            // The request may have been executed, so it is retried only where a repeat is harmless.
            let harmless = self
                .repeat_is_harmless(context.functions[self.requests[key].function].request_type);
            self.end_attempt(context, key, harmless, 0);
        }
    }

    /// An AMQP client no longer waits on this connection, by its own doing: records its unanswered requests
    /// as given up, and retries them with the same message-id.
    fn stop_waiting<N: Net>(
        &mut self,
        context: &mut Context<N>,
        gateway: usize,
        connection: usize,
    ) {
        let unanswered: Vec<usize> = self
            .requests
            .iter()
            .filter(|request| {
                request.1.sent_to == Some((gateway, connection)) && request.1.in_flight
            })
            .map(|request| request.0)
            .collect();
        for key in unanswered {
            let request_id = self.request_id(key);
            context.record_row(Row {
                kind: Kind::Left,
                request_id,
                gateway,
                ..Row::default()
            });
            self.results.given_up_requests += 1;
            (self.requests[key].sticky, self.requests[key].given_up) = (
                Some((gateway, self.gateways[gateway].broken_connections)),
                true,
            );
            self.end_attempt(context, key, true, 0);
        }
    }

    /// Breaks an AMQP client's connection at a random byte of a publish.
    pub fn cut_connection<N: Net>(
        &mut self,
        context: &mut Context<N>,
        gateway: usize,
        connection: usize,
    ) {
        let Some(conn) = self.gateways[gateway].connections[connection]
            .0
            .filter(|_| self.gateways[gateway].connections[connection].1)
        else {
            return;
        };
        context.buffer.clear();
        let function = &context.functions[0];
        let key = format!(
            "{}.{}",
            self.types[function.request_type].name, function.name
        );
        self.gateways[gateway].amqp_clients[connection].publish(
            &mut context.buffer,
            u64::MAX,
            &key,
            1,
            u64::MAX,
            false,
            &[0; 64],
        );
        let part = context.rng.random_range(0..context.buffer.len());
        context.net.write(conn, &context.buffer[..part]);
        self.gateways[gateway].cut_by_client[connection] = true;
        context.net.abort(conn);
    }

    /// Closes an AMQP client's channel with requests in flight on it.
    pub fn close_channel<N: Net>(
        &mut self,
        context: &mut Context<N>,
        gateway: usize,
        connection: usize,
    ) {
        let Some(conn) = self.gateways[gateway].connections[connection]
            .0
            .filter(|_| self.gateways[gateway].connections[connection].1)
        else {
            return;
        };
        context.buffer.clear();
        self.gateways[gateway].amqp_clients[connection].close_channel(&mut context.buffer);
        context.net.write(conn, &context.buffer);
        self.gateways[gateway].connections[connection].1 = false;
        self.stop_waiting(context, gateway, connection);
    }

    /// Makes an AMQP client stop reading.
    pub fn stop_reading<N: Net>(
        &mut self,
        context: &mut Context<N>,
        gateway: usize,
        connection: usize,
    ) {
        let Some(conn) = self.gateways[gateway].connections[connection]
            .0
            .filter(|_| self.gateways[gateway].connections[connection].1)
        else {
            return;
        };
        context.net.set_read_paused(conn, true);
        self.gateways[gateway].connections[connection].1 = false;
        self.stop_waiting(context, gateway, connection);
    }

    /// Breaks the connection of an AMQP client that stopped reading.
    pub fn break_stopped<N: Net>(
        &mut self,
        context: &mut Context<N>,
        gateway: usize,
        connection: usize,
    ) {
        if let Some(conn) = self.gateways[gateway].connections[connection].0 {
            self.gateways[gateway].cut_by_client[connection] = true;
            context.net.abort(conn);
        }
    }

    /// Open connections, as (gateway, connection).
    pub fn open_connections(&self) -> Vec<(usize, usize)> {
        let each = |gateway: usize| {
            (0..self.gateways[gateway].connections.len())
                .map(move |connection| (gateway, connection))
        };
        (0..self.gateways.len())
            .flat_map(each)
            .filter(|(gateway, connection)| self.gateways[*gateway].connections[*connection].1)
            .collect()
    }

    /// Logs in `count` extra AMQP clients at once, each with a queue of `unacked_messages` messages that it
    /// never acks (0 for none).
    pub fn open_extra_logins<N: Net>(
        &mut self,
        context: &mut Context<N>,
        count: usize,
        unacked_messages: u64,
    ) {
        for i in 0..count {
            let conn = context.net.connect(
                self.gateways[i % self.gateways.len()].address,
                100 * RECONNECT_DELAY,
            );
            let key = self.extra_logins.insert(ExtraLogin {
                conn,
                amqp_client: AmqpClient::consumer_without_acks(unacked_messages),
            });
            context.set_owner(conn, Owner::ExtraLogin(key));
        }
    }

    pub fn close_extra_logins<N: Net>(&mut self, context: &mut Context<N>) {
        for login in std::mem::take(&mut self.extra_logins) {
            context.set_owner(login.1.conn, Owner::Detached);
            context.net.reset(login.1.conn);
        }
    }

    pub fn extra_login_connected<N: Net>(&mut self, context: &mut Context<N>, key: usize) {
        context.buffer.clear();
        self.extra_logins[key]
            .amqp_client
            .connected(&mut context.buffer);
        context
            .net
            .write(self.extra_logins[key].conn, &context.buffer);
    }

    pub fn extra_login_closed(&mut self, key: usize) {
        self.results.extra_logins_refused += 1;
        self.extra_logins.remove(key);
    }

    pub fn extra_login_received<N: Net>(
        &mut self,
        context: &mut Context<N>,
        key: usize,
        bytes: &[u8],
    ) -> Result<usize, String> {
        let (mut received, mut out, mut used) = (Received::default(), Vec::new(), 0);
        loop {
            let length = self.extra_logins[key].amqp_client.frame(
                &bytes[used..],
                &mut out,
                &mut received,
            )?;
            if length == 0 {
                break;
            }
            used += length;
        }
        self.results.extra_logins += u64::from(received.ready);
        if !out.is_empty() {
            context.net.write(self.extra_logins[key].conn, &out);
        }
        Ok(used)
    }

    fn request_id(&self, key: usize) -> u64 {
        let request = &self.requests[key];
        request.number * ATTEMPTS_PER_REQUEST + request.attempts - 1
    }

    /// The connection can take requests.
    fn connection_ready<N: Net>(
        &mut self,
        context: &mut Context<N>,
        gateway: usize,
        connection: usize,
    ) {
        self.gateways[gateway].connections[connection].1 = true;
        let since = self.gateways[gateway].down_since.take();
        if let Some(since) = since.filter(|_| self.pair) {
            self.outages.push(context.net.now() - since);
            context.record_row(Row {
                kind: Kind::Back,
                gateway,
                ..Row::default()
            });
        }
        if self.pair {
            self.resend_unanswered(context, gateway, connection);
        }
    }

    /// Sends unanswered requests again, with the same id and idempotency key.
    fn resend_unanswered<N: Net>(
        &mut self,
        context: &mut Context<N>,
        gateway: usize,
        connection: usize,
    ) {
        let now = context.net.now();
        let unanswered: Vec<usize> = self
            .requests
            .iter()
            .filter(|request| !request.1.in_flight && request.1.timeout_timer.is_some())
            .map(|request| request.0)
            .collect();
        for key in unanswered {
            let left = self.requests[key].deadline.saturating_sub(now);
            if left > 0 {
                self.send(context, key, (gateway, connection), left);
            }
        }
    }

    /// Handles the arrivals that are due, and sets the timer for the next one.
    pub fn arrivals<N: Net>(&mut self, context: &mut Context<N>) {
        let now = context.net.now();
        if now >= self.send_until {
            return;
        }
        if self.startup_rounds > 0 {
            self.startup_rounds -= 1;
            if self
                .gateways
                .iter()
                .all(|gateway| gateway.connections.iter().any(|c| c.1))
            {
                self.startup_rounds = 0;
            }
            context
                .net
                .set_timer(now + RECONNECT_DELAY, timer_kind::ARRIVAL);
            return;
        }
        if self.next_due == 0.0 {
            self.next_due = now as f64;
        }
        while self.next_due <= now as f64 {
            self.arrival(context, self.next_due as Time);
            let gap: f64 = Exp1.sample(&mut self.arrivals);
            self.next_due += gap / (self.rate * self.rate_factor) * 10_000.0;
        }
        context.net.set_timer(
            (self.next_due.ceil() as Time).max(now + 1),
            timer_kind::ARRIVAL,
        );
    }

    fn arrival<N: Net>(&mut self, context: &mut Context<N>, due: Time) {
        let draw: f64 = self.arrivals.random();
        let function = context
            .functions
            .partition_point(|p| p.cumulative_share < draw)
            .min(context.functions.len() - 1);
        // Work varies by about a third around its mean, as in functions whose input varies.
        let spread: f64 = LogNormal::new(-0.05, 0.32)
            .expect("good")
            .sample(&mut self.arrivals);
        let tenant = if self.tenants.is_empty() {
            0
        } else {
            self.arrivals.random_range(0..self.tenants.len())
        };
        self.arrival_count += 1;
        let request = Request {
            number: self.arrival_count,
            function,
            work: context.functions[function].work * spread * self.work_factor,
            due,
            attempts: 0,
            tenant,
            sent_to: None,
            in_flight: false,
            timeout_timer: None,
            deadline: 0,
            abandon_timer: None,
            sticky: None,
            given_up: false,
            duplicate: false,
            was_sent: false,
        };
        let key = self.requests.insert(request);
        self.results.events += 1;
        self.results.asked[context.functions[function].request_type] += 1;
        self.start_attempt(context, key);
    }

    /// Starts one attempt of a client at a request.
    pub fn start_attempt<N: Net>(&mut self, context: &mut Context<N>, key: usize) {
        let now = context.net.now();
        let request_type = context.functions[self.requests[key].function].request_type;
        let deadline = self.requests[key].due + self.types[request_type].max_age;
        let left = ((self.types[request_type].max_age as f64 * self.timeout_share) as Time)
            .min(deadline.saturating_sub(now));
        // A client with a wrong clock uses and sends another timeout.
        let left =
            ((left as f64 * self.clock_factor) as Time).min(self.types[request_type].max_age);
        // A request that its AMQP client gave up may be sent again to the same process, which knows it, or
        // where a repeat is harmless.
        let sticky = self.requests[key]
            .sticky
            .take()
            .filter(|s| self.gateways[s.0].broken_connections == s.1);
        let unknown = self.requests[key].given_up
            && sticky.is_none()
            && !self.repeat_is_harmless(request_type);
        if left < 10 || unknown {
            self.requests.remove(key);
            return;
        }
        self.requests[key].attempts += 1;
        self.results.tries += 1;
        // The balancer draws uniformly, and skips a gateway only after it has been down for `balancer_lag`.
        let is_open =
            |gateway: &Gateway, lag: Time| gateway.down_since.is_none_or(|since| now < since + lag);
        let candidates: Vec<usize> = (0..self.gateways.len())
            .filter(|gateway| is_open(&self.gateways[*gateway], self.balancer_lag))
            .collect();
        let gateway = if candidates.is_empty() {
            0
        } else {
            candidates[context.rng.random_range(0..candidates.len())]
        };
        let gateway = sticky.map_or(gateway, |s| s.0);
        let target = &mut self.gateways[gateway];
        target.round_robin += 1;
        let ready: Vec<usize> = (0..target.connections.len())
            .filter(|connection| target.connections[*connection].1)
            .collect();
        if ready.is_empty() && self.pair {
            // The attempt waits for a connection until its client gives up.
            let request = &mut self.requests[key];
            (
                request.deadline,
                request.was_sent,
                request.in_flight,
                request.sent_to,
            ) = (now + left, false, false, Some((gateway, usize::MAX)));
            let timer = context.net.set_timer(
                now + left + tidewall_audit::GRACE,
                timer_kind::TIMED_OUT | key as u64,
            );
            self.requests[key].timeout_timer = Some(timer);
            return;
        }
        if ready.is_empty() {
            self.results.unreachable += 1;
            self.requests[key].sticky = sticky;
            return self.end_attempt(context, key, true, 0);
        }
        let connection = ready[target.round_robin % ready.len()];
        let other_connection = ready[(target.round_robin + 1) % ready.len()];
        let deadline = now + left;
        (self.requests[key].deadline, self.requests[key].was_sent) = (deadline, false);
        self.requests[key].timeout_timer = Some(context.net.set_timer(
            deadline + tidewall_audit::GRACE,
            timer_kind::TIMED_OUT | key as u64,
        ));
        // AMQP has no message to abandon a request.
        if context.rng.random_ratio(1, self.abandon_ratio) && !self.amqp && !self.pair {
            self.requests[key].abandon_timer = Some(
                context
                    .net
                    .set_timer(now + left / 3, timer_kind::ABANDON | key as u64),
            );
        }
        self.send(context, key, (gateway, connection), left);
        if self.publish_twice
            && self.amqp
            && other_connection != connection
            && self
                .requests
                .get(key)
                .is_some_and(|request| request.in_flight)
        {
            self.send_duplicate(context, key, (gateway, other_connection), left);
        }
    }

    /// Sends an attempt on a connection; its client gives up after `left`.
    fn send<N: Net>(
        &mut self,
        context: &mut Context<N>,
        key: usize,
        (gateway, connection): (usize, usize),
        left: Time,
    ) {
        let Some(conn) = self.gateways[gateway].connections[connection].0 else {
            return;
        };
        let (request_id, function) = (
            self.request_id(key),
            &context.functions[self.requests[key].function],
        );
        let request_type = function.request_type;
        let request = &mut self.requests[key];
        let mut payload = vec![0; self.payload_size.max(4)];
        payload[..4].copy_from_slice(&(request.work.ceil() as u32).to_be_bytes());
        context.buffer.clear();
        if self.amqp {
            let key = format!("{}.{}", self.types[request_type].name, function.name);
            let (left, resent) = (left / 10, request.attempts > 1 || request.was_sent);
            self.gateways[gateway].amqp_clients[connection].publish(
                &mut context.buffer,
                request_id,
                &key,
                left,
                idempotency_key(request_id),
                resent,
                &payload,
            );
        } else {
            let f = Frame::new(&mut context.buffer, kind::EVENT).whole(Field::Id, request_id);
            let f = f
                .text(Field::Type, &self.types[request_type].name)
                .text(Field::Function, &function.name);
            let f = f.text(
                Field::Tenant,
                self.tenants.get(request.tenant).map_or("", String::as_str),
            );
            let f = f
                .whole(Field::Lanes, u64::from(function.lanes))
                .real(Field::Memory, function.memory);
            let f = f
                .whole(Field::Hint, function.work as u64)
                .whole(Field::LoadHint, function.fetch_time + function.start_time);
            let f = f
                .whole(Field::Left, left)
                .bytes(Field::Mark, &idempotency_key(request_id).to_be_bytes());
            f.flag(Field::Resent, request.attempts > 1 || request.was_sent)
                .bytes(Field::Payload, &payload)
                .end();
        }
        (request.sent_to, request.in_flight) = (Some((gateway, connection)), true);
        let again = std::mem::replace(&mut request.was_sent, true);
        // Recorded before it is sent, so that no launch of it can be recorded first.
        let kind = if again { Kind::AskedAgain } else { Kind::Asked };
        context.record_row(Row {
            kind,
            request_id,
            gateway,
            request_type,
            left,
            ..Row::default()
        });
        self.results.asked_again += u64::from(again);
        if !context.net.write(conn, &context.buffer) {
            if self.pair {
                self.requests[key].in_flight = false;
                return;
            }
            context.record_row(Row {
                kind: Kind::TurnedAway,
                request_id,
                gateway,
                ..Row::default()
            });
            self.end_attempt(context, key, true, 0);
        }
    }

    /// Publishes the request again as another AMQP client of the gateway, with the same message-id.
    fn send_duplicate<N: Net>(
        &mut self,
        context: &mut Context<N>,
        original: usize,
        (gateway, connection): (usize, usize),
        left: Time,
    ) {
        let now = context.net.now();
        let request = &self.requests[original];
        if request.attempts >= ATTEMPTS_PER_REQUEST
            || self
                .requests
                .iter()
                .any(|t| t.1.duplicate && t.1.number == request.number)
        {
            return;
        }
        let (request_type, function) = (
            context.functions[request.function].request_type,
            &context.functions[request.function],
        );
        let mut payload = vec![0; self.payload_size.max(4)];
        payload[..4].copy_from_slice(&(request.work.ceil() as u32).to_be_bytes());
        let sent_to = Some((gateway, connection));
        let duplicate = Request {
            attempts: ATTEMPTS_PER_REQUEST,
            sent_to,
            in_flight: true,
            timeout_timer: None,
            abandon_timer: None,
            duplicate: true,
            ..*request
        };
        let key = self.requests.insert(duplicate);
        let request_id = self.request_id(key);
        context.buffer.clear();
        let name = format!("{}.{}", self.types[request_type].name, function.name);
        self.gateways[gateway].amqp_clients[connection].publish(
            &mut context.buffer,
            request_id,
            &name,
            left / 10,
            idempotency_key(request_id),
            false,
            &payload,
        );
        let timer = context.net.set_timer(
            now + left + tidewall_audit::GRACE,
            timer_kind::TIMED_OUT | key as u64,
        );
        self.requests[key].timeout_timer = Some(timer);
        self.results.duplicates += 1;
        context.record_row(Row {
            kind: Kind::Asked,
            request_id,
            gateway,
            request_type,
            left,
            ..Row::default()
        });
        if let Some(conn) = self.gateways[gateway].connections[connection].0 {
            context.net.write(conn, &context.buffer);
        }
    }

    /// Whether a repeat is harmless: the type is redeliverable, or keyed with a scope of all workers.
    fn repeat_is_harmless(&self, request_type: usize) -> bool {
        let request_type = &self.types[request_type];
        request_type.redelivery == "REDELIVERABLE"
            || request_type.redelivery == "KEYED" && request_type.all_workers
    }

    /// Ends the current attempt, and retries if `again` is set, retries are left and the request is young
    /// enough.
    fn end_attempt<N: Net>(
        &mut self,
        context: &mut Context<N>,
        key: usize,
        again: bool,
        come_back: Time,
    ) {
        let now = context.net.now();
        let request = &mut self.requests[key];
        (request.sent_to, request.in_flight) = (None, false);
        for d in [request.timeout_timer.take(), request.abandon_timer.take()]
            .into_iter()
            .flatten()
        {
            context.net.cancel_timer(d);
        }
        let request_type = &self.types[context.functions[request.function].request_type];
        let delay = self.retry_delay.max(come_back);
        if again
            && !request.duplicate
            && request.attempts <= self.retries
            && now + delay < request.due + request_type.max_age
            && now < self.send_until.max(request.due)
        {
            context
                .net
                .set_timer(now + delay, timer_kind::RETRY | key as u64);
        } else {
            self.requests.remove(key);
        }
    }

    pub fn handle_frame<N: Net>(
        &mut self,
        context: &mut Context<N>,
        gateway: usize,
        connection: usize,
        fields: &Fields,
    ) -> Result<(), String> {
        match fields.kind()? {
            kind::HELLO => {
                wire::greeted(fields)?;
                let epoch = fields.upto(Field::Epoch, u64::MAX, 0)?;
                if epoch < self.epoch {
                    return Err(format!("field epoch: {epoch} is older than {}", self.epoch));
                }
                self.epoch = epoch;
                self.connection_ready(context, gateway, connection);
                Ok(())
            }
            kind::ANSWER => {
                let (request_id, word) = (fields.whole(Field::Id)?, fields.text(Field::Word)?);
                let come_back = fields.upto(Field::ComeBack, 1 << 30, 0)?;
                if self.pair && word == "turned-away" && fields.word(Field::Reason)? == "draining" {
                    // The other member serves: closing the connection makes the client connect to it.
                    return Err("another member serves".to_string());
                }
                self.handle_response(context, gateway, request_id, word, come_back)
            }
            kind::BEGUN => Ok(()),
            kind::ERROR => Err(format!("the gateway told: {}", fields.text(Field::Reason)?)),
            other => Err(format!("field kind: {other} is not for a client")),
        }
    }

    /// Decodes the bytes that an AMQP client received.
    pub fn amqp_received<N: Net>(
        &mut self,
        context: &mut Context<N>,
        gateway: usize,
        connection: usize,
        bytes: &[u8],
    ) -> Result<usize, String> {
        let (mut received, mut out, mut used) = (Received::default(), Vec::new(), 0);
        loop {
            let length = self.gateways[gateway].amqp_clients[connection].frame(
                &bytes[used..],
                &mut out,
                &mut received,
            )?;
            if length == 0 {
                break;
            }
            used += length;
        }
        if let Some(conn) = self.gateways[gateway].connections[connection]
            .0
            .filter(|_| !out.is_empty())
        {
            context.net.write(conn, &out);
        }
        if received.ready {
            self.connection_ready(context, gateway, connection);
        }
        for (request_id, word, come_back) in received.answers {
            self.handled_responses.insert(request_id, word == "handled");
            self.handle_response(context, gateway, request_id, &word, come_back)?;
        }
        for (request_id, good) in received.confirms {
            self.results.confirms += 1;
            // A nack without a response is right: the request's time had passed.
            let handled = self.handled_responses.remove(&request_id) == Some(true);
            self.results.confirms_wrong += u64::from(handled != good);
        }
        Ok(used)
    }

    fn handle_response<N: Net>(
        &mut self,
        context: &mut Context<N>,
        gateway: usize,
        request_id: u64,
        word: &str,
        come_back: Time,
    ) -> Result<(), String> {
        let deferred = word == "deferred";
        let kind = if word == "turned-away" {
            Kind::TurnedAway
        } else {
            Kind::Answered
        };
        context.record_row(Row {
            kind,
            request_id,
            gateway,
            deferred,
            ..Row::default()
        });
        let found = self.requests.iter().find(|request| {
            request.1.in_flight
                && request.1.number * ATTEMPTS_PER_REQUEST + request.1.attempts - 1 == request_id
        });
        let Some(key) = found.map(|request| request.0) else {
            return Ok(());
        };
        let request_type = context.functions[self.requests[key].function].request_type;
        match word {
            "handled" | "deferred" | "dead-lettered" if self.requests[key].duplicate => {
                self.end_attempt(context, key, false, 0)
            }
            "handled" => {
                let took = context.net.now() - self.requests[key].due;
                self.results.handled += 1;
                self.results.latency.saturating_record(took.max(1));
                let list = if took <= self.types[request_type].target_time {
                    &mut self.results.good
                } else {
                    &mut self.results.late
                };
                list[request_type] += 1;
                self.end_attempt(context, key, false, 0);
            }
            "deferred" => {
                self.results.deferred += 1;
                self.end_attempt(context, key, true, come_back);
            }
            "dead-lettered" => {
                self.results.dead_lettered += 1;
                let again = self.types[request_type].redelivery == "REDELIVERABLE";
                self.end_attempt(context, key, again, 0);
            }
            "turned-away" => {
                self.results.turned_away += 1;
                self.end_attempt(context, key, true, come_back);
            }
            other => return Err(format!("field word: '{other}' is no answer")),
        }
        Ok(())
    }

    /// The attempt's timeout and the grace after it passed without a response.
    pub fn timed_out<N: Net>(&mut self, context: &mut Context<N>, key: usize) {
        let (request_id, gateway) = (
            self.request_id(key),
            self.requests[key].sent_to.map_or(0, |a| a.0),
        );
        if self.pair && !self.requests[key].was_sent {
            self.results.unreachable += 1;
            self.requests[key].timeout_timer = None;
            return self.end_attempt(context, key, true, 0);
        }
        context.record_row(Row {
            kind: Kind::GaveUp,
            request_id,
            gateway,
            ..Row::default()
        });
        self.results.lapsed += u64::from(!self.requests[key].duplicate);
        self.requests[key].timeout_timer = None;
        self.send_leave(context, key, request_id);
        let again = self.types[context.functions[self.requests[key].function].request_type]
            .redelivery
            == "REDELIVERABLE";
        self.end_attempt(context, key, again, 0);
    }

    /// The client abandons the request early, and tells the gateway.
    pub fn abandon<N: Net>(&mut self, context: &mut Context<N>, key: usize) {
        let request_id = self.request_id(key);
        let Some((gateway, _)) = self.requests[key].sent_to else {
            return;
        };
        self.requests[key].abandon_timer = None;
        context.record_row(Row {
            kind: Kind::Left,
            request_id,
            gateway,
            ..Row::default()
        });
        self.send_leave(context, key, request_id);
        self.results.lapsed += 1;
        self.end_attempt(context, key, false, 0);
    }

    /// Tells the gateway that no response is needed. AMQP has no such message.
    fn send_leave<N: Net>(&mut self, context: &mut Context<N>, key: usize, request_id: u64) {
        let sent_to = self.requests[key].sent_to.filter(|_| !self.amqp);
        let conn = sent_to.and_then(|(gateway, connection)| {
            self.gateways[gateway].connections.get(connection)?.0
        });
        let Some(conn) = conn else {
            return;
        };
        context.buffer.clear();
        Frame::new(&mut context.buffer, kind::LEAVE)
            .whole(Field::Id, request_id)
            .end();
        context.net.write(conn, &context.buffer);
    }
}
