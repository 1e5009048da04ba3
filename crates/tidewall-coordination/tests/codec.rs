//! Datagrams: what is not good costs itself alone, and nothing of it counts.
use test_case::test_case;
use tidewall_coordination::codec::{
    self, head, item, items, open, read_head, seal, DatagramEvents, DatagramHeader, ReplayWindow,
    DATAGRAM,
};
use tidewall_lease::grantor::GrantorReply;
use tidewall_membership::{MemberState, MemberUpdate};
use tidewall_vrrp::packet::Keys;

/// What was called, a line each.
#[derive(Default)]
struct Said(Vec<String>);

impl DatagramEvents for Said {
    fn ping(&mut self, from: usize, seq: u32) {
        self.0.push(format!("ping {from} {seq}"));
    }
    fn ping_for(&mut self, from: usize, target: usize, seq: u32) {
        self.0.push(format!("ping for {from} {target} {seq}"));
    }
    fn ack(&mut self, from: usize, of: usize, seq: u32) {
        self.0.push(format!("ack {from} {of} {seq}"));
    }
    fn word(&mut self, member: usize, word: MemberUpdate) {
        self.0.push(format!(
            "word {member} {} {} {:?}",
            word.incarnation, word.refutation, word.state
        ));
    }
    fn prepare(&mut self, from: usize, task: usize, count: u64) {
        self.0.push(format!("prepare {from} {task} {count}"));
    }
    fn accept(&mut self, from: usize, task: usize, count: u64, tag: u32) {
        self.0.push(format!("accept {from} {task} {count} {tag}"));
    }
    fn release(&mut self, from: usize, task: usize, count: u64) {
        self.0.push(format!("release {from} {task} {count}"));
    }
    fn handed(&mut self, task: usize) {
        self.0.push(format!("handed {task}"));
    }
    fn promised(&mut self, from: usize, task: usize, count: u64, told: GrantorReply) {
        let p = told.state;
        let last = (
            p.promised,
            p.accepted.epoch,
            p.accepted.member,
            p.accepted.incarnation,
            told.remaining,
        );
        self.0.push(format!(
            "promised {from} {task} {count} {} {last:?}",
            told.granted
        ));
    }
    fn accepted(&mut self, from: usize, task: usize, count: u64, tag: u32, told: GrantorReply) {
        self.0.push(format!(
            "accepted {from} {task} {count} {tag} {} {}",
            told.granted, told.state.promised
        ));
    }
}

fn keys(key: &[u8]) -> Keys {
    Keys(vec![(3, key.to_vec())])
}

const HEAD: DatagramHeader = DatagramHeader {
    from: 2,
    to: 1,
    to_life: 77,
    word: MemberUpdate {
        incarnation: 1_764_633_600_000,
        refutation: 3,
        state: MemberState::Alive,
    },
    number: 9,
};

fn body(list: &[(u64, &[u64])]) -> Vec<u8> {
    let mut body = Vec::new();
    head(&mut body, &HEAD);
    assert!(list.iter().all(|(kind, n)| item(&mut body, *kind, n)));
    body
}

#[test_case(item::PING, &[5], "ping 2 5")]
#[test_case(item::PING_FOR, &[4, 5], "ping for 2 4 5")]
#[test_case(item::ACK, &[4, 5], "ack 2 4 5")]
#[test_case(item::WORD, &[4, 9, 1, 2], "word 4 9 1 Dead")]
#[test_case(item::PREPARE, &[4, 5], "prepare 2 4 5")]
#[test_case(item::PROMISED, &[4, 5, 6, 7, 8, 9], "promised 2 4 5 true (5, 6, 7, 8, 9)")]
#[test_case(item::NOT_PROMISED, &[4, 5, 6, 7, 8, 9, 10], "promised 2 4 5 false (6, 7, 8, 9, 10)")]
#[test_case(item::ACCEPT, &[4, 5, 6], "accept 2 4 5 6")]
#[test_case(item::ACCEPTED, &[4, 5, 6], "accepted 2 4 5 6 true 5")]
#[test_case(item::NOT_ACCEPTED, &[4, 5, 6, 7, 8, 9, 10, 11], "accepted 2 4 5 6 false 7")]
#[test_case(item::RELEASE, &[4, 5], "release 2 4 5")]
#[test_case(item::HANDED, &[4], "handed 4")]
fn each_item_is_one_call(kind: u64, numbers: &[u64], said: &str) {
    let mut bytes = body(&[(kind, numbers)]);
    seal(&mut bytes, &keys(b"key"));
    let body = open(&bytes, &keys(b"key")).unwrap();
    let (told, at) = read_head(body).unwrap();
    let mut heard = Said::default();
    items(&body[at..], told.from, &mut heard).unwrap();
    assert_eq!((told, heard.0), (HEAD, vec![said.to_string()]));
}

/// Any bit of a sealed datagram, and any cut of it.
#[test]
fn nothing_that_was_changed_is_opened() {
    let mut bytes = body(&[(item::ACCEPT, &[4, 5, 6]), (item::WORD, &[4, 9, 1, 2])]);
    seal(&mut bytes, &keys(b"key"));
    for bit in 0..bytes.len() * 8 {
        let mut bytes = bytes.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert!(open(&bytes, &keys(b"key")).is_err());
    }
    assert!((0..bytes.len()).all(|len| open(&bytes[..len], &keys(b"key")).is_err()));
    assert!(open(&bytes, &keys(b"other")).is_err());
    assert!(open(&[0; DATAGRAM + 1], &keys(b"key")).is_err());
}

/// Under a good seal: cut anywhere, or any octet changed, all of it counts or nothing.
#[test]
fn what_is_malformed_under_the_seal_does_nothing() {
    let whole = body(&[
        (item::ACCEPT, &[4, 5, 6]),
        (item::HANDED, &[7]),
        (item::WORD, &[4, 9, 1, 2]),
    ]);
    let (_, at) = read_head(&whole).unwrap();
    let judge = |bytes: &[u8]| {
        let Ok((told, at)) = read_head(bytes) else {
            return;
        };
        let mut heard = Said::default();
        let done = items(&bytes[at..], told.from, &mut heard);
        assert!(done.is_ok() || heard.0.is_empty(), "{:?}", heard.0);
    };
    for len in 0..whole.len() {
        judge(&whole[..len]);
        for octet in [0, 1, 0x17, 0x1b, 0x5f, 0x80, 0xa1, 0xff] {
            let mut bytes = whole.clone();
            bytes[len] = octet;
            judge(&bytes);
        }
    }
    assert_eq!(
        items(&whole[at..whole.len() - 1], 2, &mut Said::default()),
        Err("item: no number")
    );
}

#[test_case(&[(5, 1, true), (5, 1, false)] ; "played again")]
#[test_case(&[(5, 2, true), (5, 1, true), (5, 1, false)] ; "overtaken, then played again")]
#[test_case(&[(5, 100, true), (5, 36, false)] ; "too old to tell")]
#[test_case(&[(5, 1, true), (6, 1, true), (5, 2, false)] ; "a former life")]
fn numbers_are_heard_once(told: &[(u64, u64, bool)]) {
    let mut window = ReplayWindow::default();
    for (life, number, good) in told {
        assert_eq!(
            window.new_one(*life, *number).is_ok(),
            *good,
            "{life} {number}"
        );
    }
}

/// The longest items fit, and what does not fit leaves what is there alone.
#[test]
fn a_datagram_stays_within_its_bound() {
    let mut body = Vec::new();
    head(
        &mut body,
        &DatagramHeader {
            from: 4_095,
            to: 4_095,
            to_life: codec::LIFE,
            number: u64::MAX,
            ..HEAD
        },
    );
    let before = body.len();
    let full = [
        u64::from(u32::MAX),
        u64::MAX,
        u64::from(u32::MAX),
        u64::MAX,
        u64::MAX,
        5,
        u64::MAX,
        u64::MAX,
    ];
    assert!(item(&mut body, item::NOT_ACCEPTED, &full) && body.len() > before);
    while item(&mut body, item::ACCEPT, &[9_999, 1 << 20, 1 << 20]) {}
    let len = body.len();
    assert!(!item(&mut body, item::ACCEPT, &[9_999, 1 << 20, 1 << 20]) && body.len() == len);
    seal(&mut body, &keys(b"key"));
    assert!(body.len() <= DATAGRAM);
}
