//! Requests with little time left, at a pair whose members are far from each other or from all others: each has its answer
//! within its client's time and what the pages allow for the way, whatever the record of the response and the voters take.
use test_case::test_case;
use tidewall_net::memory::Path;
use tidewall_net::Time;
use tidewall_sim::pair::{run, Setup, Trouble};

const MILLISECOND: Time = 10;

/// When the paths become slow and when the link hangs: the pair has settled, and functions are loaded.
const SLOW_FROM: Time = 1_500 * MILLISECOND;
const HANGS_AT: Time = 2_500 * MILLISECOND;

/// Longer than the members wait for each other.
const HANG: Time = 400 * MILLISECOND;

/// Max ages of the requests, in milliseconds.
const MAX_AGES_MS: [u64; 4] = [60, 120, 180, 300];

fn slow_by(milliseconds: Time) -> Path {
    Path {
        delay: milliseconds * MILLISECOND,
        ..Path::default()
    }
}

/// Delays are those of one way: between the members, and between them and clients, workers and voters.
fn breaches(link_ms: Time, outside_ms: Time, hangs: bool, max_age_ms: u64) -> Vec<String> {
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
    if hangs {
        let cut = Trouble::Cut {
            from: None,
            lasts: HANG,
        };
        troubles.push((HANGS_AT, cut));
    }
    let setup = Setup {
        troubles: Some(troubles),
        seconds: 3.5,
        rate: 400.0,
        max_age_ms,
        ..Setup::new(1)
    };
    run(setup).breaches
}

/// Guards against responses that wait longer for their record, or for the voters' grant, than their clients wait for them.
#[test_case(1, 10, true; "the link hangs")]
#[test_case(1, 20, true; "the link hangs and the voters are far")]
#[test_case(10, 20, true; "a slow link hangs")]
#[test_case(10, 15, false; "the link is slow and well")]
#[test_case(30, 5, false; "the link is slower than all other paths")]
#[test_case(30, 20, false; "all paths are slow")]
fn a_response_waits_no_longer_than_its_client(link_ms: Time, outside_ms: Time, hangs: bool) {
    for max_age_ms in MAX_AGES_MS {
        let breaches = breaches(link_ms, outside_ms, hangs, max_age_ms);
        assert_eq!(breaches, Vec::<String>::new(), "max age {max_age_ms} ms");
    }
}
