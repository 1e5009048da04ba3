//! Each transition of RFC 9568's section 6.4, and two routers that find one Active whatever is lost.
use std::net::Ipv4Addr;
use test_case::test_case;
use tidewall_vrrp::packet::{read, write, Keys, ReplayGuard};
use tidewall_vrrp::{Advertisement, Parameters, Router, State, Time, VrrpActions, OWNER, STOPS};

#[derive(Clone, Debug, PartialEq)]
enum Call {
    Advertise(u8),
    Wake(Time),
    Sleep,
    Take(bool),
    Release,
}

#[derive(Default)]
struct Calls(Vec<Call>);

impl VrrpActions for Calls {
    fn advertise(&mut self, _: u8, priority: u8, _: u16) {
        self.0.push(Call::Advertise(priority));
    }
    fn set_timer(&mut self, _: u8, wait: Time) {
        self.0.push(Call::Wake(wait));
    }
    fn cancel_timer(&mut self, _: u8) {
        self.0.push(Call::Sleep);
    }
    fn become_active(&mut self, _: u8, accept: bool) {
        self.0.push(Call::Take(accept));
    }
    fn become_backup(&mut self, _: u8) {
        self.0.push(Call::Release);
    }
}

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, last)
}

fn router(priority: u8, preempt: bool, state: State) -> Router {
    let p = Parameters {
        vrid: 7,
        priority,
        interval: 100,
        preempt,
        accept: false,
        address: ip(5),
    };
    let mut r = Router::new(p).unwrap();
    if state != State::Initialize {
        r.startup(&mut Calls::default());
    }
    if state == State::Active && r.state() != State::Active {
        r.timer_fired(&mut Calls::default());
    }
    assert_eq!(r.state(), state);
    r
}

fn told(priority: u8, interval: u16, from: u8) -> Advertisement {
    Advertisement {
        priority,
        interval,
        from: ip(from),
    }
}

/// A second's interval, and the skew of priority 100: 156/256 of it, in tenths of a millisecond.
const SECOND: Time = 10_000;
const SKEW: Time = 6_093;
const DOWN: Time = 3 * SECOND + SKEW;

#[test_case(OWNER, State::Active, &[Call::Advertise(255), Call::Take(true), Call::Wake(SECOND)] ; "6.4.1 startup of the owner")]
#[test_case(100, State::Backup, &[Call::Wake(DOWN)] ; "6.4.1 startup of another")]
fn startup(priority: u8, state: State, calls: &[Call]) {
    let (mut r, mut act) = (router(priority, true, State::Initialize), Calls::default());
    r.startup(&mut act);
    assert_eq!((r.state(), &act.0[..]), (state, calls));
}

#[test_case(State::Initialize, &[] ; "before a start")]
#[test_case(State::Backup, &[Call::Sleep] ; "6.4.2 of a backup")]
#[test_case(State::Active, &[Call::Sleep, Call::Advertise(STOPS), Call::Release] ; "6.4.3 of the active one")]
fn shutdown(state: State, calls: &[Call]) {
    let (mut r, mut act) = (router(100, true, state), Calls::default());
    r.shutdown(&mut act);
    assert_eq!((r.state(), &act.0[..]), (State::Initialize, calls));
}

#[test_case(State::Initialize, State::Initialize, &[] ; "before a start")]
#[test_case(State::Backup, State::Active, &[Call::Advertise(100), Call::Take(false), Call::Wake(SECOND)] ; "6.4.2 active down timer")]
#[test_case(State::Active, State::Active, &[Call::Advertise(100), Call::Wake(SECOND)] ; "6.4.3 advertisement timer")]
fn timers(before: State, after: State, calls: &[Call]) {
    let (mut r, mut act) = (router(100, true, before), Calls::default());
    r.timer_fired(&mut act);
    assert_eq!((r.state(), &act.0[..]), (after, calls));
}

#[test_case(true, told(STOPS, 100, 9), &[Call::Wake(SKEW)] ; "6.4.2 the active one stops")]
#[test_case(true, told(100, 100, 1), &[Call::Wake(DOWN)] ; "6.4.2 equal priority")]
#[test_case(true, told(200, 100, 1), &[Call::Wake(DOWN)] ; "6.4.2 higher priority")]
#[test_case(true, told(99, 100, 9), &[] ; "6.4.2 lower priority is preempted")]
#[test_case(false, told(99, 100, 9), &[Call::Wake(DOWN)] ; "6.4.2 lower priority without preemption")]
#[test_case(true, told(200, 10, 1), &[Call::Wake(DOWN / 10)] ; "6.4.2 the interval is learned")]
fn a_backup_hears(preempt: bool, a: Advertisement, calls: &[Call]) {
    let (mut r, mut act) = (router(100, preempt, State::Backup), Calls::default());
    r.advertisement_received(&mut act, a);
    assert_eq!((r.state(), &act.0[..]), (State::Backup, calls));
}

#[test_case(told(STOPS, 100, 9), State::Active, &[Call::Advertise(100), Call::Wake(SECOND)] ; "6.4.3 another stops")]
#[test_case(told(99, 100, 9), State::Active, &[Call::Advertise(100), Call::Wake(SECOND)] ; "6.4.3 lower priority is answered at once")]
#[test_case(told(100, 100, 4), State::Active, &[Call::Advertise(100), Call::Wake(SECOND)] ; "6.4.3 a tie won by address")]
#[test_case(told(100, 100, 6), State::Backup, &[Call::Release, Call::Wake(DOWN)] ; "6.4.3 a tie lost by address")]
#[test_case(told(101, 10, 4), State::Backup, &[Call::Release, Call::Wake(DOWN / 10)] ; "6.4.3 higher priority")]
fn an_active_one_hears(a: Advertisement, state: State, calls: &[Call]) {
    let (mut r, mut act) = (router(100, true, State::Active), Calls::default());
    r.advertisement_received(&mut act, a);
    assert_eq!((r.state(), &act.0[..]), (state, calls));
}

#[test_case(0, 100, 100, "vrid" ; "no virtual router")]
#[test_case(1, 0, 100, "priority" ; "no priority")]
#[test_case(1, 100, 0, "interval" ; "no interval")]
#[test_case(1, 100, 4096, "interval" ; "an interval beyond twelve bits")]
fn parameters_out_of_range_are_named(vrid: u8, priority: u8, interval: u16, names: &str) {
    let p = Parameters {
        vrid,
        priority,
        interval,
        preempt: true,
        accept: false,
        address: ip(1),
    };
    assert!(Router::new(p).err().unwrap().starts_with(names));
}

fn keys(id: u8) -> Keys {
    Keys(vec![(id, vec![id; 16])])
}

fn packet(number: u64) -> Vec<u8> {
    let mut out = Vec::new();
    write(&mut out, (7, 100, 100), &[ip(100)], number, &keys(1));
    out
}

#[test]
fn what_is_written_is_read() {
    let mut guard = ReplayGuard::default();
    let got = read(&packet(1), ip(5), &[ip(100)], &keys(1), &mut guard);
    assert_eq!(got, Ok((7, told(100, 100, 5))));
}

#[test_case(0, 0x21, "version" ; "7.1 version")]
#[test_case(0, 0x32, "type" ; "7.1 type")]
#[test_case(3, 2, "count" ; "7.1 count of addresses")]
#[test_case(2, 254, "checksum" ; "7.1 checksum")]
#[test_case(12, 254, "hops" ; "7.1 hop limit")]
#[test_case(20, 9, "hash" ; "a changed number")]
#[test_case(21, 2, "key" ; "an unknown key")]
#[test_case(40, 0, "hash" ; "a changed hash")]
fn a_changed_packet_fails_its_check(at: usize, byte: u8, names: &str) {
    let mut bytes = packet(1);
    bytes[at] = byte;
    let got = read(
        &bytes,
        ip(5),
        &[ip(100)],
        &keys(1),
        &mut ReplayGuard::default(),
    );
    assert!(got.unwrap_err().starts_with(names), "{got:?}");
}

#[test]
fn a_packet_heard_before_and_one_of_another_key_are_refused() {
    let mut guard = ReplayGuard::default();
    let mut hear = |bytes: &[u8], k: &Keys| read(bytes, ip(5), &[ip(100)], k, &mut guard);
    assert!(hear(&packet(5), &keys(1)).is_ok());
    assert_eq!(hear(&packet(5), &keys(1)), Err("number: heard before"));
    assert_eq!(hear(&packet(4), &keys(1)), Err("number: heard before"));
    assert_eq!(hear(&packet(6), &keys(2)), Err("key: unknown"));
    // Both are taken while they change.
    let both = Keys([keys(2).0, keys(1).0].concat());
    assert!(hear(&packet(7), &both).is_ok());
    for cut in 0..packet(9).len() {
        assert!(hear(&packet(9)[..cut], &keys(1)).is_err());
    }
}

/// Two routers on a lossy link, driven by a plain event list: after the loss ends one is Active, and it is the
/// one of higher priority.
#[test_case(1 ; "seed 1")]
#[test_case(2 ; "seed 2")]
#[test_case(3 ; "seed 3")]
fn after_loss_there_is_one_active_router(seed: u64) {
    struct Link {
        out: Vec<Advertisement>,
        wake: Option<Time>,
        now: Time,
        from: Ipv4Addr,
        active: bool,
    }
    impl VrrpActions for Link {
        fn advertise(&mut self, _: u8, priority: u8, interval: u16) {
            self.out.push(Advertisement {
                priority,
                interval,
                from: self.from,
            });
        }
        fn set_timer(&mut self, _: u8, wait: Time) {
            self.wake = Some(self.now + wait);
        }
        fn cancel_timer(&mut self, _: u8) {
            self.wake = None;
        }
        fn become_active(&mut self, _: u8, _: bool) {
            self.active = true;
        }
        fn become_backup(&mut self, _: u8) {
            self.active = false;
        }
    }
    let link = |from| Link {
        out: Vec::new(),
        wake: None,
        now: 0,
        from: ip(from),
        active: false,
    };
    let mut both = [
        (router(100, true, State::Initialize), link(1)),
        (router(150, true, State::Initialize), link(2)),
    ];
    both.iter_mut().for_each(|(r, l)| r.startup(l));
    let mut chance = seed;
    for now in 0..1_000_000 {
        for i in 0..2 {
            let (r, l) = &mut both[i];
            l.now = now;
            if l.wake == Some(now) {
                r.timer_fired(l);
            }
            for a in std::mem::take(&mut both[i].1.out) {
                chance = chance
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(1);
                // Half of all is lost for the first minute.
                if now > 600_000 || chance >> 63 == 0 {
                    let (r, l) = &mut both[1 - i];
                    l.now = now;
                    r.advertisement_received(l, a);
                }
            }
        }
    }
    assert_eq!([both[0].1.active, both[1].1.active], [false, true]);
}

#[test]
fn a_packet_cut_at_any_byte_is_refused() {
    let whole = packet(1);
    for at in 0..whole.len() {
        let got = read(
            &whole[..at],
            ip(5),
            &[ip(100)],
            &keys(1),
            &mut ReplayGuard::default(),
        );
        assert!(got.is_err(), "cut at {at}");
    }
}
