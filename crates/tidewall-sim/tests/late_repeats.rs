//! Requests that a client sends again to a member which then stands still: they lie unread for so long that little of their
//! client's time is certain. The member has the request that they repeat, so none is said not to be taken.
use test_case::test_case;
use tidewall_net::memory::Path;
use tidewall_net::Time;
use tidewall_sim::pair::{run, Fault, Setup};

const MILLISECOND: Time = 10;

/// When the member that serves ends, for good.
const KILLED_AT: Time = 2_500 * MILLISECOND;

/// How long after that the other one stands still: before it serves, as it begins to, and while it waits until the workers are
/// fenced, which takes as long as the paths do.
const AFTER_MS: [Time; 12] = [350, 400, 420, 440, 460, 470, 480, 500, 520, 530, 540, 560];

const SEEDS: u64 = 3;

/// `outside_ms` is one way between the members and all others.
fn troubles(after_ms: Time, stands_still_ms: Time, outside_ms: Time) -> Vec<(Time, Fault)> {
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
    let stands_still = Fault::Pause {
        member: 1,
        lasts: stands_still_ms * MILLISECOND,
    };
    vec![
        (0, slow),
        (KILLED_AT, killed),
        (KILLED_AT + after_ms * MILLISECOND, stands_still),
    ]
}

/// Guards against "not taken, too late" as the answer to a repeat whose request is in flight, and is executed; and against
/// responses to clients that gave up meanwhile.
#[test_case(100, 10; "shortly")]
#[test_case(800, 5; "for more than a quarter of the time left")]
#[test_case(800, 10; "the same, at a distance")]
#[test_case(800, 20; "the same, at a longer distance")]
#[test_case(1_200, 15; "for half of it")]
#[test_case(2_400, 5; "for all of it")]
fn a_repeat_that_lay_unread_waits_for_its_request(stands_still_ms: Time, outside_ms: Time) {
    for seed in 0..SEEDS {
        for after_ms in AFTER_MS {
            let report = run(Setup {
                troubles: Some(troubles(after_ms, stands_still_ms, outside_ms)),
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
