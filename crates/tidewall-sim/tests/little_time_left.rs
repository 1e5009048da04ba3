//! Requests with little time left, at a pair whose members are far from each other or from all others: each has its answer
//! within its client's time and what the pages allow for the way, whatever the record of the response and the voters take.
use std::collections::BTreeMap;
use test_case::test_case;
use tidewall_audit::rows::{Kind, Row};
use tidewall_net::memory::Path;
use tidewall_net::Time;
use tidewall_sim::pair::{run, Setup, Trouble};

const MILLISECOND: Time = 10;

/// The member with the higher priority.
const SERVING: usize = 0;

/// How long a member is gone.
const RESTART: Time = 300 * MILLISECOND;

/// When the paths become slow and when the link, or a member, fails: the pair has settled, and functions are loaded.
const SLOW_FROM: Time = 1_500 * MILLISECOND;
const HANGS_AT: Time = 2_500 * MILLISECOND;

/// When workers begin to execute requests without an answer: what they have is given up while the link hangs.
const SILENT_FROM: Time = 2_300 * MILLISECOND;

/// Longer than the members wait for each other.
const HANG: Time = 400 * MILLISECOND;

/// How long clients send.
const SECONDS: f64 = 3.5;

/// The request classes of the run that may not be executed twice: keyed in a zone, and at most once.
const UNSAFE_CLASSES: [usize; 2] = [1, 2];

/// Max ages of the requests, in milliseconds.
const MAX_AGES_MS: [u64; 4] = [60, 120, 180, 300];

fn slow_by(milliseconds: Time) -> Path {
    Path {
        delay: milliseconds * MILLISECOND,
        ..Path::default()
    }
}

/// The link between the members hangs.
const LINK_HANGS: Trouble = Trouble::Cut {
    from: None,
    lasts: HANG,
};

/// The member that serves stands still.
const STANDS_STILL: Trouble = Trouble::Pause {
    member: SERVING,
    lasts: HANG,
};

/// The member that serves is killed, and starts again.
const KILLED: Trouble = Trouble::Kill {
    member: SERVING,
    back: Some(RESTART),
};

/// The member that serves hands over and ends.
const HANDS_OVER: Trouble = Trouble::Leave {
    member: SERVING,
    back: RESTART,
};

/// Delays are those of one way: between the members, and between them and clients, workers and voters. `trouble` begins a second
/// after the paths have become slow.
fn setup(link_ms: Time, outside_ms: Time, trouble: Option<Trouble>, max_age_ms: u64) -> Setup {
    let lasts = 10_000 * MILLISECOND;
    let link = Trouble::Slow {
        path: slow_by(link_ms),
        lasts,
    };
    let outside = Trouble::Outside {
        path: slow_by(outside_ms),
        lasts,
    };
    let mut troubles = vec![(SLOW_FROM, link), (SLOW_FROM, outside)];
    troubles.extend(trouble.map(|trouble| (HANGS_AT, trouble)));
    Setup {
        troubles: Some(troubles),
        seconds: SECONDS,
        rate: 400.0,
        max_age_ms,
        ..Setup::new(1)
    }
}

/// Guards against responses that wait longer for their record, or for the voters' grant, than their clients wait for them.
#[test_case(1, 10, Some(LINK_HANGS); "the link hangs")]
#[test_case(1, 20, Some(LINK_HANGS); "the link hangs and the voters are far")]
#[test_case(10, 20, Some(LINK_HANGS); "a slow link hangs")]
#[test_case(10, 15, None; "the link is slow and well")]
#[test_case(30, 5, None; "the link is slower than all other paths")]
#[test_case(30, 20, None; "all paths are slow")]
#[test_case(10, 20, Some(STANDS_STILL); "the active member stands still")]
#[test_case(10, 20, Some(KILLED); "the active member is killed")]
#[test_case(10, 20, Some(HANDS_OVER); "the active member hands over")]
fn a_response_waits_no_longer_than_its_client(
    link_ms: Time,
    outside_ms: Time,
    trouble: Option<Trouble>,
) {
    for max_age_ms in MAX_AGES_MS {
        let report = run(setup(link_ms, outside_ms, trouble, max_age_ms));
        assert_eq!(
            report.breaches,
            Vec::<String>::new(),
            "max age {max_age_ms} ms"
        );
    }
}

/// A request as its client and its worker saw it.
#[derive(Default)]
struct Seen {
    request_class: usize,
    /// How long its client waits, and until when.
    remaining: Time,
    deadline: Time,
    reached_worker_at: Option<Time>,
}

/// By how much failures came later than `bound` allows, one for each request that reached a silent worker before the link hung
/// and was answered, not deferred, while it hung.
fn delays_of_failures(record: &[u8], bound: impl Fn(&Seen) -> Time) -> Vec<Time> {
    let mut requests: BTreeMap<u64, Seen> = BTreeMap::new();
    let mut delays = Vec::new();
    // The first line has the rules.
    for line in record.split(|byte| *byte == b'\n').skip(1) {
        let Ok(row) = serde_json::from_slice::<Row>(line) else {
            continue;
        };
        let seen = requests.entry(row.request_id).or_default();
        match row.kind {
            Kind::Asked => {
                seen.request_class = row.request_type;
                (seen.remaining, seen.deadline) = (row.left, row.time + row.left);
            }
            Kind::Launched => seen.reached_worker_at = Some(row.time),
            Kind::Answered if !row.deferred => {
                let attempted = seen
                    .reached_worker_at
                    .is_some_and(|at| (SILENT_FROM..HANGS_AT).contains(&at));
                let while_it_hung = (HANGS_AT..HANGS_AT + HANG).contains(&row.time);
                if attempted && while_it_hung && UNSAFE_CLASSES.contains(&seen.request_class) {
                    delays.push(row.time.saturating_sub(bound(seen)));
                }
            }
            _ => {}
        }
    }
    delays
}

/// Guards against a failure that waits for its record though the standby, which knows the attempt, would fail the request too.
#[test]
fn a_failure_that_a_takeover_would_repeat_is_answered_at_once() {
    let outside_ms = 20;
    let begins = SILENT_FROM as f64 / (SECONDS * 1_000.0 * MILLISECOND as f64);
    let silent = format!("fault {{ trouble: WORKER_SILENT count: 6 at: {begins} lasts_ms: 1000 }}");
    let report = run(Setup {
        script: Some(silent),
        keep: true,
        ..setup(1, outside_ms, Some(LINK_HANGS), 300)
    });
    // A request is given up when a quarter of its time is left, by a gateway that reads it one way late; the answer takes one more.
    let both_ways = 2 * outside_ms * MILLISECOND;
    let bound = |seen: &Seen| seen.deadline + both_ways - seen.remaining / 4;
    let delays = delays_of_failures(&report.record, bound);
    assert!(
        delays.len() >= 10,
        "{} failures put it to the test",
        delays.len()
    );
    assert_eq!(delays.iter().max(), Some(&0), "{delays:?}");
}

/// Guards against an answer that a gateway sends behind a standstill, and that reaches a client on a far path when that has given up.
#[test]
fn pair_2_an_answer_behind_a_standstill_does_not_reach_a_client_that_gave_up() {
    let report = run(Setup {
        seed: 2,
        seconds: 5.0,
        ..setup(10, 20, Some(STANDS_STILL), 560)
    });
    assert_eq!(report.breaches, Vec::<String>::new());
}
