//! Datagrams between members, as `docs/wire.md` specifies them: a head, items (small numbers in CBOR, RFC 8949, one after
//! the other), a key's number, and a keyed hash (HMAC-SHA-256, cut to 16 octets) over all before it; 256 octets at most.
//! An item goes straight into a call. A datagram that is not good in whole does nothing.
use hmac::{Hmac, Mac};
use minicbor::{Decoder, Encoder};
use sha2::Sha256;
use tidewall_lease::acceptor::AcceptorState;
use tidewall_lease::ballot::BALLOT_COUNT_LIMIT;
use tidewall_lease::grantor::{Grant, GrantorReply};
use tidewall_membership::{MemberState, MemberUpdate};
use tidewall_vrrp::packet::Keys;

pub const DATAGRAM: usize = 256;
const VERSION: u64 = 1;
const HASH: usize = 16;
const TAIL: usize = 1 + HASH;

/// Of a life's number so much is told back to its owner: what was meant for a former life is refused.
pub const LIFE: u64 = (1 << 28) - 1;

pub mod item {
    pub const PING: u64 = 1;
    pub const PING_FOR: u64 = 2;
    pub const ACK: u64 = 3;
    pub const WORD: u64 = 4;
    pub const PREPARE: u64 = 5;
    pub const PROMISED: u64 = 6;
    pub const NOT_PROMISED: u64 = 7;
    pub const ACCEPT: u64 = 8;
    pub const ACCEPTED: u64 = 9;
    pub const NOT_ACCEPTED: u64 = 10;
    pub const RELEASE: u64 = 11;
    pub const HANDED: u64 = 12;
    /// How many numbers follow the kind.
    pub const LENGTHS: [usize; 13] = [0, 1, 2, 2, 4, 2, 6, 7, 3, 3, 8, 2, 1];
}

/// What a datagram says of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatagramHeader {
    pub from: usize,
    pub to: usize,
    /// The receiver's life as the sender knows it; 0 where it knows none.
    pub to_life: u64,
    pub word: MemberUpdate,
    pub number: u64,
}

pub trait DatagramEvents {
    fn ping(&mut self, from: usize, seq: u32);
    fn ping_for(&mut self, from: usize, target: usize, seq: u32);
    fn ack(&mut self, from: usize, of: usize, seq: u32);
    fn word(&mut self, member: usize, word: MemberUpdate);
    /// A member asks as a holder. Ballots are told by their count: the rest of them is the sender's, or the receiver's.
    fn prepare(&mut self, from: usize, task: usize, count: u64);
    fn accept(&mut self, from: usize, task: usize, count: u64, tag: u32);
    fn release(&mut self, from: usize, task: usize, count: u64);
    fn handed(&mut self, task: usize);
    /// A keeper answers.
    fn promised(&mut self, from: usize, task: usize, count: u64, told: GrantorReply);
    fn accepted(&mut self, from: usize, task: usize, count: u64, tag: u32, told: GrantorReply);
}

/// Writes an item; true where it fits behind what is there.
pub fn item(body: &mut Vec<u8>, kind: u64, numbers: &[u64]) -> bool {
    debug_assert_eq!(item::LENGTHS[kind as usize], numbers.len());
    let start = body.len();
    let mut e = Encoder::new(&mut *body);
    // Writing to a Vec cannot fail.
    let _ = e.u64(kind);
    numbers.iter().for_each(|n| drop(e.u64(*n)));
    let fits = body.len() + TAIL <= DATAGRAM;
    if !fits {
        body.truncate(start);
    }
    fits
}

pub fn head(body: &mut Vec<u8>, h: &DatagramHeader) {
    body.clear();
    let mut e = Encoder::new(&mut *body);
    let left = u64::from(h.word.state == MemberState::Left);
    let numbers = [
        VERSION,
        h.from as u64,
        h.to as u64,
        h.to_life,
        h.word.incarnation,
        u64::from(h.word.refutation),
        left,
    ];
    numbers
        .into_iter()
        .chain([h.number])
        .for_each(|n| drop(e.u64(n)));
}

fn sign(key: &[u8], bytes: &[u8]) -> Hmac<Sha256> {
    // A key of any length is good for HMAC.
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any length is good");
    mac.update(bytes);
    mac
}

/// Signs with the first key.
pub fn seal(body: &mut Vec<u8>, keys: &Keys) {
    let (id, key) = keys.0.first().map_or((0, &[][..]), |k| (k.0, &k.1));
    body.push(id);
    let hash = sign(key, body).finalize().into_bytes();
    body.extend_from_slice(&hash[..HASH]);
}

/// The bytes under the seal.
pub fn open<'a>(bytes: &'a [u8], keys: &Keys) -> Result<&'a [u8], &'static str> {
    if bytes.len() > DATAGRAM {
        return Err("length: over 256");
    }
    if bytes.len() < TAIL {
        return Err("length: cut short");
    }
    let (signed, hash) = bytes.split_at(bytes.len() - HASH);
    let (body, id) = signed.split_at(signed.len() - 1);
    let key = keys.0.iter().find(|k| k.0 == id[0]).ok_or("key: unknown")?;
    // Compared in constant time.
    sign(&key.1, signed)
        .verify_truncated_left(hash)
        .map_err(|_| "hash: wrong")?;
    Ok(body)
}

/// The head, and where the items begin.
pub fn read_head(body: &[u8]) -> Result<(DatagramHeader, usize), &'static str> {
    let mut d = Decoder::new(body);
    let mut n = [0; 8];
    for (i, n) in n.iter_mut().enumerate() {
        *n = d.u64().map_err(|_| "head: no number")?;
        if i == 0 && *n != VERSION {
            return Err("version: not 1");
        }
    }
    let [_, from, to, to_life, life, turn, left, number] = n;
    let small = |n: u64| u32::try_from(n).map_err(|_| "head: a number is out of range");
    let standing = match left {
        0 => MemberState::Alive,
        1 => MemberState::Left,
        _ => return Err("head: a number is out of range"),
    };
    let word = MemberUpdate {
        incarnation: life,
        refutation: small(turn)?,
        state: standing,
    };
    let (from, to) = (small(from)? as usize, small(to)? as usize);
    Ok((
        DatagramHeader {
            from,
            to,
            to_life,
            word,
            number,
        },
        d.position(),
    ))
}

/// Whether all items are good.
pub fn whole(body: &[u8]) -> Result<(), &'static str> {
    each(body, |_, _| Ok(()))
}

/// Reads all items, or none where one is not good.
pub fn items(
    body: &[u8],
    from: usize,
    heard: &mut impl DatagramEvents,
) -> Result<(), &'static str> {
    whole(body)?;
    calls(body, from, heard)
}

/// The items of a body of which `whole` was asked.
pub fn calls(
    body: &[u8],
    from: usize,
    heard: &mut impl DatagramEvents,
) -> Result<(), &'static str> {
    each(body, |kind, n| call(kind, n, from, heard))
}

fn each(
    body: &[u8],
    mut item: impl FnMut(u64, &[u64]) -> Result<(), &'static str>,
) -> Result<(), &'static str> {
    let mut d = Decoder::new(body);
    while d.position() < body.len() {
        let kind = d.u64().map_err(|_| "item: no kind")?;
        let len = *item::LENGTHS
            .get(kind as usize)
            .filter(|l| **l > 0)
            .ok_or("item: unknown kind")?;
        let mut n = [0; 8];
        for n in &mut n[..len] {
            *n = d.u64().map_err(|_| "item: no number")?;
        }
        check(kind, &n)?;
        item(kind, &n[..len])?;
    }
    Ok(())
}

/// Numbers that become small ones fit.
fn check(kind: u64, n: &[u64; 8]) -> Result<(), &'static str> {
    let small = |i: usize| u32::try_from(n[i]).is_ok();
    if (item::PREPARE..=item::RELEASE).contains(&kind) && n[1] >= BALLOT_COUNT_LIMIT {
        return Err("item: a number is out of range");
    }
    let good = match kind {
        item::PING | item::HANDED => small(0),
        item::PING_FOR | item::ACK => small(0) && small(1),
        item::WORD => small(0) && small(2) && (n[3] as usize) < MemberState::ALL.len(),
        item::ACCEPT | item::ACCEPTED => small(0) && small(2),
        item::NOT_ACCEPTED => small(0) && small(2) && small(5),
        item::PROMISED => small(0) && small(3),
        item::NOT_PROMISED => small(0) && small(4),
        _ => small(0),
    };
    if good {
        Ok(())
    } else {
        Err("item: a number is out of range")
    }
}

fn answer(good: bool, promised: u64, n: &[u64]) -> GrantorReply {
    let accepted = Grant {
        epoch: n[0],
        member: n[1] as usize,
        incarnation: n[2],
    };
    GrantorReply {
        granted: good,
        state: AcceptorState { promised, accepted },
        remaining: n[3],
    }
}

fn call(
    kind: u64,
    n: &[u64],
    from: usize,
    heard: &mut impl DatagramEvents,
) -> Result<(), &'static str> {
    let first = n[0] as usize;
    match kind {
        item::PING => heard.ping(from, n[0] as u32),
        item::PING_FOR => heard.ping_for(from, first, n[1] as u32),
        item::ACK => heard.ack(from, first, n[1] as u32),
        item::WORD => {
            let word = MemberUpdate {
                incarnation: n[1],
                refutation: n[2] as u32,
                state: MemberState::ALL[n[3] as usize],
            };
            heard.word(first, word);
        }
        item::PREPARE => heard.prepare(from, first, n[1]),
        item::PROMISED => heard.promised(from, first, n[1], answer(true, n[1], &n[2..])),
        item::NOT_PROMISED => heard.promised(from, first, n[1], answer(false, n[2], &n[3..])),
        item::ACCEPT => heard.accept(from, first, n[1], n[2] as u32),
        item::ACCEPTED => {
            let told = answer(true, n[1], &[n[1], 0, 0, 0]);
            heard.accepted(from, first, n[1], n[2] as u32, told);
        }
        item::NOT_ACCEPTED => {
            heard.accepted(from, first, n[1], n[2] as u32, answer(false, n[3], &n[4..]));
        }
        item::RELEASE => heard.release(from, first, n[1]),
        _ => heard.handed(first),
    }
    Ok(())
}

/// Numbers of one sender's life: the highest heard, and which of the 64 below it were.
#[derive(Clone, Copy, Default)]
pub struct ReplayWindow {
    life: u64,
    last: u64,
    heard: u64,
}

impl ReplayWindow {
    /// Whether this one is new. Datagrams may overtake each other by up to 64.
    pub fn new_one(&mut self, life: u64, number: u64) -> Result<(), &'static str> {
        if life < self.life {
            return Err("life: a former one");
        }
        if life > self.life {
            *self = ReplayWindow {
                life,
                last: number,
                heard: 1,
            };
            return Ok(());
        }
        if number > self.last {
            let by = number - self.last;
            self.heard = if by < 64 { self.heard << by | 1 } else { 1 };
            self.last = number;
            return Ok(());
        }
        let back = self.last - number;
        if back >= 64 || self.heard >> back & 1 == 1 {
            return Err("number: heard before");
        }
        self.heard |= 1 << back;
        Ok(())
    }
}
