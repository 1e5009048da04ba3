//! One message changed at a time: a run of the fleet's leases is played again for each of its messages and each mutation,
//! with everything else the same. Exhaustive on the smallest run; a fixed draw on larger ones with drawn troubles.
use crate::fleet::{keys, Report, Run, Setup, TERM};
use minicbor::{Decoder, Encoder};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tidewall_coordination::codec;
use tidewall_net::memory::Tapped;
use tidewall_net::Time;

/// What becomes of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mutation {
    LeftOut,
    Doubled,
    HeldPastTerm,
    /// It comes behind what is sent next.
    Swapped,
    AgainAtEnd,
    CutShort,
    CutUnderSeal,
    /// A bit of the datagram, by its place as a part of a hundred.
    Flipped(u8),
    FlippedUnderSeal(u8),
    /// A number of it, by its place: at its least, its greatest, another member's, a former life's.
    Least(u8),
    Greatest(u8),
    Largest(u8),
    Others(u8),
    Former(u8),
    ToAnother,
}

impl Mutation {
    pub fn name(self) -> &'static str {
        match self {
            Mutation::LeftOut => "left out",
            Mutation::Doubled => "doubled",
            Mutation::HeldPastTerm => "held past a term",
            Mutation::Swapped => "swapped with the next",
            Mutation::AgainAtEnd => "again at the end",
            Mutation::CutShort => "cut short",
            Mutation::CutUnderSeal => "cut under the seal",
            Mutation::Flipped(_) => "a bit flipped",
            Mutation::FlippedUnderSeal(_) => "a bit flipped under the seal",
            Mutation::Least(_) => "a field at its least",
            Mutation::Greatest(_) => "a field at 2^32 - 1",
            Mutation::Largest(_) => "a field at 2^64 - 1",
            Mutation::Others(_) => "a field another member's",
            Mutation::Former(_) => "a field one less (a former life's)",
            Mutation::ToAnother => "sent to another member",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    NoDifference,
    /// Acts came at other times, or in another order.
    Later,
    Refused,
    /// A task changed hands more often, or had fewer acts.
    SafeStop,
    Broken,
}

impl Outcome {
    pub const ALL: [Outcome; 5] = [
        Outcome::NoDifference,
        Outcome::Later,
        Outcome::Refused,
        Outcome::SafeStop,
        Outcome::Broken,
    ];

    pub fn name(self) -> &'static str {
        ["no difference", "later", "refused", "safe stop", "BROKEN"][self as usize]
    }
}

/// A message as a run sent it: what it is, whether a datagram, and how many numbers it has.
#[derive(Clone, Copy, Debug)]
pub struct Message {
    pub kind: &'static str,
    pub datagram: bool,
    pub numbers: usize,
}

const KINDS: [&str; 13] = [
    "-",
    "ping",
    "ping for",
    "ack",
    "word",
    "prepare",
    "promised",
    "not promised",
    "accept",
    "accepted",
    "not accepted",
    "release",
    "handed",
];

/// The numbers of a datagram's body, head and items.
fn numbers(body: &[u8]) -> Vec<u64> {
    let mut d = Decoder::new(body);
    let mut all = Vec::new();
    while d.position() < body.len() {
        let Ok(n) = d.u64() else { break };
        all.push(n);
    }
    all
}

fn encode(numbers: &[u64]) -> Vec<u8> {
    let mut out = Vec::new();
    let mut e = Encoder::new(&mut out);
    numbers.iter().for_each(|n| drop(e.u64(*n)));
    out
}

/// What of a lease's business it is, before anything that goes along: the highest kind.
fn kind(body: &[u8]) -> &'static str {
    let Ok((_, at)) = codec::decode_header(body) else {
        return KINDS[0];
    };
    let (mut d, mut highest) = (Decoder::new(&body[at..]), 0);
    while d.position() < body.len() - at {
        let Ok(kind) = d.u64() else { break };
        let len = codec::kind::FIELD_COUNTS
            .get(kind as usize)
            .copied()
            .unwrap_or(0);
        if kind as usize != codec::kind::GOSSIP as usize {
            highest = highest.max(kind as usize);
        }
        if (0..len).any(|_| d.u64().is_err()) {
            break;
        }
    }
    KINDS
        .get(highest)
        .copied()
        .filter(|_| highest > 0)
        .unwrap_or("word")
}

fn message(datagram: bool, from: usize, bytes: &[u8]) -> Message {
    if !datagram {
        let kind = if from % 3 == 2 {
            "to a worker"
        } else {
            "from a worker"
        };
        return Message {
            kind,
            datagram,
            numbers: 0,
        };
    }
    match codec::open(bytes, &keys()) {
        Ok(body) => Message {
            kind: kind(body),
            datagram,
            numbers: numbers(body).len(),
        },
        Err(_) => Message {
            kind: KINDS[0],
            datagram,
            numbers: 0,
        },
    }
}

/// All mutations of that message: each field's, too, where it has fields.
pub fn mutations(m: &Message) -> Vec<Mutation> {
    use Mutation::*;
    let mut all = vec![
        LeftOut,
        Doubled,
        HeldPastTerm,
        CutShort,
        Flipped(10),
        Flipped(50),
        Flipped(90),
    ];
    if m.datagram {
        all.extend([Swapped, AgainAtEnd, CutUnderSeal, ToAnother]);
        all.extend([5, 30, 60, 95].map(FlippedUnderSeal));
        for i in 0..m.numbers.min(60) as u8 {
            all.extend([Least(i), Greatest(i), Largest(i), Others(i), Former(i)]);
        }
    }
    all
}

fn reseal(bytes: &mut Vec<u8>, change: impl FnOnce(&mut Vec<u8>)) {
    let Ok(body) = codec::open(bytes, &keys()) else {
        return;
    };
    let mut body = body.to_vec();
    change(&mut body);
    codec::seal(&mut body, &keys());
    *bytes = body;
}

fn flip(bytes: &mut [u8], part: u8) {
    let bit = (bytes.len() * 8 - 1) * usize::from(part) / 100;
    bytes[bit / 8] ^= 1 << (bit % 8);
}

fn field(bytes: &mut Vec<u8>, place: u8, change: impl FnOnce(u64) -> u64) {
    reseal(bytes, |body| {
        let mut all = numbers(body);
        if let Some(n) = all.get_mut(usize::from(place)) {
            *n = change(*n);
        }
        *body = encode(&all);
    });
}

fn apply(
    m: Mutation,
    bytes: &mut Vec<u8>,
    (now, end): (Time, Time),
    (to, members): (usize, usize),
) -> Tapped {
    match m {
        Mutation::LeftOut => return Tapped::Lose,
        Mutation::Doubled => return Tapped::Twice(3),
        Mutation::HeldPastTerm => return Tapped::Hold(TERM + TERM / 4),
        // Longer than between two ticks of whoever sends next.
        Mutation::Swapped => return Tapped::Hold(500),
        Mutation::AgainAtEnd => return Tapped::Twice(end.saturating_sub(now).max(1)),
        Mutation::ToAnother => return Tapped::To((to / 3 + 1) % members * 3 + 1),
        Mutation::CutShort => bytes.truncate(bytes.len() / 2),
        Mutation::CutUnderSeal => reseal(bytes, |body| body.truncate(body.len() - 1)),
        Mutation::Flipped(part) => flip(bytes, part),
        Mutation::FlippedUnderSeal(part) => reseal(bytes, |body| flip(body, part)),
        Mutation::Least(i) => field(bytes, i, |_| 0),
        Mutation::Greatest(i) => field(bytes, i, |_| u64::from(u32::MAX)),
        Mutation::Largest(i) => field(bytes, i, |_| u64::MAX),
        Mutation::Others(i) => field(bytes, i, |n| (n + 1) % members as u64),
        Mutation::Former(i) => field(bytes, i, |n| n.saturating_sub(1)),
    }
    Tapped::Pass
}

/// Messages of the run as it is, and what came of it.
pub fn record(setup: &Setup) -> (Vec<Message>, Report) {
    let seen: Rc<RefCell<Vec<Message>>> = Rc::default();
    let mut run = Run::new(setup.clone());
    let list = seen.clone();
    run.tap(Box::new(move |from, _, datagram, bytes| {
        if from % 3 != 0 || !datagram {
            list.borrow_mut().push(message(datagram, from, bytes));
        }
        Tapped::Pass
    }));
    let report = run.finish();
    let messages = seen.borrow().clone();
    (messages, report)
}

/// The run with that one message changed.
pub fn play(setup: &Setup, at: usize, m: Mutation) -> Report {
    let mut run = Run::new(setup.clone());
    let (count, members, world) = (
        Rc::new(RefCell::new(0)),
        setup.members,
        Rc::downgrade(run.world()),
    );
    let end = (setup.seconds * 10_000.0) as Time;
    run.tap(Box::new(move |from, to, datagram, bytes| {
        if from % 3 == 0 && datagram {
            return Tapped::Pass;
        }
        let i = count.replace_with(|c| *c + 1);
        if i != at {
            return Tapped::Pass;
        }
        // The world is borrowed by whoever sends: its time is that of the last look, near enough for the end.
        let now = world
            .upgrade()
            .and_then(|w| w.try_borrow().ok().map(|w| w.now()))
            .unwrap_or(0);
        apply(m, bytes, (now, end), (to, members))
    }));
    run.finish()
}

pub fn outcome(base: &Report, r: &Report) -> Outcome {
    if !r.breaches.is_empty() {
        Outcome::Broken
    } else if r.changes > base.changes || r.acts + 3 < base.acts {
        Outcome::SafeStop
    } else if r.refused > base.refused {
        Outcome::Refused
    } else if r.record != base.record {
        Outcome::Later
    } else {
        Outcome::NoDifference
    }
}

/// How many runs ended how, by kind of message and mutation; and those that broke a rule.
#[derive(Default)]
pub struct Table {
    pub runs: usize,
    pub messages: usize,
    pub counts: BTreeMap<(&'static str, &'static str), [usize; 5]>,
    pub broken: Vec<(u64, usize, Mutation, String)>,
}

impl Table {
    fn add(
        &mut self,
        seed: u64,
        at: usize,
        message: &Message,
        m: Mutation,
        base: &Report,
        r: &Report,
    ) {
        let came = outcome(base, r);
        self.runs += 1;
        self.counts.entry((message.kind, m.name())).or_default()[came as usize] += 1;
        if came == Outcome::Broken {
            self.broken.push((seed, at, m, r.breaches[0].clone()));
        }
    }

    pub fn merge(&mut self, other: Table) {
        self.runs += other.runs;
        self.messages += other.messages;
        for (key, counts) in other.counts {
            let all = self.counts.entry(key).or_default();
            (0..5).for_each(|i| all[i] += counts[i]);
        }
        self.broken.extend(other.broken);
    }
}

/// Every message of the smallest run that `part` of `parts` falls to, with every mutation.
pub fn exhaustive(setup: &Setup, part: usize, parts: usize) -> Table {
    let setup = Setup {
        keep: true,
        ..setup.clone()
    };
    let (messages, base) = record(&setup);
    let mut table = Table {
        messages: if part == 0 { messages.len() } else { 0 },
        ..Table::default()
    };
    for (at, message) in messages.iter().enumerate().filter(|m| m.0 % parts == part) {
        for m in mutations(message) {
            table.add(setup.seed, at, message, m, &base, &play(&setup, at, m));
        }
    }
    table
}

/// So many drawn messages and mutations of a run with drawn troubles.
pub fn drawn(setup: &Setup, count: usize) -> Table {
    let setup = Setup {
        keep: true,
        rate: 0.0,
        ..setup.clone()
    };
    let (messages, base) = record(&setup);
    let mut table = Table {
        messages: messages.len(),
        ..Table::default()
    };
    if messages.is_empty() || !base.breaches.is_empty() {
        table.broken.extend(
            base.breaches
                .first()
                .map(|b| (setup.seed, 0, Mutation::LeftOut, b.clone())),
        );
        return table;
    }
    let mut chance = ChaCha8Rng::seed_from_u64(setup.seed ^ 0x3a7e);
    for _ in 0..count {
        let at = chance.random_range(0..messages.len());
        let all = mutations(&messages[at]);
        let m = all[chance.random_range(0..all.len())];
        table.add(
            setup.seed,
            at,
            &messages[at],
            m,
            &base,
            &play(&setup, at, m),
        );
    }
    table
}
