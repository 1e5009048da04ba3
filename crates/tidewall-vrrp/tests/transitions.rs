//! Each transition of RFC 9568, 6.4, and two routers on a lossy link of which one is Active after the loss
//! ends.
use std::net::Ipv4Addr;
use test_case::test_case;
use tidewall_vrrp::{
    Advertisement, Parameters, Router, State, Time, VrrpActions, OWNER_PRIORITY, SHUTDOWN_PRIORITY,
};

#[derive(Clone, Debug, PartialEq)]
enum Call {
    Advertise(u8),
    SetTimer(Time),
    CancelTimer,
    BecomeActive(bool),
    BecomeBackup,
}

#[derive(Default)]
struct Calls(Vec<Call>);

impl VrrpActions for Calls {
    fn advertise(&mut self, _: u8, priority: u8, _: u16) {
        self.0.push(Call::Advertise(priority));
    }
    fn set_timer(&mut self, _: u8, delay: Time) {
        self.0.push(Call::SetTimer(delay));
    }
    fn cancel_timer(&mut self, _: u8) {
        self.0.push(Call::CancelTimer);
    }
    fn become_active(&mut self, _: u8, accept: bool) {
        self.0.push(Call::BecomeActive(accept));
    }
    fn become_backup(&mut self, _: u8) {
        self.0.push(Call::BecomeBackup);
    }
}

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, last)
}

fn router(priority: u8, preempt: bool, state: State) -> Router {
    let parameters = Parameters {
        vrid: 7,
        priority,
        interval: 100,
        preempt,
        accept: false,
        address: ip(5),
    };
    let mut machine = Router::new(parameters).expect("parameters within their ranges");
    if state != State::Initialize {
        machine.startup(&mut Calls::default());
    }
    if state == State::Active && machine.state() != State::Active {
        machine.timer_fired(&mut Calls::default());
    }
    assert_eq!(machine.state(), state);
    machine
}

fn advertisement(priority: u8, interval: u16, from: u8) -> Advertisement {
    Advertisement {
        vrid: 7,
        priority,
        interval,
        from: ip(from),
    }
}

/// An advertisement interval of one second, and Skew_Time of priority 100, which is 156/256 of it. The unit
/// is tenths of a millisecond.
const SECOND: Time = 10_000;
const SKEW: Time = 6_093;
const DOWN: Time = 3 * SECOND + SKEW;

#[test_case(OWNER_PRIORITY, State::Active, &[Call::Advertise(255), Call::BecomeActive(true), Call::SetTimer(SECOND)] ; "6.4.1 startup of the owner")]
#[test_case(100, State::Backup, &[Call::SetTimer(DOWN)] ; "6.4.1 startup of a router that is not the owner")]
fn startup_enters_active_only_as_the_owner(priority: u8, state: State, calls: &[Call]) {
    let (mut machine, mut actions) = (router(priority, true, State::Initialize), Calls::default());
    machine.startup(&mut actions);
    assert_eq!((machine.state(), &actions.0[..]), (state, calls));
}

#[test_case(State::Initialize, &[] ; "before startup")]
#[test_case(State::Backup, &[Call::CancelTimer] ; "6.4.2 of a backup")]
#[test_case(State::Active, &[Call::CancelTimer, Call::Advertise(SHUTDOWN_PRIORITY), Call::BecomeBackup] ; "6.4.3 of the active router")]
fn shutdown_enters_initialize(state: State, calls: &[Call]) {
    let (mut machine, mut actions) = (router(100, true, state), Calls::default());
    machine.shutdown(&mut actions);
    assert_eq!(
        (machine.state(), &actions.0[..]),
        (State::Initialize, calls)
    );
}

#[test_case(State::Initialize, State::Initialize, &[] ; "before startup")]
#[test_case(State::Backup, State::Active, &[Call::Advertise(100), Call::BecomeActive(false), Call::SetTimer(SECOND)] ; "6.4.2 active down timer")]
#[test_case(State::Active, State::Active, &[Call::Advertise(100), Call::SetTimer(SECOND)] ; "6.4.3 advertisement timer")]
fn a_timer_makes_a_backup_active_and_an_active_router_advertise(
    before: State,
    after: State,
    calls: &[Call],
) {
    let (mut machine, mut actions) = (router(100, true, before), Calls::default());
    machine.timer_fired(&mut actions);
    assert_eq!((machine.state(), &actions.0[..]), (after, calls));
}

#[test_case(true, advertisement(SHUTDOWN_PRIORITY, 100, 9), &[Call::SetTimer(SKEW)] ; "6.4.2 the active router shuts down")]
#[test_case(true, advertisement(100, 100, 1), &[Call::SetTimer(DOWN)] ; "6.4.2 equal priority")]
#[test_case(true, advertisement(200, 100, 1), &[Call::SetTimer(DOWN)] ; "6.4.2 higher priority")]
#[test_case(true, advertisement(99, 100, 9), &[] ; "6.4.2 lower priority is preempted")]
#[test_case(false, advertisement(99, 100, 9), &[Call::SetTimer(DOWN)] ; "6.4.2 lower priority without preemption")]
#[test_case(true, advertisement(200, 10, 1), &[Call::SetTimer(DOWN / 10)] ; "6.4.2 the interval is learned")]
fn a_backup_receives_an_advertisement(preempt: bool, received: Advertisement, calls: &[Call]) {
    let (mut machine, mut actions) = (router(100, preempt, State::Backup), Calls::default());
    machine.advertisement_received(&mut actions, received);
    assert_eq!((machine.state(), &actions.0[..]), (State::Backup, calls));
}

#[test_case(advertisement(SHUTDOWN_PRIORITY, 100, 9), State::Active, &[Call::Advertise(100), Call::SetTimer(SECOND)] ; "6.4.3 another router shuts down")]
#[test_case(advertisement(99, 100, 9), State::Active, &[Call::Advertise(100), Call::SetTimer(SECOND)] ; "6.4.3 lower priority is answered at once")]
#[test_case(advertisement(100, 100, 4), State::Active, &[Call::Advertise(100), Call::SetTimer(SECOND)] ; "6.4.3 a tie won by address")]
#[test_case(advertisement(100, 100, 6), State::Backup, &[Call::BecomeBackup, Call::SetTimer(DOWN)] ; "6.4.3 a tie lost by address")]
#[test_case(advertisement(101, 10, 4), State::Backup, &[Call::BecomeBackup, Call::SetTimer(DOWN / 10)] ; "6.4.3 higher priority")]
fn an_active_router_receives_an_advertisement(
    received: Advertisement,
    state: State,
    calls: &[Call],
) {
    let (mut machine, mut actions) = (router(100, true, State::Active), Calls::default());
    machine.advertisement_received(&mut actions, received);
    assert_eq!((machine.state(), &actions.0[..]), (state, calls));
}

#[test_case(0, 100, 100, "vrid" ; "no virtual router")]
#[test_case(1, 0, 100, "priority" ; "no priority")]
#[test_case(1, 100, 0, "interval" ; "no interval")]
#[test_case(1, 100, 4096, "interval" ; "an interval beyond twelve bits")]
fn parameters_out_of_range_are_named(vrid: u8, priority: u8, interval: u16, parameter: &str) {
    let parameters = Parameters {
        vrid,
        priority,
        interval,
        preempt: true,
        accept: false,
        address: ip(1),
    };
    let error = Router::new(parameters).err().map(|error| error.to_string());
    assert!(
        error
            .as_ref()
            .is_some_and(|text| text.starts_with(parameter)),
        "{error:?}"
    );
}

/// One router's endpoint of a lossy link.
struct Link {
    sent: Vec<Advertisement>,
    timer: Option<Time>,
    now: Time,
    from: Ipv4Addr,
    active: bool,
}

impl Link {
    fn new(from: u8) -> Link {
        Link {
            sent: Vec::new(),
            timer: None,
            now: 0,
            from: ip(from),
            active: false,
        }
    }
}

impl VrrpActions for Link {
    fn advertise(&mut self, vrid: u8, priority: u8, interval: u16) {
        self.sent.push(Advertisement {
            vrid,
            priority,
            interval,
            from: self.from,
        });
    }
    fn set_timer(&mut self, _: u8, delay: Time) {
        self.timer = Some(self.now + delay);
    }
    fn cancel_timer(&mut self, _: u8) {
        self.timer = None;
    }
    fn become_active(&mut self, _: u8, _: bool) {
        self.active = true;
    }
    fn become_backup(&mut self, _: u8) {
        self.active = false;
    }
}

/// Two routers on a lossy link: after the loss ends, only the one of higher priority is Active.
#[test_case(1 ; "seed 1")]
#[test_case(2 ; "seed 2")]
#[test_case(3 ; "seed 3")]
fn after_loss_there_is_one_active_router(seed: u64) {
    let mut both = [
        (router(100, true, State::Initialize), Link::new(1)),
        (router(150, true, State::Initialize), Link::new(2)),
    ];
    both.iter_mut()
        .for_each(|(router, link)| router.startup(link));
    let mut random = seed;
    for now in 0..1_000_000 {
        for i in 0..2 {
            let (router, link) = &mut both[i];
            link.now = now;
            if link.timer == Some(now) {
                router.timer_fired(link);
            }
            for sent in std::mem::take(&mut both[i].1.sent) {
                random = random
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(1);
                // For the first minute half of all advertisements are lost.
                if now > 600_000 || random >> 63 == 0 {
                    let (router, link) = &mut both[1 - i];
                    link.now = now;
                    router.advertisement_received(link, sent);
                }
            }
        }
    }
    assert_eq!([both[0].1.active, both[1].1.active], [false, true]);
}
