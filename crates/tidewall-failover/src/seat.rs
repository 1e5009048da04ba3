//! Who serves. VRRP says who wants to; the majority of voters says who may; the link between the members says what the
//! other one holds. A member that is superseded ends its process and starts anew, knowing nothing.
use crate::claim::{Ask, Claim, Outcome, Purpose, Wish};
use crate::damp::Damp;
use crate::promise::{Claim as Asked, Promise};
use crate::Time;

/// How a member acts.
pub trait Act: Ask<Asked> {
    /// Takes part in VRRP or not; where it stops as the active one it says so (priority 0).
    fn vrrp(&mut self, on: bool);
    /// Serves from now on. `adopt`: what the other member had in hand is ours. `forgot`: what others had in hand before is
    /// known to nobody.
    fn open(&mut self, claim: Asked, adopt: bool, forgot: bool);
    /// The claim under which it serves is another now; `adopt` as above.
    fn renewed(&mut self, claim: Asked, adopt: bool);
    /// Takes no new events; what it holds goes on.
    fn retire(&mut self);
    /// Nothing waits for the other member (`false`), or launches and answers do.
    fn waits(&mut self, on: bool);
    /// All that there is to know goes to the other member; `new`: it knows all up to now, only what is new is told.
    fn copy(&mut self, new: bool);
    /// Asks the other member to retire, or says that we have.
    fn ask_yield(&mut self);
    fn yielded(&mut self);
    /// The process ends and starts anew.
    fn again(&mut self, why: &'static str);
    /// Nothing is held any more and we were told to go.
    fn gone(&mut self);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Standby,
    /// The other member was asked to retire.
    Asking,
    Claiming,
    /// Serving, and nobody else knows: nothing waits for the other.
    Solo,
    /// Serving; the other holds a copy, and what is new waits for it.
    Joining,
    Paired,
    /// Serving; the other one is lost and the voters do not know it yet: launches and answers wait.
    Parting,
    /// The other one serves; what was taken before goes on.
    Retiring,
    Over,
}

impl State {
    pub const ALL: [State; 9] = [
        State::Standby,
        State::Asking,
        State::Claiming,
        State::Solo,
        State::Joining,
        State::Paired,
        State::Parting,
        State::Retiring,
        State::Over,
    ];

    pub fn text(self) -> &'static str {
        match self {
            State::Standby => "standby",
            State::Asking => "asking",
            State::Claiming => "claiming",
            State::Solo => "solo",
            State::Joining => "joining",
            State::Paired => "paired",
            State::Parting => "parting",
            State::Retiring => "retiring",
            State::Over => "over",
        }
    }

    pub fn serves(self) -> bool {
        matches!(
            self,
            State::Solo | State::Joining | State::Paired | State::Parting
        )
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    up: bool,
    life: u64,
    serves: bool,
    /// It has told that the voters count us as one that knows all.
    counts_us: bool,
}

pub struct Seat {
    state: State,
    /// When this state began.
    since: Time,
    interval: Time,
    claim: Claim,
    /// Under which we serve.
    pub granted: Asked,
    peer: Peer,
    vrrp: bool,
    active: bool,
    damp: Damp,
    held_off: Time,
    /// A link that was too slow is not relied on again before that.
    slow: Damp,
    slow_off: Time,
    /// A copy is owed to the other member.
    owed: bool,
    again: Time,
    /// Whether the seat that is being claimed was handed over.
    handed: bool,
    /// The other member retired in our favour, and has events in hand that we do not continue.
    heir: bool,
    leaving: bool,
    left_at: Time,
    /// Settings disagree and we are the one to keep off.
    barred: bool,
}

/// A claim that got no majority is tried again after this many intervals.
const AGAIN: Time = 1;

/// A member that asked the other to retire waits so many intervals.
const YIELD: Time = 10;

/// A master that lost the other one and finds no majority either gives up after so many intervals: by then the other one may
/// serve (three intervals and the skew), and clients should find it.
const PARTING: Time = 10;

/// Just started, it waits so many intervals for the link before it goes without.
const LINK: Time = 5;

impl Seat {
    /// `interval` is VRRP's advertisement interval.
    pub fn new(me: usize, life: u64, voters: usize, interval: Time, now: Time) -> Seat {
        Seat {
            state: State::Standby,
            since: now,
            interval,
            claim: Claim::new(me, life, voters),
            granted: Asked::default(),
            peer: Peer::default(),
            vrrp: false,
            active: false,
            // From half a second, RFC 9568's usual advertisement interval being one, to half a minute.
            damp: Damp::new(5 * interval, 300 * interval),
            held_off: now,
            slow: Damp::new(10 * interval, 300 * interval),
            slow_off: 0,
            owed: false,
            again: 0,
            handed: false,
            heir: false,
            leaving: false,
            left_at: 0,
            barred: false,
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Whether we hold events that another will not continue for us.
    pub fn epoch(&self) -> u64 {
        self.granted.epoch
    }

    pub fn counts(&self, peer_life: u64) -> bool {
        self.state == State::Paired && self.granted.sync.contains(&peer_life)
    }

    fn go(&mut self, now: Time, state: State) {
        (self.state, self.since) = (state, now);
    }

    fn over(&mut self, now: Time, act: &mut impl Act, why: &'static str) {
        self.claim.stop();
        self.go(now, State::Over);
        act.again(why);
    }

    fn wish(&self, purpose: Purpose) -> Wish {
        let with =
            (self.peer.up && purpose == Purpose::GoOn || self.handed).then_some(self.peer.life);
        // Alone, the other's launches end; with it they stay good.
        Wish {
            purpose,
            with,
            fences: with.is_none(),
        }
    }

    fn take_over(&mut self, now: Time, act: &mut impl Act) {
        if self.state != State::Retiring {
            self.go(now, State::Claiming);
        }
        let wish = self.wish(Purpose::TakeOver);
        self.claim.begin(act, wish);
    }

    /// Not now: VRRP hears that we stop, and we come back later.
    fn bounce(&mut self, now: Time, act: &mut impl Act) {
        self.claim.stop();
        (self.handed, self.active, self.vrrp) = (false, false, false);
        act.vrrp(false);
        self.held_off = self.damp.again(now);
        if self.state != State::Retiring {
            self.go(now, State::Standby);
        }
    }

    /// Whether it may stand for the seat: where the other one serves, it must count us as one that knows all.
    fn fit(&self, now: Time) -> bool {
        let link = match self.peer.up {
            true => !self.peer.serves || self.peer.counts_us,
            false => now >= self.since + LINK * self.interval,
        };
        link && now >= self.held_off && !self.leaving && !self.barred
    }

    /// Nobody serves, though we are the ones that clients reach: an asker that thought better of it, or is gone.
    fn alone(&self, now: Time) -> bool {
        !self.peer.up || !self.peer.serves && now > self.since + YIELD * self.interval
    }

    /// At least twice in an interval.
    pub fn tick(&mut self, now: Time, act: &mut impl Act) {
        match self.state {
            State::Standby if !self.vrrp && self.fit(now) => {
                self.vrrp = true;
                act.vrrp(true);
            }
            State::Standby
                if self.vrrp && self.peer.up && self.peer.serves && !self.peer.counts_us =>
            {
                // It would have to ask a member that does not count it.
                (self.vrrp, self.active) = (false, false);
                act.vrrp(false);
            }
            State::Solo if self.owed && self.peer.up && now >= self.slow_off => {
                self.owed = false;
                act.copy(false);
            }
            State::Asking if now > self.since + YIELD * self.interval => self.bounce(now, act),
            State::Parting if now > self.since + PARTING * self.interval => self.over(
                now,
                act,
                "neither the other member nor a majority of voters can be reached",
            ),
            State::Parting if !self.claim.busy() && now >= self.again => {
                let wish = Wish {
                    with: None,
                    fences: true,
                    ..self.wish(Purpose::GoOn)
                };
                self.claim.begin(act, wish);
            }
            State::Retiring
                if self.active && self.alone(now) && !self.claim.busy() && now >= self.again =>
            {
                self.take_over(now, act)
            }
            State::Standby if self.active && self.alone(now) && !self.leaving => {
                self.take_over(now, act)
            }
            _ => {}
        }
    }

    /// VRRP: the addresses are ours.
    pub fn active(&mut self, now: Time, act: &mut impl Act) {
        self.active = true;
        match self.state {
            State::Standby if self.peer.up && self.peer.serves => {
                self.go(now, State::Asking);
                act.ask_yield();
            }
            State::Standby => self.take_over(now, act),
            _ => {}
        }
    }

    /// VRRP: they are not. Whoever serves goes on until it is asked to retire.
    pub fn inactive(&mut self, now: Time) {
        self.active = false;
        // Whoever was handed the seat claims it, or nobody would serve.
        if matches!(self.state, State::Asking | State::Claiming) && !self.handed {
            self.claim.stop();
            self.go(now, State::Standby);
        }
    }

    /// The link stands, and the other one has told its life and whether it serves.
    pub fn peer_up(&mut self, now: Time, act: &mut impl Act, life: u64, serves: bool, epoch: u64) {
        self.claim.over(life.saturating_sub(1));
        self.peer = Peer {
            up: true,
            life,
            serves,
            counts_us: false,
        };
        if serves && self.state.serves() && epoch > self.granted.epoch {
            return self.over(now, act, "the other member serves under a newer epoch");
        }
        if serves && self.state == State::Retiring {
            return self.over(now, act, "the other member went on without us");
        }
        if self.state == State::Solo {
            self.owe(now, act);
        }
    }

    fn owe(&mut self, now: Time, act: &mut impl Act) {
        self.owed = now < self.slow_off;
        if !self.owed {
            act.copy(false);
        }
    }

    /// The link is about to be broken, as what waits for the other member waits too long.
    pub fn slow(&mut self, now: Time) {
        self.slow_off = self.slow.again(now);
    }

    /// What the other one tells again and again.
    pub fn peer_told(
        &mut self,
        now: Time,
        act: &mut impl Act,
        serves: bool,
        counts_us: bool,
        epoch: u64,
    ) {
        (self.peer.serves, self.peer.counts_us) = (serves, counts_us);
        // What there is to know was told us by one that serves.
        if counts_us {
            self.claim.knows();
        }
        if serves && self.state.serves() && epoch > self.granted.epoch {
            self.over(now, act, "the other member serves under a newer epoch");
        }
    }

    pub fn peer_down(&mut self, now: Time, act: &mut impl Act) {
        self.peer.up = false;
        match self.state {
            State::Paired | State::Joining => {
                self.go(now, State::Parting);
                let wish = Wish {
                    with: None,
                    fences: true,
                    ..self.wish(Purpose::GoOn)
                };
                self.claim.begin(act, wish);
            }
            State::Asking => self.take_over(now, act),
            // It said that it retired; whether it is gone by now the voters' answers show.
            State::Claiming if self.handed => {
                self.handed = false;
                self.take_over(now, act);
            }
            _ => {}
        }
    }

    /// The other member asks us to retire.
    pub fn yield_asked(&mut self, now: Time, act: &mut impl Act) {
        if self.state == State::Paired {
            self.claim.stop();
            self.go(now, State::Retiring);
            act.retire();
            act.yielded();
        }
    }

    /// The other member has retired; all that it took is in its copy here.
    pub fn peer_yielded(&mut self, now: Time, act: &mut impl Act) {
        // Even where we do not want it any more: nobody else does.
        if matches!(self.state, State::Asking | State::Standby) {
            self.handed = true;
            self.take_over(now, act);
        }
    }

    /// The other member has all that was told up to now.
    pub fn copied(&mut self, now: Time, act: &mut impl Act) {
        if self.state == State::Solo && self.peer.up {
            self.go(now, State::Joining);
            act.waits(true);
        }
    }

    /// All that was on its way when waiting began has come there too.
    pub fn joined(&mut self, act: &mut impl Act) {
        if self.state == State::Joining && !self.claim.busy() {
            let wish = self.wish(Purpose::GoOn);
            self.claim.begin(act, wish);
        }
    }

    /// Nothing is in hand.
    pub fn empty(&mut self, now: Time, act: &mut impl Act) {
        if self.state == State::Retiring && !self.claim.busy() {
            self.go(now, State::Standby);
        }
        if self.leaving && self.state == State::Standby {
            act.gone();
        }
    }

    /// Told to go: the other one takes over where it can. False where nobody can: it ends as one gateway would.
    pub fn leave(&mut self, now: Time, act: &mut impl Act) -> bool {
        (self.leaving, self.left_at) = (true, now);
        (self.vrrp, self.active) = (false, false);
        act.vrrp(false);
        match self.state {
            State::Paired => true,
            State::Retiring => true,
            State::Standby | State::Asking | State::Claiming => {
                self.claim.stop();
                self.go(now, State::Standby);
                true
            }
            _ => false,
        }
    }

    /// Told to go, and nobody takes over: it ends as one gateway would.
    pub fn ends_alone(&self, now: Time) -> bool {
        let asked_for = now <= self.left_at + YIELD * self.interval;
        self.leaving && (self.state == State::Solo || self.state == State::Paired && !asked_for)
    }

    /// Settings disagree with the other member's, and we are the one to keep off.
    pub fn bar(&mut self, on: bool) {
        self.barred = on;
    }

    /// A worker refused what we sent under our epoch: whether we still serve, the voters know.
    pub fn fenced(&mut self, act: &mut impl Act) {
        if self.state.serves() && !self.claim.busy() {
            let with = self
                .granted
                .sync
                .iter()
                .copied()
                .find(|l| *l == self.peer.life && *l > 0);
            let wish = Wish {
                purpose: Purpose::GoOn,
                with,
                fences: with.is_none(),
            };
            self.claim.begin(act, wish);
        }
    }

    pub fn told(
        &mut self,
        now: Time,
        act: &mut impl Act,
        voter: usize,
        of: (u64, bool),
        good: bool,
        promise: Promise,
    ) {
        if let Some(outcome) = self.claim.told(act, voter, of, good, promise) {
            self.ended(now, act, outcome);
        }
    }

    pub fn unheard(&mut self, now: Time, act: &mut impl Act, voter: usize, of: (u64, bool)) {
        if let Some(outcome) = self.claim.unheard(act, voter, of) {
            self.ended(now, act, outcome);
        }
    }

    fn ended(&mut self, now: Time, act: &mut impl Act, outcome: Outcome) {
        match (self.state, outcome) {
            (State::Claiming | State::Retiring, Outcome::Granted(claim)) => {
                self.seated(now, act, claim)
            }
            (State::Claiming, _) => self.bounce(now, act),
            (State::Retiring, Outcome::NoMajority) => self.again = now + AGAIN * self.interval,
            (State::Retiring, _) => self.over(now, act, "the other member serves without us"),
            (s, Outcome::Granted(claim)) if s.serves() => self.renewed(now, act, claim),
            (s, Outcome::NoMajority) if s.serves() => {
                self.again = now + AGAIN * self.interval;
                if s == State::Joining {
                    // It is asked again by the next thing that is recorded.
                    act.waits(true);
                }
            }
            (s, _) if s.serves() => {
                self.over(now, act, "the voters say that the other member serves")
            }
            _ => {}
        }
    }

    fn seated(&mut self, now: Time, act: &mut impl Act, claim: Asked) {
        self.granted = claim;
        let handed = std::mem::take(&mut self.handed);
        (self.heir, self.peer.serves) = (handed, false);
        if handed {
            self.go(now, State::Paired);
            act.waits(true);
            act.open(claim, false, false);
            act.copy(true);
        } else {
            self.go(now, State::Solo);
            act.waits(false);
            let forgot = self.claim.forgot();
            self.claim.knows();
            act.open(claim, true, forgot);
            if self.peer.up {
                self.owe(now, act);
            }
        }
    }

    fn renewed(&mut self, now: Time, act: &mut impl Act, claim: Asked) {
        self.granted = claim;
        match self.state {
            State::Parting => {
                self.go(now, State::Solo);
                let adopt = std::mem::take(&mut self.heir);
                act.renewed(claim, adopt);
                act.waits(false);
                if self.peer.up {
                    self.owe(now, act);
                }
            }
            State::Joining => {
                self.go(now, State::Paired);
                act.renewed(claim, false);
            }
            _ => act.renewed(claim, false),
        }
    }
}
