//! The troubles of a run, and how they are drawn from its seed.
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tidewall_net::memory::Path;
use tidewall_net::Time;

/// One trouble.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// The process dies; it starts again after a while, or never.
    Kill { member: usize, back: Option<Time> },
    /// Both at once.
    KillBoth { back: Time },
    /// The process stands still.
    Pause { member: usize, lasts: Time },
    /// Nothing gets from the one member to the other, or both ways.
    Cut { from: Option<usize>, lasts: Time },
    /// What goes between the members takes long, unevenly, and some of it is lost or comes twice.
    Slow { path: Path, lasts: Time },
    /// What goes between the members and all others is slow and lossy.
    Outside { path: Path, lasts: Time },
    /// Told to go (SIGTERM); it starts again after a while.
    Leave { member: usize, back: Time },
    /// The link between the members comes and goes, so many times.
    Flap { times: u32, every: Time },
    /// Advertisements that claim mastership, forged and replayed.
    Forged { member: usize },
}

/// A kind of trouble, to draw that kind alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum TroubleKind {
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

/// How often each kind is drawn, out of twelve.
const WEIGHTED_KINDS: [TroubleKind; 12] = [
    TroubleKind::Kill,
    TroubleKind::Kill,
    TroubleKind::Kill,
    TroubleKind::KillBoth,
    TroubleKind::Pause,
    TroubleKind::Pause,
    TroubleKind::Cut,
    TroubleKind::Slow,
    TroubleKind::Outside,
    TroubleKind::Leave,
    TroubleKind::Flap,
    TroubleKind::Forged,
];

/// The earliest time of a trouble (1.2 s): the pair has settled.
const EARLIEST_TROUBLE: Time = 12_000;

/// A member that would be gone for good after the other one comes back after this (0.5 s).
const SECOND_KILL_BACK: Time = 5_000;

/// How long a link that flaps is cut, and then whole (250 ms each).
const FLAP_EVERY: Time = 2_500;

/// One to five troubles between the start-up and the last third.
pub(super) fn draw_troubles(
    chance: &mut ChaCha8Rng,
    span: Time,
    only: Option<TroubleKind>,
) -> Vec<(Time, Trouble)> {
    let count = match only {
        Some(_) => 1,
        None => chance.random_range(1..=5),
    };
    let mut troubles: Vec<(Time, Trouble)> = (0..count)
        .map(|_| {
            let at = chance.random_range(EARLIEST_TROUBLE..span * 3 / 4);
            (at, draw_trouble(chance, only))
        })
        .collect();
    troubles.sort_by_key(|trouble| trouble.0);
    let_one_member_return(&mut troubles);
    troubles
}

/// One trouble. The draws are made in a fixed order: runs with a seed depend on it.
fn draw_trouble(chance: &mut ChaCha8Rng, only: Option<TroubleKind>) -> Trouble {
    let member = chance.random_range(0..2);
    let lasts = chance.random_range(500..15_000);
    let drawn = WEIGHTED_KINDS[chance.random_range(0..WEIGHTED_KINDS.len())];
    match only.unwrap_or(drawn) {
        TroubleKind::Kill => Trouble::Kill {
            member,
            back: chance.random_ratio(3, 4).then_some(lasts),
        },
        TroubleKind::KillBoth => Trouble::KillBoth { back: lasts },
        TroubleKind::Pause => Trouble::Pause { member, lasts },
        TroubleKind::Cut => Trouble::Cut {
            from: chance.random_ratio(1, 2).then_some(member),
            lasts,
        },
        TroubleKind::Slow => Trouble::Slow {
            path: Path {
                delay: chance.random_range(2..600),
                jitter: chance.random_range(0..600),
                lost: chance.random_range(0..400),
                twice: chance.random_range(0..200),
                cut: false,
            },
            lasts,
        },
        TroubleKind::Outside => Trouble::Outside {
            path: Path {
                delay: chance.random_range(2..100),
                jitter: chance.random_range(0..100),
                // What is lost on a stream comes a fifth of a second later: after clients gave up, whoever sends it.
                lost: 0,
                twice: 0,
                cut: false,
            },
            lasts,
        },
        TroubleKind::Leave => Trouble::Leave {
            member,
            back: lasts,
        },
        TroubleKind::Flap => Trouble::Flap {
            times: chance.random_range(2..6),
            every: FLAP_EVERY,
        },
        TroubleKind::Forged => Trouble::Forged { member },
    }
}

/// A pair whose both members are gone for good serves nobody: one always comes back.
fn let_one_member_return(troubles: &mut [(Time, Trouble)]) {
    let mut gone = false;
    for (_, trouble) in troubles {
        if let Trouble::Kill { back, .. } = trouble {
            if back.is_none() && std::mem::replace(&mut gone, true) {
                *back = Some(SECOND_KILL_BACK);
            }
        }
    }
}

/// Up to two troubles of workers.
pub(super) fn draw_fleet_script(chance: &mut ChaCha8Rng) -> String {
    let mut text = String::new();
    for _ in 0..chance.random_range(0..=2) {
        let at: f64 = chance.random_range(0.2..0.7);
        let lasts = chance.random_range(200..1_500);
        let kind = match chance.random_range(0..5) {
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
