//! The kinds of frames: values of the field `kind`. The numbers are part of the protocol and never change;
//! the gaps are reserved for later kinds.

/// From either side, its first frame: version, role, name, life; see [`hello`](crate::hello).
pub const HELLO: u64 = 1;
/// From either side, its last frame before it closes the connection: the reason.
pub const ERROR: u64 = 2;

/// From a client: a request.
pub const EVENT: u64 = 10;
/// To a client: the response to its request.
pub const ANSWER: u64 = 11;
/// From a worker, forwarded to the client: the response has begun and arrives in parts.
pub const BEGUN: u64 = 12;
/// From a client: it has abandoned its request and expects no response.
pub const LEAVE: u64 = 13;

/// To a worker: an attempt to execute a request.
pub const LAUNCH: u64 = 20;
/// From a worker: the outcome of an attempt.
pub const END: u64 = 21;
/// To a worker: the attempt is cancelled, and the sender does not wait for its outcome.
pub const CANCEL: u64 = 22;
/// To a worker: a load request, for a number of instances of a function.
pub const HOLD: u64 = 23;
/// From a worker: the result of a load request.
pub const HELD: u64 = 24;
/// To a worker: unload the idle instances of a function.
pub const UNLOAD: u64 = 25;
/// To a worker: a health check.
pub const PROBE: u64 = 26;
/// From a worker: the answer to a health check, with its load.
pub const PROBED: u64 = 27;
/// From a worker: it is draining and must receive no new requests.
pub const DRAINS: u64 = 28;

/// To the discovery server: watch the endpoint list.
pub const FOLLOW: u64 = 30;
/// To the discovery server: send the complete endpoint list once.
pub const LOOK_UP: u64 = 31;
/// From the discovery server: the complete endpoint list, or the endpoints that have changed.
pub const ROSTER: u64 = 32;

/// From a worker to the artifact store: a request for the artifact of a function.
pub const FETCH: u64 = 40;
/// From the artifact store: the result of a fetch.
pub const FETCHED: u64 = 41;

/// A datagram between gateways.
pub const PEER: u64 = 50;

/// Between the members of a failover pair: a keep-alive.
pub const PING: u64 = 60;
/// Between the members of a pair, replication: a snapshot begins, or only new records follow.
pub const COPY: u64 = 61;
/// Between the members of a pair, replication: a request was admitted.
pub const TAKEN: u64 = 62;
/// Between the members of a pair, replication: an attempt was sent.
pub const LAUNCHED: u64 = 63;
/// Between the members of a pair, replication: an attempt ended.
pub const OVER: u64 = 64;
/// Between the members of a pair, replication: a request was answered.
pub const ANSWERED: u64 = 65;
/// Between the members of a pair, replication: a request was abandoned by its client.
pub const GONE: u64 = 66;
/// Between the members of a pair, replication: a load request was sent, for the common rate limit.
pub const ORDERED: u64 = 67;
/// Between the members of a pair, replication: the snapshot is complete.
pub const COPIED: u64 = 68;
/// Between the members of a pair: the records up to a sequence number are stored.
pub const RECORDED: u64 = 69;
/// Between the members of a pair: a request to step down as the active member.
pub const YIELD: u64 = 70;
/// Between the members of a pair: the sender has stepped down.
pub const YIELDED: u64 = 71;
/// From a member of a pair: its state, for `tidewall status`.
pub const STATUS: u64 = 72;

/// To a worker as acceptor of the pair's epoch in Paxos: prepare a ballot.
pub const PREPARE: u64 = 80;
/// To a worker as acceptor: accept a claim under a ballot.
pub const ACCEPT: u64 = 81;
/// From a worker as acceptor: whether it granted the request, and the last claim that it accepted.
pub const PROMISED: u64 = 82;

/// To a worker: a request for a ticket. From a worker: a ticket, which is the current time of its clock.
pub const TICKET: u64 = 90;
/// To a worker: an effect of a fleet-wide task.
pub const ACT: u64 = 91;
/// From a worker: whether the effect took place.
pub const ACTED: u64 = 92;
