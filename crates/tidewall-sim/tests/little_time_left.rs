//! Requests with little time left, at a pair with high latency between its members or to all other nodes: each gets its response
//! within its client's time plus the allowance for the network, however long the replication of the response and the voters take.
use std::collections::BTreeMap;
use test_case::test_case;
use tidewall_audit::rows::{Kind, Row};
use tidewall_net::memory::Path;
use tidewall_net::Time;
use tidewall_sim::pair::{run, Fault, Setup};

const MILLISECOND: Time = 10;

/// The member that is active before the fault: the one with the higher priority.
const ACTIVE: usize = 0;

/// How long a member is dead.
const RESTART: Time = 300 * MILLISECOND;

/// When the paths become slow, and when the link or a member fails: by then the members have their roles and functions are loaded.
const SLOW_FROM: Time = 1_500 * MILLISECOND;
const FAULT_AT: Time = 2_500 * MILLISECOND;

/// When workers begin to execute requests without a response: the gateway gives these requests up while the link hangs.
const SILENT_FROM: Time = 2_300 * MILLISECOND;

/// Length of the fault, longer than the members wait for each other.
const FAULT_LENGTH: Time = 400 * MILLISECOND;

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

/// A partition between the members: what they send waits.
const LINK_HANGS: Fault = Fault::Cut {
    from: None,
    lasts: FAULT_LENGTH,
};

/// The active member stalls.
const STALLED: Fault = Fault::Pause {
    member: ACTIVE,
    lasts: FAULT_LENGTH,
};

/// The active member is killed and restarts.
const KILLED: Fault = Fault::Kill {
    member: ACTIVE,
    back: Some(RESTART),
};

/// The active member drains, hands over and ends.
const HANDS_OVER: Fault = Fault::Leave {
    member: ACTIVE,
    back: RESTART,
};

/// `link_ms` is the one-way latency between the members, and `outside_ms` that between them and clients, workers and voters. `fault`
/// begins a second after the paths have become slow.
fn setup(link_ms: Time, outside_ms: Time, fault: Option<Fault>, max_age_ms: u64) -> Setup {
    let lasts = 10_000 * MILLISECOND;
    let link = Fault::Slow {
        path: slow_by(link_ms),
        lasts,
    };
    let outside = Fault::Outside {
        path: slow_by(outside_ms),
        lasts,
    };
    let mut faults = vec![(SLOW_FROM, link), (SLOW_FROM, outside)];
    faults.extend(fault.map(|fault| (FAULT_AT, fault)));
    Setup {
        faults: Some(faults),
        seconds: SECONDS,
        rate: 400.0,
        max_age_ms,
        ..Setup::new(1)
    }
}

/// Guards against responses that wait for their replication, or for the voters' grant, until their clients have given up.
#[test_case(1, 10, Some(LINK_HANGS); "the link hangs")]
#[test_case(1, 20, Some(LINK_HANGS); "the link hangs and the voters are far")]
#[test_case(10, 20, Some(LINK_HANGS); "a slow link hangs")]
#[test_case(10, 15, None; "the link is slow without a fault")]
#[test_case(30, 5, None; "the link is slower than all other paths")]
#[test_case(30, 20, None; "all paths are slow")]
#[test_case(10, 20, Some(STALLED); "the active member stalls")]
#[test_case(10, 20, Some(KILLED); "the active member is killed")]
#[test_case(10, 20, Some(HANDS_OVER); "the active member hands over")]
fn a_response_waits_no_longer_than_its_client(
    link_ms: Time,
    outside_ms: Time,
    fault: Option<Fault>,
) {
    for max_age_ms in MAX_AGES_MS {
        let report = run(setup(link_ms, outside_ms, fault, max_age_ms));
        assert_eq!(
            report.breaches,
            Vec::<String>::new(),
            "max age {max_age_ms} ms"
        );
    }
}

/// What the record says about a request.
#[derive(Default)]
struct Observed {
    request_class: usize,
    /// How long its client waits for a response, and until when.
    remaining: Time,
    deadline: Time,
    reached_worker_at: Option<Time>,
}

/// How much later than `bound` allows each failure was answered: of those requests that reached a silent worker before the link
/// hung, and that were answered, and not deferred, while it hung.
fn delays_of_failures(record: &[u8], bound: impl Fn(&Observed) -> Time) -> Vec<Time> {
    let mut requests: BTreeMap<u64, Observed> = BTreeMap::new();
    let mut delays = Vec::new();
    // The first line contains the rules.
    for line in record.split(|byte| *byte == b'\n').skip(1) {
        let Ok(row) = serde_json::from_slice::<Row>(line) else {
            continue;
        };
        let observed = requests.entry(row.request_id).or_default();
        match row.kind {
            Kind::Asked => {
                observed.request_class = row.request_type;
                (observed.remaining, observed.deadline) = (row.left, row.time + row.left);
            }
            Kind::Launched => observed.reached_worker_at = Some(row.time),
            Kind::Answered if !row.deferred => {
                let attempted = observed
                    .reached_worker_at
                    .is_some_and(|at| (SILENT_FROM..FAULT_AT).contains(&at));
                let while_it_hung = (FAULT_AT..FAULT_AT + FAULT_LENGTH).contains(&row.time);
                if attempted && while_it_hung && UNSAFE_CLASSES.contains(&observed.request_class) {
                    delays.push(row.time.saturating_sub(bound(observed)));
                }
            }
            _ => {}
        }
    }
    delays
}

/// Guards against a failure response that waits for its replication although the standby, which knows the attempt, would fail the
/// request as well after a takeover.
#[test]
fn a_failure_that_the_standby_would_report_too_is_answered_at_once() {
    let outside_ms = 20;
    let begins = SILENT_FROM as f64 / (SECONDS * 1_000.0 * MILLISECOND as f64);
    let silent = format!("fault {{ trouble: WORKER_SILENT count: 6 at: {begins} lasts_ms: 1000 }}");
    let report = run(Setup {
        script: Some(silent),
        keep: true,
        ..setup(1, outside_ms, Some(LINK_HANGS), 300)
    });
    // The gateway gives a request up when a quarter of its time is left. It reads the request one one-way latency late, and the
    // response takes another one.
    let both_ways = 2 * outside_ms * MILLISECOND;
    let bound = |observed: &Observed| observed.deadline + both_ways - observed.remaining / 4;
    let delays = delays_of_failures(&report.record, bound);
    assert!(
        delays.len() >= 10,
        "only {} failures were tested",
        delays.len()
    );
    assert_eq!(delays.iter().max(), Some(&0), "{delays:?}");
}

/// Guards against a response that a gateway sends after a stall, and that reaches a client with high latency after it has given up.
#[test]
fn pair_2_an_answer_behind_a_standstill_does_not_reach_a_client_that_gave_up() {
    let report = run(Setup {
        seed: 2,
        seconds: 5.0,
        ..setup(10, 20, Some(STALLED), 560)
    });
    assert_eq!(report.breaches, Vec::<String>::new());
}
