//! Mutation of single messages: repeats a lease run once for each of its messages and each mutation, with
//! everything else the same. Exhaustive on the smallest run; a random sample, fixed by the seed, on larger
//! runs with drawn faults.
use crate::fleet::{keys, Report, Run, Setup, LEASE_DURATION};
use minicbor::{Decoder, Encoder};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tidewall_coordination::codec;
use tidewall_net::memory::Tapped;
use tidewall_net::Time;

/// A change to one message. The variants' numbers are a field's index in the message's body, or a position in
/// percent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mutation {
    LeftOut,
    Doubled,
    HeldPastTerm,
    /// The message is delayed until after the next one.
    Swapped,
    AgainAtEnd,
    CutShort,
    CutUnderSeal,
    /// The bit at this position, in percent of the message's length, is flipped.
    Flipped(u8),
    FlippedUnderSeal(u8),
    /// The field at this index is set to 0, or to 2^32 - 1 (`Greatest`), 2^64 - 1 (`Largest`), another
    /// member's number (`Others`), or one less, as of an earlier incarnation (`Former`).
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
    /// The record differs: effects came at other times, or in another order.
    Later,
    Refused,
    /// Leases changed their holder more often, or had fewer effects, but no rule was broken.
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

/// A message that a run sent: its kind, whether it is a datagram, and the number of integer fields in its
/// body.
#[derive(Clone, Copy, Debug)]
pub struct Message {
    pub kind: &'static str,
    pub datagram: bool,
    pub numbers: usize,
}

const MESSAGE_KINDS: [&str; 13] = [
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

/// The integers of a datagram's body, of its header and of its items.
fn decode_numbers(body: &[u8]) -> Vec<u64> {
    let mut decoder = Decoder::new(body);
    let mut numbers = Vec::new();
    while decoder.position() < body.len() {
        let Ok(n) = decoder.u64() else { break };
        numbers.push(n);
    }
    numbers
}

fn encode_numbers(numbers: &[u64]) -> Vec<u8> {
    let mut out = Vec::new();
    let mut encoder = Encoder::new(&mut out);
    numbers.iter().for_each(|n| drop(encoder.u64(*n)));
    out
}

/// The kind of a message: the highest kind of its items, as gossip and others may accompany it.
fn message_kind(body: &[u8]) -> &'static str {
    let Ok((_, header_len)) = codec::decode_header(body) else {
        return MESSAGE_KINDS[0];
    };
    let (mut decoder, mut highest) = (Decoder::new(&body[header_len..]), 0);
    while decoder.position() < body.len() - header_len {
        let Ok(kind) = decoder.u64() else { break };
        let field_count = codec::kind::FIELD_COUNTS
            .get(kind as usize)
            .copied()
            .unwrap_or(0);
        if kind as usize != codec::kind::GOSSIP as usize {
            highest = highest.max(kind as usize);
        }
        if (0..field_count).any(|_| decoder.u64().is_err()) {
            break;
        }
    }
    MESSAGE_KINDS
        .get(highest)
        .copied()
        .filter(|_| highest > 0)
        .unwrap_or("word")
}

fn classify_message(datagram: bool, from: usize, bytes: &[u8]) -> Message {
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
            kind: message_kind(body),
            datagram,
            numbers: decode_numbers(body).len(),
        },
        Err(_) => Message {
            kind: MESSAGE_KINDS[0],
            datagram,
            numbers: 0,
        },
    }
}

/// All mutations that apply to a message; those of its first 60 fields too if it is a datagram.
pub fn mutations(message: &Message) -> Vec<Mutation> {
    use Mutation::*;
    let mut mutations = vec![
        LeftOut,
        Doubled,
        HeldPastTerm,
        CutShort,
        Flipped(10),
        Flipped(50),
        Flipped(90),
    ];
    if message.datagram {
        mutations.extend([Swapped, AgainAtEnd, CutUnderSeal, ToAnother]);
        mutations.extend([5, 30, 60, 95].map(FlippedUnderSeal));
        for i in 0..message.numbers.min(60) as u8 {
            mutations.extend([Least(i), Greatest(i), Largest(i), Others(i), Former(i)]);
        }
    }
    mutations
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

fn flip_bit(bytes: &mut [u8], percent: u8) {
    let bit = (bytes.len() * 8 - 1) * usize::from(percent) / 100;
    bytes[bit / 8] ^= 1 << (bit % 8);
}

fn change_field(bytes: &mut Vec<u8>, index: u8, change: impl FnOnce(u64) -> u64) {
    reseal(bytes, |body| {
        let mut numbers = decode_numbers(body);
        if let Some(n) = numbers.get_mut(usize::from(index)) {
            *n = change(*n);
        }
        *body = encode_numbers(&numbers);
    });
}

fn apply(
    mutation: Mutation,
    bytes: &mut Vec<u8>,
    (now, end): (Time, Time),
    (to, members): (usize, usize),
) -> Tapped {
    match mutation {
        Mutation::LeftOut => return Tapped::Lose,
        Mutation::Doubled => return Tapped::Twice(3),
        Mutation::HeldPastTerm => return Tapped::Hold(LEASE_DURATION + LEASE_DURATION / 4),
        // 50 ms are longer than the time between two ticks of the member that sends next.
        Mutation::Swapped => return Tapped::Hold(500),
        Mutation::AgainAtEnd => return Tapped::Twice(end.saturating_sub(now).max(1)),
        Mutation::ToAnother => return Tapped::To((to / 3 + 1) % members * 3 + 1),
        Mutation::CutShort => bytes.truncate(bytes.len() / 2),
        Mutation::CutUnderSeal => reseal(bytes, |body| body.truncate(body.len() - 1)),
        Mutation::Flipped(percent) => flip_bit(bytes, percent),
        Mutation::FlippedUnderSeal(percent) => reseal(bytes, |body| flip_bit(body, percent)),
        Mutation::Least(i) => change_field(bytes, i, |_| 0),
        Mutation::Greatest(i) => change_field(bytes, i, |_| u64::from(u32::MAX)),
        Mutation::Largest(i) => change_field(bytes, i, |_| u64::MAX),
        Mutation::Others(i) => change_field(bytes, i, |n| (n + 1) % members as u64),
        Mutation::Former(i) => change_field(bytes, i, |n| n.saturating_sub(1)),
    }
    Tapped::Pass
}

/// Simulates the run unchanged; returns its messages, without those that the event loops send over streams,
/// and its report.
pub fn record(setup: &Setup) -> (Vec<Message>, Report) {
    let messages_seen: Rc<RefCell<Vec<Message>>> = Rc::default();
    let mut run = Run::new(setup.clone());
    let log = messages_seen.clone();
    run.tap(Box::new(move |from, _, datagram, bytes| {
        if from % 3 != 0 || !datagram {
            log.borrow_mut()
                .push(classify_message(datagram, from, bytes));
        }
        Tapped::Pass
    }));
    let report = run.finish();
    let messages = messages_seen.borrow().clone();
    (messages, report)
}

/// Simulates the run with one message changed: the one at this index in the result of [`record`].
pub fn play(setup: &Setup, index: usize, mutation: Mutation) -> Report {
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
        if i != index {
            return Tapped::Pass;
        }
        // While the sender has the world borrowed its time cannot be read. 0 does as well: `AgainAtEnd` then
        // sends the copy again at `now + end`, after the end of the faults.
        let now = world
            .upgrade()
            .and_then(|w| w.try_borrow().ok().map(|w| w.now()))
            .unwrap_or(0);
        apply(mutation, bytes, (now, end), (to, members))
    }));
    run.finish()
}

/// Compares the report of a run with one message changed with that of the unchanged run.
pub fn outcome(base: &Report, mutated: &Report) -> Outcome {
    if !mutated.breaches.is_empty() {
        Outcome::Broken
    } else if mutated.changes > base.changes || mutated.acts + 3 < base.acts {
        Outcome::SafeStop
    } else if mutated.refused > base.refused {
        Outcome::Refused
    } else if mutated.record != base.record {
        Outcome::Later
    } else {
        Outcome::NoDifference
    }
}

/// Number of runs by kind of message, mutation and outcome; and the seed, message index, mutation and first
/// violation of those that broke a rule.
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
        index: usize,
        message: &Message,
        mutation: Mutation,
        base: &Report,
        mutated: &Report,
    ) {
        let outcome = outcome(base, mutated);
        self.runs += 1;
        self.counts
            .entry((message.kind, mutation.name()))
            .or_default()[outcome as usize] += 1;
        if outcome == Outcome::Broken {
            self.broken
                .push((seed, index, mutation, mutated.breaches[0].clone()));
        }
    }

    pub fn merge(&mut self, other: Table) {
        self.runs += other.runs;
        self.messages += other.messages;
        for (key, counts) in other.counts {
            let sums = self.counts.entry(key).or_default();
            (0..5).for_each(|i| sums[i] += counts[i]);
        }
        self.broken.extend(other.broken);
    }
}

/// Applies every mutation to every message of the run whose index modulo `parts` is `part`.
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
    for (index, message) in messages.iter().enumerate().filter(|m| m.0 % parts == part) {
        for mutation in mutations(message) {
            table.add(
                setup.seed,
                index,
                message,
                mutation,
                &base,
                &play(&setup, index, mutation),
            );
        }
    }
    table
}

/// Applies `count` randomly drawn mutations to randomly drawn messages of a run with drawn faults.
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
    let mut rng = ChaCha8Rng::seed_from_u64(setup.seed ^ 0x3a7e);
    for _ in 0..count {
        let index = rng.random_range(0..messages.len());
        let all = mutations(&messages[index]);
        let mutation = all[rng.random_range(0..all.len())];
        table.add(
            setup.seed,
            index,
            &messages[index],
            mutation,
            &base,
            &play(&setup, index, mutation),
        );
    }
    table
}
