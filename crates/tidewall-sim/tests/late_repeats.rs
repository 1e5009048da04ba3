//! Requests that a client sends again to a member which then stalls: they remain unread for so long that only little of their
//! client's time is certain to be left. The member knows the request that they repeat, so it must not report any of them as not
//! admitted.
use test_case::test_case;
use tidewall_net::memory::Path;
use tidewall_net::Time;
use tidewall_sim::pair::{run, Fault, Setup};

const MILLISECOND: Time = 10;

/// When the active member is killed for good.
const KILLED_AT: Time = 2_500 * MILLISECOND;

/// How long after that the other member stalls, in milliseconds: before it serves, as it begins to serve, and while it waits until
/// the workers have fenced the former member, which takes as long as the paths' round trip.
const AFTER_MS: [Time; 12] = [350, 400, 420, 440, 460, 470, 480, 500, 520, 530, 540, 560];

const SEEDS: u64 = 3;

/// `outside_ms` is the one-way latency between the members and all other nodes.
fn faults(after_ms: Time, stall_ms: Time, outside_ms: Time) -> Vec<(Time, Fault)> {
    let slow = Fault::Outside {
        path: Path {
            delay: outside_ms * MILLISECOND,
            ..Path::default()
        },
        lasts: 10_000 * MILLISECOND,
    };
    let killed = Fault::Kill {
        member: 0,
        back: None,
    };
    let stalled = Fault::Pause {
        member: 1,
        lasts: stall_ms * MILLISECOND,
    };
    vec![
        (0, slow),
        (KILLED_AT, killed),
        (KILLED_AT + after_ms * MILLISECOND, stalled),
    ]
}

/// Guards against the response "not admitted, too late" to a repeat whose request is in flight and is executed, and against
/// responses to clients that have given up meanwhile.
#[test_case(100, 10; "a short stall")]
#[test_case(800, 5; "a stall for more than a quarter of the time left")]
#[test_case(800, 10; "the same with more latency")]
#[test_case(800, 20; "the same with most latency")]
#[test_case(1_200, 15; "a stall for half of the time left")]
#[test_case(2_400, 5; "a stall for all of the time left")]
fn a_repeat_that_was_read_late_waits_for_its_request(stall_ms: Time, outside_ms: Time) {
    for seed in 0..SEEDS {
        for after_ms in AFTER_MS {
            let report = run(Setup {
                faults: Some(faults(after_ms, stall_ms, outside_ms)),
                rate: 200.0,
                ..Setup::new(seed)
            });
            assert_eq!(
                report.breaches,
                Vec::<String>::new(),
                "seed {seed}, after {after_ms} ms"
            );
        }
    }
}
