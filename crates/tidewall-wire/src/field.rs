//! The fields of all frames: numbers, names and meaning.

macro_rules! fields {
    ($($(#[$doc:meta])* $number:literal $variant:ident $name:literal),* $(,)?) => {
        /// A field of a frame, by its number on the wire. A field has the same type and unit in every frame.
        ///
        /// The names are the protocol's, as in `docs/wire.md`; frame kinds are named as there too.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        #[repr(u8)]
        pub enum Field { $($(#[$doc])* $variant = $number),* }

        /// Number of known fields, one more than the highest number: fields from here on are skipped.
        pub const FIELD_COUNT: usize = [$($number),*].len();

        impl Field {
            /// Every field, by number: the numbers have no gap.
            pub const ALL: [Field; FIELD_COUNT] = [$(Field::$variant),*];

            /// The name in `docs/wire.md` and in messages.
            pub fn name(self) -> &'static str {
                match self { $(Field::$variant => $name),* }
            }
        }
    };
}

fields! {
    /// Kind of the frame, one of [`kind`](crate::kind)'s numbers; first in every frame.
    0 Kind "kind",
    /// Version of the protocol, [`VERSION`](crate::VERSION), in hello.
    1 Version "version",
    /// What the sender is (`client`, `gateway`, `worker`, `roster`, `pair`, `status`, `tasks`), in hello.
    2 Role "role",
    /// Name of the sender in hello and status, of a worker in launched and in roster entries.
    3 Name "name",
    /// Incarnation: of a worker, the count of its starts (hello, roster entries); of a member of a pair, its start
    /// (hello, status); of a task's lease holder (act). In the hello of a gateway its index in the settings.
    4 Life "life",
    /// Identifier of a request, attempt, load request, health check, fetch or vote, chosen by whoever asks and valid on
    /// this connection; in peer the sender's index in the settings.
    5 Id "id",
    /// Request type, as the settings name it, in event, launch, taken and answered.
    6 Type "type",
    /// Tenant of a request, in event and taken; optional.
    7 Tenant "tenant",
    /// Name of the function, in event, launch, hold, unload, fetch and taken.
    8 Function "function",
    /// Requests that an instance runs at a time, 1 to 1,000, 1 if absent, in event, launch, hold and taken.
    9 Lanes "lanes",
    /// Memory of an instance in MB, 0 if absent, in event, launch, hold and taken.
    10 Memory "memory",
    /// Expected execution time in tenths of a millisecond, up to 36,000,000, 0 for unknown, in event, launch and taken.
    11 Hint "hint",
    /// Expected time of loading an instance in tenths of a millisecond, up to 36,000,000, 0 for unknown, in event,
    /// hold, fetch and taken.
    12 LoadHint "load-hint",
    /// Time until the client's deadline in tenths of a millisecond, up to 36,000,000, in event, launch and taken.
    13 Left "left",
    /// Idempotency key, the same for all attempts of a request, in event, launch, taken and answered; may be empty.
    14 Mark "mark",
    /// Whether the client has sent this request before, in event and launch.
    15 Resent "resent",
    /// Opaque bytes: of a request (event, launch, taken), of a response (answer, begun, end, answered), of a datagram
    /// (peer), and the settings that must agree in a pair's hello.
    16 Payload "payload",
    /// How a request was answered (`handled`, `deferred`, `dead-lettered`, `turned-away`), in answer and answered; the
    /// member's state in status.
    17 Word "word",
    /// Explanation for people, in error, answer and status.
    18 Reason "reason",
    /// Retry-After: least time before a retry in tenths of a millisecond, in answer.
    19 ComeBack "come-back",
    /// Result of an attempt (`ok`, `error`, `full`, `miss`, `cancelled`, `fenced`), load request, fetch, or effect
    /// (`done`, `late`, `older`), in end, held, fetched and acted.
    20 Outcome "outcome",
    /// Duration in tenths of a millisecond: of a request in the gateway (answer), of an attempt at the worker (end).
    21 Took "took",
    /// How an attempt got its instance, in end: 0 none, 1 it was loaded, 2 this request began the load, 3 it waited for
    /// a load, 4 the load failed.
    22 Copy "copy",
    /// Requests of the function that were at the worker when this one arrived, 0 to 30, in end.
    23 Company "company",
    /// Requests at the worker, waiting or running, in end and probed (a real number); requests in flight in status.
    24 InFlight "in-flight",
    /// Busy part of the worker's cores, 0 to 1, in end and probed.
    25 Busy "busy",
    /// Actions deferred until the other member has stored their records, in status.
    26 Waiting "waiting",
    /// Instances requested (hold, up to 16) or loaded (held, up to 65,536); requests replicated from the other member
    /// in status.
    27 Copies "copies",
    /// `whole` for a complete endpoint list, `patch` for changes, in roster.
    28 Scope "scope",
    /// Version of the endpoint list, which grows with each roster.
    29 Generation "generation",
    /// Endpoints as an array of maps, in roster: name, place and standing, with zone, machine, cell, rating, life and
    /// age.
    30 Entries "entries",
    /// A flag: watch (follow), active (hello of a pair, ping), only new records follow (copy), proven not executed
    /// (over), granted (promised), connected to the other member (status).
    31 On "on",
    /// Address and port as text in roster entries; the number of a request at its member, whole, in taken, launched,
    /// over, answered and gone.
    32 Place "place",
    /// Number of an attempt of its request, from 0, in launch, launched and over.
    33 Launch "launch",
    /// The client's id of the request, for logs, in launch.
    34 Event "event",
    /// Zone of a worker, in roster entries.
    35 Zone "zone",
    /// Machine type of a worker, in roster entries.
    36 Machine "machine",
    /// Number of the group of workers that share idempotency keys, in roster entries.
    37 Cell "cell",
    /// State of a worker (`on`, `draining`, `gone`), in roster entries.
    38 Standing "standing",
    /// Capacity of a worker relative to others, in roster entries.
    39 Rating "rating",
    /// Tenths of a millisecond since the worker started (hello of a worker, roster entries; 0 or absent for long ago),
    /// or since the load request (ordered).
    40 Age "age",
    /// Epoch of the pair's active member (hello, launch, hold, ping, accept, promised, status), 0 or absent for none;
    /// epoch of a task's lease in act and acted.
    41 Epoch "epoch",
    /// Fencing: the other member's requests under an older epoch are rejected, in accept and promised.
    42 Floor "floor",
    /// Sequence number up to which records are stored, in recorded; number of records not yet acknowledged in status.
    43 Seq "seq",
    /// Ballot proposed (prepare, accept) or highest ballot promised (promised); number of ignored advertisements in
    /// status.
    44 Ballot "ballot",
    /// Number of a pair's member, 1 or 2 by the order of names, in hello, accept and promised; the gateway's number in
    /// act.
    45 Member "member",
    /// Incarnation of the first member that has all records, 0 for none, in accept and promised; in ping the
    /// incarnation of the other member.
    46 SyncA "sync-a",
    /// Incarnation of the second member that has all records, 0 for none, in accept and promised.
    47 SyncB "sync-b",
    /// A time of the worker's own clock, opaque to others, in ticket and act.
    48 Ticket "ticket",
    /// Number of a fleet-wide task, in act.
    49 Task "task",
    /// Checksum of act: xxh3 (64 bits) over id, task, epoch, member, life and ticket.
    50 Check "check",
}
