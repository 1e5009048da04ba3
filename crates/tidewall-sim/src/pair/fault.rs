//! The faults of a run, and how they are drawn from its seed.
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tidewall_net::memory::Path;
use tidewall_net::Time;

/// A fault of the members or of their network. Times are in tenths of a millisecond.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A member's process is killed, and restarts after `back` or never.
    Kill { member: usize, back: Option<Time> },
    /// Both processes are killed at once, and restart after `back`.
    KillBoth { back: Time },
    /// A member's process stalls for `lasts`.
    Pause { member: usize, lasts: Time },
    /// A partition between the members: of what `from` sends only, or in both directions.
    Cut { from: Option<usize>, lasts: Time },
    /// The paths between the members get latency, jitter, loss and duplication.
    Slow { path: Path, lasts: Time },
    /// The paths between the members and all other nodes get latency and jitter.
    Outside { path: Path, lasts: Time },
    /// A member drains as after SIGTERM; `back` after its end it restarts.
    Leave { member: usize, back: Time },
    /// The link between the members flaps: `times` partitions of length `every`, and as long between two of
    /// them.
    Flap { times: u32, every: Time },
    /// A member receives forged and replayed advertisements that claim mastership.
    Forged { member: usize },
}

/// A kind of fault, to draw only faults of that kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum FaultKind {
    Kill,
    KillBoth,
    Pause,
    Cut,
    Slow,
    Outside,
    Leave,
    Flap,
    Forged,
}

/// The kinds to draw from; each entry has a probability of one twelfth.
const WEIGHTED_KINDS: [FaultKind; 12] = [
    FaultKind::Kill,
    FaultKind::Kill,
    FaultKind::Kill,
    FaultKind::KillBoth,
    FaultKind::Pause,
    FaultKind::Pause,
    FaultKind::Cut,
    FaultKind::Slow,
    FaultKind::Outside,
    FaultKind::Leave,
    FaultKind::Flap,
    FaultKind::Forged,
];

/// The earliest time of a fault (1.2 s): by then the members have chosen their roles.
const EARLIEST_FAULT: Time = 12_000;

/// Restart delay (0.5 s) of a member that was to stay dead although the other one already does.
const SECOND_KILL_RESTART: Time = 5_000;

/// How long each phase of a flapping link lasts, cut or whole (250 ms).
const FLAP_PHASE: Time = 2_500;

/// Draws one to five faults between [`EARLIEST_FAULT`] and three quarters of the run; a single one if `only`
/// is set.
pub(super) fn draw_faults(
    rng: &mut ChaCha8Rng,
    span: Time,
    only: Option<FaultKind>,
) -> Vec<(Time, Fault)> {
    let count = match only {
        Some(_) => 1,
        None => rng.random_range(1..=5),
    };
    let mut faults: Vec<(Time, Fault)> = (0..count)
        .map(|_| {
            let at = rng.random_range(EARLIEST_FAULT..span * 3 / 4);
            (at, draw_fault(rng, only))
        })
        .collect();
    faults.sort_by_key(|fault| fault.0);
    keep_one_member_restarting(&mut faults);
    faults
}

/// Draws one fault. The draws are made in a fixed order: runs with a seed depend on it.
fn draw_fault(rng: &mut ChaCha8Rng, only: Option<FaultKind>) -> Fault {
    let member = rng.random_range(0..2);
    let lasts = rng.random_range(500..15_000);
    let drawn = WEIGHTED_KINDS[rng.random_range(0..WEIGHTED_KINDS.len())];
    match only.unwrap_or(drawn) {
        FaultKind::Kill => Fault::Kill {
            member,
            back: rng.random_ratio(3, 4).then_some(lasts),
        },
        FaultKind::KillBoth => Fault::KillBoth { back: lasts },
        FaultKind::Pause => Fault::Pause { member, lasts },
        FaultKind::Cut => Fault::Cut {
            from: rng.random_ratio(1, 2).then_some(member),
            lasts,
        },
        FaultKind::Slow => Fault::Slow {
            path: Path {
                delay: rng.random_range(2..600),
                jitter: rng.random_range(0..600),
                lost: rng.random_range(0..400),
                twice: rng.random_range(0..200),
                cut: false,
            },
            lasts,
        },
        FaultKind::Outside => Fault::Outside {
            path: Path {
                delay: rng.random_range(2..100),
                jitter: rng.random_range(0..100),
                // A lost segment of a stream arrives 200 ms later, which is after clients have given up,
                // whichever member serves them.
                lost: 0,
                twice: 0,
                cut: false,
            },
            lasts,
        },
        FaultKind::Leave => Fault::Leave {
            member,
            back: lasts,
        },
        FaultKind::Flap => Fault::Flap {
            times: rng.random_range(2..6),
            every: FLAP_PHASE,
        },
        FaultKind::Forged => Fault::Forged { member },
    }
}

/// Makes sure that at most one member stays dead: a pair without members serves nobody.
fn keep_one_member_restarting(faults: &mut [(Time, Fault)]) {
    let mut one_is_dead = false;
    for (_, fault) in faults {
        if let Fault::Kill { back, .. } = fault {
            if back.is_none() && std::mem::replace(&mut one_is_dead, true) {
                *back = Some(SECOND_KILL_RESTART);
            }
        }
    }
}

/// Draws up to two worker faults, as a script.
pub(super) fn draw_fleet_script(rng: &mut ChaCha8Rng) -> String {
    let mut text = String::new();
    for _ in 0..rng.random_range(0..=2) {
        let at: f64 = rng.random_range(0.2..0.7);
        let lasts = rng.random_range(200..1_500);
        let kind = match rng.random_range(0..5) {
            0 => format!("WORKER_KILL lasts_ms: {lasts}"),
            1 => format!("WORKER_SILENT lasts_ms: {lasts}"),
            2 => format!("WORKER_HANG lasts_ms: {lasts}"),
            3 => "WORKER_RESET".to_string(),
            _ => format!("WORKER_SLOW lasts_ms: {lasts} factor: 4"),
        };
        text += &format!("fault {{ trouble: {kind} at: {at:.3} }}\n");
    }
    text
}
