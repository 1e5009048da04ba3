//! The fields of all frames: their numbers, names and meanings.

macro_rules! fields {
    ($($(#[$doc:meta])* $number:literal $variant:ident $name:literal),* $(,)?) => {
        /// A field of a frame, by its number on the wire. A field has the same type and unit in every frame.
        ///
        /// The names of fields, and those of frame kinds in these comments, are the ones in `docs/wire.md`.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        #[repr(u8)]
        pub enum Field { $($(#[$doc])* $variant = $number),* }

        /// Number of known fields, one more than the highest field number. Readers skip fields with this
        /// number or a higher one.
        pub const FIELD_COUNT: usize = [$($number),*].len();

        impl Field {
            /// All fields, indexed by number: the numbers have no gaps.
            pub const ALL: [Field; FIELD_COUNT] = [$(Field::$variant),*];

            /// The name in `docs/wire.md` and in error messages.
            pub fn name(self) -> &'static str {
                match self { $(Field::$variant => $name),* }
            }
        }
    };
}

fields! {
    /// Kind of the frame, one of the numbers in [`kind`](crate::kind); the first field of every frame.
    0 Kind "kind",
    /// Version of the protocol, [`VERSION`](crate::VERSION), in hello.
    1 Version "version",
    /// Role of the sender (`client`, `gateway`, `worker`, `roster`, `pair`, `status`, `tasks`), in hello.
    2 Role "role",
    /// Name of the sender in hello and status, of a worker in launched and in roster entries.
    3 Name "name",
    /// Incarnation: of a worker, the count of its starts (hello, roster entries); of a member of a pair, its
    /// start (hello, status); of a task's lease holder (act). In the hello of a gateway its index in the
    /// settings.
    4 Life "life",
    /// Identifier of a request, attempt, load request, health check, fetch or vote, chosen by the requesting
    /// side and valid on its connection; in peer the sender's index in the settings.
    5 Id "id",
    /// Request type, by its name in the settings, in event, launch, taken and answered.
    6 Type "type",
    /// Tenant of a request, in event and taken; optional.
    7 Tenant "tenant",
    /// Name of the function, in event, launch, hold, unload, fetch and taken.
    8 Function "function",
    /// Number of requests that an instance runs concurrently, 1 to 1,000, 1 if absent, in event, launch, hold
    /// and taken.
    9 Lanes "lanes",
    /// Memory of an instance in MB, 0 if absent, in event, launch, hold and taken.
    10 Memory "memory",
    /// Expected execution time in tenths of a millisecond, up to 36,000,000, 0 for unknown, in event, launch
    /// and taken.
    11 Hint "hint",
    /// Expected time of loading an instance in tenths of a millisecond, up to 36,000,000, 0 for unknown, in
    /// event, hold, fetch and taken.
    12 LoadHint "load-hint",
    /// Time until the client's deadline in tenths of a millisecond, up to 36,000,000, in event, launch and
    /// taken.
    13 Left "left",
    /// Idempotency key, the same for all attempts of a request, in event, launch, taken and answered; may be
    /// empty.
    14 Mark "mark",
    /// Whether the client has already sent this request before, in event and launch.
    15 Resent "resent",
    /// Opaque bytes: of a request (event, launch, taken), of a response (answer, begun, end, answered), of a
    /// datagram (peer), and the settings that must agree in a pair's hello.
    16 Payload "payload",
    /// Disposition of a request (`handled`, `deferred`, `dead-lettered`, `turned-away`), in answer and
    /// answered; the member's state in status.
    17 Word "word",
    /// Explanation in human-readable text, in error, answer and status.
    18 Reason "reason",
    /// Retry-After: minimum time before a retry in tenths of a millisecond, in answer.
    19 ComeBack "come-back",
    /// Result of an attempt (`ok`, `error`, `full`, `miss`, `cancelled`, `fenced`), load request, fetch, or
    /// effect (`done`, `late`, `older`), in end, held, fetched and acted.
    20 Outcome "outcome",
    /// Duration in tenths of a millisecond: of a request in the gateway (answer), of an attempt at the worker
    /// (end).
    21 Took "took",
    /// How an attempt got its instance, in end: 0 it got none, 1 the instance was already loaded, 2 the
    /// attempt started the load, 3 it waited for a load in progress, 4 the load failed.
    22 Copy "copy",
    /// Number of requests of the function that were at the worker when this one arrived, 0 to 30, in end.
    23 Company "company",
    /// Number of requests at the worker, waiting or running, in end and probed (a floating-point number);
    /// number of requests in flight, in status.
    24 InFlight "in-flight",
    /// Utilization of the worker's cores, 0 to 1, in end and probed.
    25 Busy "busy",
    /// Number of actions deferred until the other member has stored their records, in status.
    26 Waiting "waiting",
    /// Number of instances requested (hold, up to 16) or loaded (held, up to 65,536); number of requests
    /// replicated from the other member, in status.
    27 Copies "copies",
    /// `whole` for a complete endpoint list, `patch` for changes, in roster.
    28 Scope "scope",
    /// Version of the endpoint list, which increases with each roster.
    29 Generation "generation",
    /// Endpoints as an array of maps, in roster: name, place and standing, and also zone, machine, cell,
    /// rating, life and age.
    30 Entries "entries",
    /// A flag: watch (follow), active (hello of a pair, ping), only new records follow (copy), proven not
    /// executed (over), granted (promised), connected to the other member (status).
    31 On "on",
    /// Address and port as text, in roster entries; the number of a request at its member as a whole number,
    /// in taken, launched, over, answered and gone.
    32 Place "place",
    /// Index of an attempt among those of its request, from 0, in launch, launched and over.
    33 Launch "launch",
    /// The client's id of the request, for logs, in launch.
    34 Event "event",
    /// Zone of a worker, in roster entries.
    35 Zone "zone",
    /// Type of the machine of a worker, in roster entries.
    36 Machine "machine",
    /// Number of the worker's group, whose workers share idempotency keys, in roster entries.
    37 Cell "cell",
    /// State of a worker (`on`, `draining`, `gone`), in roster entries.
    38 Standing "standing",
    /// Capacity of a worker relative to others, in roster entries.
    39 Rating "rating",
    /// Tenths of a millisecond since the worker started (hello of a worker, roster entries; 0 or absent for
    /// long ago), or since the load request (ordered).
    40 Age "age",
    /// Epoch of the pair's active member (hello, launch, hold, ping, accept, promised, status), 0 or absent
    /// for none; epoch of a task's lease in act and acted.
    41 Epoch "epoch",
    /// Fencing: the other member's requests under an older epoch are rejected, in accept and promised.
    42 Floor "floor",
    /// Sequence number up to which records are stored, in recorded; number of records not yet acknowledged in
    /// status.
    43 Seq "seq",
    /// Ballot proposed (prepare, accept) or highest ballot promised (promised); number of ignored
    /// advertisements in status.
    44 Ballot "ballot",
    /// Number of a pair's member, 1 or 2 by the order of names, in hello, accept and promised; the gateway's
    /// number in act.
    45 Member "member",
    /// Incarnation of the first member that has all records, 0 for none, in accept and promised; in ping the
    /// incarnation of the other member.
    46 SyncA "sync-a",
    /// Incarnation of the second member that has all records, 0 for none, in accept and promised.
    47 SyncB "sync-b",
    /// A time of the worker's own clock, opaque to all others, in ticket and act.
    48 Ticket "ticket",
    /// Number of a fleet-wide task, in act.
    49 Task "task",
    /// Checksum of act: xxh3 (64 bits) over id, task, epoch, member, life and ticket.
    50 Check "check",
}
