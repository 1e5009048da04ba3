//! The table of faults against stages: each cell strikes a site of three gateways with its stand-in fleet (or a pair) at
//! moments when an event is at that stage, and the audit checks the rules from what crossed the sockets. The moments come from
//! a run of the same seed without the fault, which is the same up to there.
use std::sync::OnceLock;
use test_case::{test_case, test_matrix};
use tidewall_audit::rows::{Kind, Row, ATTEMPTS_PER_REQUEST};
use tidewall_net::memory::Path;
use tidewall_net::Time;
use tidewall_sim::pair::{self, Trouble};
use tidewall_sim::site::{play, Hurt, Plant, Setup};

const SECONDS: f64 = 3.0;

/// One seed in CI; `TABLE_SEED` tries another.
fn seed() -> u64 {
    std::env::var("TABLE_SEED")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(11)
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// A gateway has just taken it.
    Taken,
    /// It is held until a copy stands.
    Held,
    /// A load was ordered for it.
    Ordered,
    /// Its launch has just reached a worker.
    Launched,
    /// Its end is on its way from the worker.
    Ended,
    /// Its answer has just reached its client.
    Answered,
    /// A gateway is killed, or has just come back.
    Restarting,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Killed,
    Paused,
    Cut,
    ResetMidFrame,
    Silent,
    Hung,
    Slow,
    Full,
    Cold,
    Drained,
    StaleList,
    RosterGone,
    Malformed,
    DiskFull,
    DiskTorn,
    NoDescriptors,
    ClockAhead,
    ClockBack,
    GatewayGone,
    DepotStalls,
}

fn setup() -> Setup {
    let script = Some(String::new());
    Setup {
        seed: seed(),
        seconds: SECONDS,
        rate: 200.0,
        script,
        hurts: Vec::new(),
        plant: Plant::Nothing,
        keep: false,
        shape: false,
    }
}

/// A gateway is killed at a third of the run and comes back within half a second.
const RESTART: &str = "fault { trouble: GATEWAY_KILL at: 0.33 lasts_ms: 400 }\n";

fn rows(script: &str) -> Vec<Row> {
    let report = play(&Setup {
        script: Some(script.to_string()),
        keep: true,
        ..setup()
    });
    assert_eq!(report.breaches, Vec::<String>::new());
    let text = String::from_utf8(report.record).unwrap();
    text.lines()
        .skip(1)
        .map(|l| serde_json::from_str(l).unwrap())
        .collect()
}

/// The digest of the run that is not struck.
fn plain(base: &str) -> u64 {
    static BOTH: OnceLock<[u64; 2]> = OnceLock::new();
    let both = BOTH.get_or_init(|| {
        ["", RESTART].map(|script| {
            play(&Setup {
                script: Some(script.to_string()),
                ..setup()
            })
            .digest
        })
    });
    both[usize::from(!base.is_empty())]
}

/// Moments of the stage, and the gateway that it concerns.
fn moments(stage: Stage) -> Vec<(Time, usize)> {
    static PLAIN: OnceLock<Vec<Row>> = OnceLock::new();
    static RESTARTED: OnceLock<Vec<Row>> = OnceLock::new();
    if stage == Stage::Restarting {
        let rows = RESTARTED.get_or_init(|| rows(RESTART));
        let at = |k| {
            rows.iter()
                .find(|r| r.kind == k)
                .map(|r| (r.time, r.gateway))
                .unwrap()
        };
        let ((down, gw), (up, _)) = (at(Kind::Killed), at(Kind::Up));
        return vec![(down + 1, (gw + 1) % 3), (up + 3, gw), (up + 500, gw)];
    }
    let rows = PLAIN.get_or_init(|| rows(""));
    let of = |k: Kind| rows.iter().filter(move |r| r.kind == k);
    let all: Vec<(Time, usize)> = match stage {
        Stage::Taken => of(Kind::Asked).map(|r| (r.time + 2, r.gateway)).collect(),
        Stage::Held => {
            let launched = |evt| {
                of(Kind::Launched)
                    .find(|r| r.request_id == evt)
                    .map(|r| r.time)
            };
            let held =
                of(Kind::Asked).filter_map(|r| Some((r.time, r.gateway, launched(r.request_id)?)));
            held.filter(|(asked, _, at)| *at > asked + 200)
                .map(|(asked, gw, at)| ((asked + at) / 2, gw))
                .collect()
        }
        Stage::Ordered => of(Kind::Ordered)
            .filter(|r| r.instances > 0)
            .map(|r| (r.time + 1, r.gateway))
            .collect(),
        Stage::Launched => of(Kind::Launched)
            .map(|r| (r.time + 1, r.gateway))
            .collect(),
        Stage::Ended => of(Kind::Ended).map(|r| (r.time + 1, r.gateway)).collect(),
        Stage::Answered => of(Kind::Answered)
            .map(|r| (r.time + 1, r.gateway))
            .collect(),
        Stage::Restarting => unreachable!("it has moments of its own"),
    };
    assert!(all.len() > 8, "{stage:?} was met {} times", all.len());
    [1, 3, 5].map(|part| all[all.len() * part / 7]).to_vec()
}

fn strike(fault: Fault, at: Time, gw: usize, base: &str) -> Setup {
    let part = at as f64 / (SECONDS * 10_000.0);
    let line = |text: &str| {
        format!(
            "{base}fault {{ trouble: {} }}\n",
            text.replace(" AT", &format!(" at: {part:.6}"))
        )
    };
    let script = match fault {
        Fault::Paused => line("GATEWAY_STILL AT lasts_ms: 900"),
        Fault::ResetMidFrame => line("WORKER_RESET AT count: 6"),
        Fault::Silent => line("WORKER_SILENT AT lasts_ms: 1500 count: 3"),
        Fault::Hung => line("WORKER_HANG AT lasts_ms: 1500 count: 3"),
        Fault::Slow => line("WORKER_SLOW AT lasts_ms: 1500 factor: 8 count: 4"),
        Fault::Full => {
            line("BURST AT lasts_ms: 800 factor: 5") + &line("HEAVY AT lasts_ms: 800 factor: 4")
        }
        Fault::Cold => line("WORKER_KILL AT lasts_ms: 200 count: 4"),
        Fault::Drained => line("WORKER_DRAIN AT lasts_ms: 2500 count: 4"),
        Fault::StaleList => {
            line("ROSTER_SILENT AT lasts_ms: 2500") + &line("WORKER_KILL AT lasts_ms: 300 count: 3")
        }
        Fault::RosterGone => {
            line("ROSTER_GONE AT lasts_ms: 1500") + &line("WORKER_DRAIN AT lasts_ms: 1000 count: 2")
        }
        // Connections are to be made anew meanwhile.
        Fault::NoDescriptors => line("WORKER_RESET AT count: 6"),
        Fault::DepotStalls => line("DEPOT_STALL AT lasts_ms: 1500"),
        _ => base.to_string(),
    };
    let hurt = match fault {
        Fault::Killed => Some((Hurt::KillBack, 300)),
        Fault::Cut => Some((Hurt::Cut, 600)),
        Fault::Malformed => Some((Hurt::Junk, 0)),
        Fault::DiskFull => Some((Hurt::KillFull, 200)),
        Fault::DiskTorn => Some((Hurt::KillTorn, 200)),
        Fault::NoDescriptors => Some((Hurt::Bare, 1_500)),
        Fault::ClockAhead => Some((Hurt::KillAhead, 200)),
        Fault::ClockBack => Some((Hurt::KillBack, 200)),
        Fault::GatewayGone => Some((Hurt::KillBack, 60_000)),
        _ => None,
    };
    let hurts = hurt
        .map(|(hurt, ms)| (at, hurt, gw, ms * 10))
        .into_iter()
        .collect();
    Setup {
        script: Some(script),
        hurts,
        ..setup()
    }
}

#[test_matrix(
    [Fault::Killed, Fault::Paused, Fault::Cut, Fault::ResetMidFrame, Fault::Silent, Fault::Hung, Fault::Slow, Fault::Full,
     Fault::Cold, Fault::Drained, Fault::StaleList, Fault::RosterGone, Fault::Malformed, Fault::DiskFull, Fault::DiskTorn,
     Fault::NoDescriptors, Fault::ClockAhead, Fault::ClockBack, Fault::GatewayGone, Fault::DepotStalls],
    [Stage::Taken, Stage::Held, Stage::Ordered, Stage::Launched, Stage::Ended, Stage::Answered, Stage::Restarting]
)]
fn cell(fault: Fault, stage: Stage) {
    let base = if stage == Stage::Restarting {
        RESTART
    } else {
        ""
    };
    for (at, gw) in moments(stage) {
        let setup = strike(fault, at, gw, base);
        // A script is held against the run without it, what it cannot say against the same script alone.
        let unstruck = match setup.hurts.is_empty() {
            true => plain(base),
            false => {
                play(&Setup {
                    hurts: Vec::new(),
                    ..setup.clone()
                })
                .digest
            }
        };
        let struck = play(&setup);
        assert_eq!(
            struck.breaches,
            Vec::<String>::new(),
            "{fault:?} at {at}, gateway {gw}"
        );
        assert_ne!(
            struck.digest, unstruck,
            "{fault:?} changes nothing at {at}: the cell tests nothing"
        );
        assert!(struck.cases[0] > 300 && struck.handled > 100, "{struck:?}");
    }
}

/// A gateway dies at each tenth of a millisecond of eight, and comes back.
#[test_case(0; "first two")]
#[test_case(20; "next two")]
#[test_case(40; "then")]
#[test_case(60; "last two")]
fn killed_at_any_moment(from: Time) {
    for at in from..from + 20 {
        let hurt = [Hurt::KillBack, Hurt::KillTorn][at as usize % 2];
        let hurts = vec![(10_000 + at, hurt, at as usize % 3, 500)];
        let report = play(&Setup {
            hurts,
            rate: 600.0,
            seconds: 2.0,
            ..setup()
        });
        assert_eq!(report.breaches, Vec::<String>::new(), "at {at}");
    }
}

/// Known red (KNOWN-RED.txt): an event that was read after one standstill falls due in a second one, and by then nobody can know whether its client
/// still waits. With a quarter of uncertainty at most (`door::left`) 1 of 12,000 drawn runs met it.
#[test]
fn known_gap_what_was_read_after_one_standstill_falls_due_in_another() {
    let report = tidewall_sim::site::run(2_400, 5.0, 120.0, None, false);
    assert_eq!(report.breaches, Vec::<String>::new());
}

/// Nearly all workers start anew at once, and then events cost so many times as much.
fn cold(factor: u32) -> Setup {
    let script = format!(
        "fault {{ trouble: WORKER_KILL at: 0.4 lasts_ms: 100 count: 11 }}\n\
         fault {{ trouble: HEAVY at: 0.42 lasts_ms: 3000 factor: {factor} }}"
    );
    Setup {
        script: Some(script),
        rate: 300.0,
        ..setup()
    }
}

/// Known red (KNOWN-RED.txt): events that cost eight times as much from one moment on, while eleven of twelve workers are cold:
/// until the first of them ends no gateway can know.
#[test]
fn known_gap_cold_workers_and_events_that_turn_eight_times_as_dear() {
    assert_eq!(
        play(&Setup { seed: 3, ..cold(8) }).breaches,
        Vec::<String>::new()
    );
}

/// Second tries of all layers together, from what reached the workers: each try of a client (two repeats at most) has three
/// launches at most, whatever missed, broke or was full; a pair's new master begins anew with what it continues. Loads that
/// workers were told are rationed by the audit's rule 5.
#[test_case(false; "a site: a client's three tries of three launches")]
#[test_case(true; "a pair: two tries, each once more for a takeover")]
fn launches_stay_within_the_product_of_all_layers(pair: bool) {
    let (mut most_try, mut most_event) = (0, 0);
    for seed in 500..530 {
        let report = match pair {
            false => play(&Setup {
                seed,
                script: None,
                keep: true,
                ..setup()
            }),
            true => pair::run(pair::Setup {
                keep: true,
                ..pair::Setup::new(seed)
            }),
        };
        assert_eq!(report.breaches, Vec::<String>::new());
        let text = String::from_utf8(report.record).unwrap();
        let rows = text
            .lines()
            .skip(1)
            .map(|l| serde_json::from_str::<Row>(l).unwrap());
        let mut launched: Vec<u64> = rows
            .filter(|r| r.kind == Kind::Launched)
            .map(|r| r.request_id)
            .collect();
        launched.sort_unstable();
        let most = |same: fn(&u64, &u64) -> bool| {
            launched.chunk_by(same).map(<[_]>::len).max().unwrap_or(0)
        };
        let (per_try, per_event) = (
            most(|a, b| a == b),
            most(|a, b| a / ATTEMPTS_PER_REQUEST == b / ATTEMPTS_PER_REQUEST),
        );
        let lives = 1 + report.takeovers as usize * usize::from(pair);
        assert!(
            per_try <= 3 * lives && per_event <= 9 * lives,
            "seed {seed}: {per_try}, {per_event}"
        );
        (most_try, most_event) = (most_try.max(per_try), most_event.max(per_event));
    }
    println!("at most {most_try} launches of a try, {most_event} of an event");
    assert!(
        most_try > 1 && most_event >= most_try,
        "the runs put the bound to the test"
    );
}

/// The former life's orders still count, its events have left the window, and the new life knows neither. The free ones are kept
/// back for a window, and the ration holds from each order on, so what one life leaves unused bounds the sum over lives.
#[test]
fn a_restarted_gateway_keeps_the_ration_over_its_lives() {
    let script = "fault { trouble: BURST at: 0.02 lasts_ms: 1000 factor: 3 }\nfault { trouble: COPIES_VOID at: 0.6 }\n\
        fault { trouble: GATEWAY_KILL at: 0.62 lasts_ms: 300 }\nfault { trouble: COPIES_VOID at: 0.7 }\n\
        fault { trouble: COPIES_VOID at: 0.8 }\n";
    let once = |seed| {
        let script = Some(script.to_string());
        play(&Setup {
            script,
            ..Setup::new(seed, 15.0, 20.0)
        })
    };
    let breaches: Vec<String> = (1..8).flat_map(|seed| once(seed).breaches).collect();
    assert_eq!(breaches, Vec::<String>::new());
}

/// What is left out on purpose breaks the rule that it serves, and no other rule's check is needed to see it.
#[test_case(1, Plant::Nothing; "a kill that the record does not tell")]
#[test_case(2, Plant::Repeats; "every event counts as redeliverable")]
#[test_case(3, Plant::Deaf; "drains are not heard")]
#[test_case(4, Plant::Warm; "cold workers count as warm")]
#[test_case(5, Plant::Orders; "orders are not rationed")]
fn a_planted_fault_breaks_its_rule(rule: usize, plant: Plant) {
    let script = "fault { trouble: WORKER_DRAIN at: 0.1 lasts_ms: 2800 count: 4 }\n\
        fault { trouble: WORKER_RESET at: 0.3 count: 6 }\nfault { trouble: WORKER_KILL at: 0.5 lasts_ms: 100 count: 5 }\n\
        fault { trouble: WORKER_SILENT at: 0.6 lasts_ms: 1500 count: 3 }\n";
    let hurts = if rule == 1 {
        vec![(12_000, Hurt::KillUntold, 0, 3_000)]
    } else {
        Vec::new()
    };
    let base = Setup {
        script: Some(script.to_string()),
        rate: 400.0,
        ..setup()
    };
    let base = if rule == 4 { cold(5) } else { base };
    // Whether cold workers tip by it hangs on which events come when: each seed is clean, and some seed shows the fault.
    let mut broken = 0;
    for seed in base.seed..base.seed + if rule == 4 { 6 } else { 1 } {
        let base = Setup {
            seed,
            ..base.clone()
        };
        let kept = play(&base);
        assert_eq!(kept.breaches, Vec::<String>::new());
        assert!(
            kept.cases[rule - 1] > 0,
            "the run puts the rule to the test"
        );
        let report = play(&Setup {
            hurts: hurts.clone(),
            plant,
            ..base
        });
        let found = report
            .breaches
            .iter()
            .filter(|b| b.starts_with(&format!("rule {rule}:")))
            .count();
        println!(
            "seed {seed}: {found}, {:?}",
            &report.breaches[..report.breaches.len().min(5)]
        );
        broken += found;
    }
    assert!(broken > 0);
}

/// The stage "handed over": one of a pair hands its seat to the other, and the fault strikes so much later.
#[test_matrix(
    [Trouble::Kill { member: 0, back: Some(3_000) }, Trouble::Kill { member: 1, back: Some(3_000) },
     Trouble::KillBoth { back: 5_000 }, Trouble::Pause { member: 0, lasts: 6_000 }, Trouble::Pause { member: 1, lasts: 6_000 },
     Trouble::Cut { from: None, lasts: 8_000 }, Trouble::Cut { from: Some(0), lasts: 8_000 },
     Trouble::Cut { from: Some(1), lasts: 8_000 },
     Trouble::Slow { path: Path { delay: 300, jitter: 100, lost: 50, twice: 0, cut: false }, lasts: 8_000 },
     Trouble::Forged { member: 1 }],
    ["", "WORKER_KILL AT lasts_ms: 200 count: 3", "WORKER_DRAIN AT lasts_ms: 2000 count: 2", "WORKER_RESET AT count: 4",
     "WORKER_SILENT AT lasts_ms: 1000 count: 2", "ROSTER_SILENT AT lasts_ms: 2000", "BURST AT lasts_ms: 800 factor: 4"]
)]
fn handed_over(trouble: Trouble, fleet: &str) {
    for after in [1, 8, 40, 300] {
        let at = 15_000 + after;
        let part = at as f64 / 30_000.0;
        let script = match fleet {
            "" => String::new(),
            text => format!(
                "fault {{ trouble: {} }}\n",
                text.replace(" AT", &format!(" at: {part:.6}"))
            ),
        };
        let leave = Trouble::Leave {
            member: 0,
            back: 4_000,
        };
        let setup = pair::Setup {
            seconds: 3.0,
            troubles: Some(vec![(15_000, leave), (at, trouble)]),
            script: Some(script),
            ..pair::Setup::new(seed())
        };
        let report = pair::run(setup);
        assert_eq!(
            report.breaches,
            Vec::<String>::new(),
            "{after} after the seat was to be handed over"
        );
        assert!(report.cases[0] > 100, "{report:?}");
    }
}
