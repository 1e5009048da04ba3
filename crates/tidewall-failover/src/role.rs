//! Who serves. VRRP says who wants to; the majority of voters says who may; the link between the members says what the
//! other one holds. A member that is superseded ends its process and starts anew, knowing nothing.
use crate::flap_damping::FlapDamping;
use crate::leadership::{Leadership, LeadershipAcceptor};
use crate::proposal::{
    LeadershipProposer, ProposalOutcome, ProposalRequest, ProposerTransport, Purpose,
};
use crate::Time;

/// How a member acts.
pub trait RoleActions: ProposerTransport<Leadership> {
    /// Takes part in VRRP or not; where it stops as the active one it says so (priority 0).
    fn set_vrrp_enabled(&mut self, on: bool);
    /// Serves from now on. `adopt`: what the other member had in hand is ours. `forgot`: what others had in hand before is
    /// known to nobody.
    fn start_serving(&mut self, claim: Leadership, adopt: bool, forgot: bool);
    /// The claim under which it serves is another now; `adopt` as above.
    fn leadership_renewed(&mut self, claim: Leadership, adopt: bool);
    /// Takes no new events; what it holds goes on.
    fn stop_accepting(&mut self);
    /// Nothing waits for the other member (`false`), or launches and answers do.
    fn set_replication_wait(&mut self, on: bool);
    /// All that there is to know goes to the other member; `new`: it knows all up to now, only what is new is told.
    fn start_replication(&mut self, new: bool);
    /// Asks the other member to retire, or says that we have.
    fn request_step_down(&mut self);
    fn confirm_step_down(&mut self);
    /// The process ends and starts anew.
    fn restart_process(&mut self, why: &'static str);
    /// Nothing is held any more and we were told to go.
    fn exit_process(&mut self);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Standby,
    /// The other member was asked to retire.
    RequestingStepDown,
    Proposing,
    /// Serving, and nobody else knows: nothing waits for the other.
    Solo,
    /// Serving; the other holds a copy, and what is new waits for it.
    Synchronizing,
    Replicating,
    /// Serving; the other one is lost and the voters do not know it yet: launches and answers wait.
    PeerLost,
    /// The other one serves; what was taken before goes on.
    Draining,
    Stopped,
}

impl Role {
    pub const ALL: [Role; 9] = [
        Role::Standby,
        Role::RequestingStepDown,
        Role::Proposing,
        Role::Solo,
        Role::Synchronizing,
        Role::Replicating,
        Role::PeerLost,
        Role::Draining,
        Role::Stopped,
    ];

    pub fn text(self) -> &'static str {
        match self {
            Role::Standby => "standby",
            Role::RequestingStepDown => "asking",
            Role::Proposing => "claiming",
            Role::Solo => "solo",
            Role::Synchronizing => "joining",
            Role::Replicating => "paired",
            Role::PeerLost => "parting",
            Role::Draining => "retiring",
            Role::Stopped => "over",
        }
    }

    pub fn serves(self) -> bool {
        matches!(
            self,
            Role::Solo | Role::Synchronizing | Role::Replicating | Role::PeerLost
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

pub struct RoleStateMachine {
    state: Role,
    /// When this state began.
    since: Time,
    interval: Time,
    claim: LeadershipProposer,
    /// Under which we serve.
    pub granted: Leadership,
    peer: Peer,
    vrrp: bool,
    active: bool,
    damp: FlapDamping,
    held_off: Time,
    /// A link that was too slow is not relied on again before that.
    slow: FlapDamping,
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

impl RoleStateMachine {
    /// `interval` is VRRP's advertisement interval.
    pub fn new(me: usize, life: u64, voters: usize, interval: Time, now: Time) -> RoleStateMachine {
        RoleStateMachine {
            state: Role::Standby,
            since: now,
            interval,
            claim: LeadershipProposer::new(me, life, voters),
            granted: Leadership::default(),
            peer: Peer::default(),
            vrrp: false,
            active: false,
            // From half a second, RFC 9568's usual advertisement interval being one, to half a minute.
            damp: FlapDamping::new(5 * interval, 300 * interval),
            held_off: now,
            slow: FlapDamping::new(10 * interval, 300 * interval),
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

    pub fn state(&self) -> Role {
        self.state
    }

    /// Whether we hold events that another will not continue for us.
    pub fn epoch(&self) -> u64 {
        self.granted.epoch
    }

    pub fn is_synced_with(&self, peer_life: u64) -> bool {
        self.state == Role::Replicating && self.granted.synced_incarnations.contains(&peer_life)
    }

    fn go(&mut self, now: Time, state: Role) {
        (self.state, self.since) = (state, now);
    }

    fn over(&mut self, now: Time, act: &mut impl RoleActions, why: &'static str) {
        self.claim.stop();
        self.go(now, Role::Stopped);
        act.restart_process(why);
    }

    fn wish(&self, purpose: Purpose) -> ProposalRequest {
        let with =
            (self.peer.up && purpose == Purpose::GoOn || self.handed).then_some(self.peer.life);
        // Alone, the other's launches end; with it they stay good.
        ProposalRequest {
            purpose,
            with,
            fences: with.is_none(),
        }
    }

    fn take_over(&mut self, now: Time, act: &mut impl RoleActions) {
        if self.state != Role::Draining {
            self.go(now, Role::Proposing);
        }
        let wish = self.wish(Purpose::TakeOver);
        self.claim.begin(act, wish);
    }

    /// Not now: VRRP hears that we stop, and we come back later.
    fn bounce(&mut self, now: Time, act: &mut impl RoleActions) {
        self.claim.stop();
        (self.handed, self.active, self.vrrp) = (false, false, false);
        act.set_vrrp_enabled(false);
        self.held_off = self.damp.next_hold_off(now);
        if self.state != Role::Draining {
            self.go(now, Role::Standby);
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
    pub fn tick(&mut self, now: Time, act: &mut impl RoleActions) {
        match self.state {
            Role::Standby if !self.vrrp && self.fit(now) => {
                self.vrrp = true;
                act.set_vrrp_enabled(true);
            }
            Role::Standby
                if self.vrrp && self.peer.up && self.peer.serves && !self.peer.counts_us =>
            {
                // It would have to ask a member that does not count it.
                (self.vrrp, self.active) = (false, false);
                act.set_vrrp_enabled(false);
            }
            Role::Solo if self.owed && self.peer.up && now >= self.slow_off => {
                self.owed = false;
                act.start_replication(false);
            }
            Role::RequestingStepDown if now > self.since + YIELD * self.interval => {
                self.bounce(now, act)
            }
            Role::PeerLost if now > self.since + PARTING * self.interval => self.over(
                now,
                act,
                "neither the other member nor a majority of voters can be reached",
            ),
            Role::PeerLost if !self.claim.busy() && now >= self.again => {
                let wish = ProposalRequest {
                    with: None,
                    fences: true,
                    ..self.wish(Purpose::GoOn)
                };
                self.claim.begin(act, wish);
            }
            Role::Draining
                if self.active && self.alone(now) && !self.claim.busy() && now >= self.again =>
            {
                self.take_over(now, act)
            }
            Role::Standby if self.active && self.alone(now) && !self.leaving => {
                self.take_over(now, act)
            }
            _ => {}
        }
    }

    /// VRRP: the addresses are ours.
    pub fn vrrp_became_active(&mut self, now: Time, act: &mut impl RoleActions) {
        self.active = true;
        match self.state {
            Role::Standby if self.peer.up && self.peer.serves => {
                self.go(now, Role::RequestingStepDown);
                act.request_step_down();
            }
            Role::Standby => self.take_over(now, act),
            _ => {}
        }
    }

    /// VRRP: they are not. Whoever serves goes on until it is asked to retire.
    pub fn vrrp_became_backup(&mut self, now: Time) {
        self.active = false;
        // Whoever was handed the seat claims it, or nobody would serve.
        if matches!(self.state, Role::RequestingStepDown | Role::Proposing) && !self.handed {
            self.claim.stop();
            self.go(now, Role::Standby);
        }
    }

    /// The link stands, and the other one has told its life and whether it serves.
    pub fn peer_connected(
        &mut self,
        now: Time,
        act: &mut impl RoleActions,
        life: u64,
        serves: bool,
        epoch: u64,
    ) {
        self.claim.peer_incarnation_ended(life.saturating_sub(1));
        self.peer = Peer {
            up: true,
            life,
            serves,
            counts_us: false,
        };
        if serves && self.state.serves() && epoch > self.granted.epoch {
            return self.over(now, act, "the other member serves under a newer epoch");
        }
        if serves && self.state == Role::Draining {
            return self.over(now, act, "the other member went on without us");
        }
        if self.state == Role::Solo {
            self.owe(now, act);
        }
    }

    fn owe(&mut self, now: Time, act: &mut impl RoleActions) {
        self.owed = now < self.slow_off;
        if !self.owed {
            act.start_replication(false);
        }
    }

    /// The link is about to be broken, as what waits for the other member waits too long.
    pub fn peer_too_slow(&mut self, now: Time) {
        self.slow_off = self.slow.next_hold_off(now);
    }

    /// What the other one tells again and again.
    pub fn peer_heartbeat(
        &mut self,
        now: Time,
        act: &mut impl RoleActions,
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

    pub fn peer_disconnected(&mut self, now: Time, act: &mut impl RoleActions) {
        self.peer.up = false;
        match self.state {
            Role::Replicating | Role::Synchronizing => {
                self.go(now, Role::PeerLost);
                let wish = ProposalRequest {
                    with: None,
                    fences: true,
                    ..self.wish(Purpose::GoOn)
                };
                self.claim.begin(act, wish);
            }
            Role::RequestingStepDown => self.take_over(now, act),
            // It said that it retired; whether it is gone by now the voters' answers show.
            Role::Proposing if self.handed => {
                self.handed = false;
                self.take_over(now, act);
            }
            _ => {}
        }
    }

    /// The other member asks us to retire.
    pub fn step_down_requested(&mut self, now: Time, act: &mut impl RoleActions) {
        if self.state == Role::Replicating {
            self.claim.stop();
            self.go(now, Role::Draining);
            act.stop_accepting();
            act.confirm_step_down();
        }
    }

    /// The other member has retired; all that it took is in its copy here.
    pub fn peer_stepped_down(&mut self, now: Time, act: &mut impl RoleActions) {
        // Even where we do not want it any more: nobody else does.
        if matches!(self.state, Role::RequestingStepDown | Role::Standby) {
            self.handed = true;
            self.take_over(now, act);
        }
    }

    /// The other member has all that was told up to now.
    pub fn snapshot_acknowledged(&mut self, now: Time, act: &mut impl RoleActions) {
        if self.state == Role::Solo && self.peer.up {
            self.go(now, Role::Synchronizing);
            act.set_replication_wait(true);
        }
    }

    /// All that was on its way when waiting began has come there too.
    pub fn replication_caught_up(&mut self, act: &mut impl RoleActions) {
        if self.state == Role::Synchronizing && !self.claim.busy() {
            let wish = self.wish(Purpose::GoOn);
            self.claim.begin(act, wish);
        }
    }

    /// Nothing is in hand.
    pub fn drained(&mut self, now: Time, act: &mut impl RoleActions) {
        if self.state == Role::Draining && !self.claim.busy() {
            self.go(now, Role::Standby);
        }
        if self.leaving && self.state == Role::Standby {
            act.exit_process();
        }
    }

    /// Told to go: the other one takes over where it can. False where nobody can: it ends as one gateway would.
    pub fn shutdown_requested(&mut self, now: Time, act: &mut impl RoleActions) -> bool {
        (self.leaving, self.left_at) = (true, now);
        (self.vrrp, self.active) = (false, false);
        act.set_vrrp_enabled(false);
        match self.state {
            Role::Replicating => true,
            Role::Draining => true,
            Role::Standby | Role::RequestingStepDown | Role::Proposing => {
                self.claim.stop();
                self.go(now, Role::Standby);
                true
            }
            _ => false,
        }
    }

    /// Told to go, and nobody takes over: it ends as one gateway would.
    pub fn exits_without_peer(&self, now: Time) -> bool {
        let asked_for = now <= self.left_at + YIELD * self.interval;
        self.leaving && (self.state == Role::Solo || self.state == Role::Replicating && !asked_for)
    }

    /// Settings disagree with the other member's, and we are the one to keep off.
    pub fn set_barred(&mut self, on: bool) {
        self.barred = on;
    }

    /// A worker refused what we sent under our epoch: whether we still serve, the voters know.
    pub fn epoch_rejected(&mut self, act: &mut impl RoleActions) {
        if self.state.serves() && !self.claim.busy() {
            let with = self
                .granted
                .synced_incarnations
                .iter()
                .copied()
                .find(|l| *l == self.peer.life && *l > 0);
            let wish = ProposalRequest {
                purpose: Purpose::GoOn,
                with,
                fences: with.is_none(),
            };
            self.claim.begin(act, wish);
        }
    }

    pub fn vote_received(
        &mut self,
        now: Time,
        act: &mut impl RoleActions,
        voter: usize,
        of: (u64, bool),
        good: bool,
        promise: LeadershipAcceptor,
    ) {
        if let Some(outcome) = self.claim.vote_received(act, voter, of, good, promise) {
            self.ended(now, act, outcome);
        }
    }

    pub fn vote_missing(
        &mut self,
        now: Time,
        act: &mut impl RoleActions,
        voter: usize,
        of: (u64, bool),
    ) {
        if let Some(outcome) = self.claim.vote_missing(act, voter, of) {
            self.ended(now, act, outcome);
        }
    }

    fn ended(&mut self, now: Time, act: &mut impl RoleActions, outcome: ProposalOutcome) {
        match (self.state, outcome) {
            (Role::Proposing | Role::Draining, ProposalOutcome::Granted(claim)) => {
                self.seated(now, act, claim)
            }
            (Role::Proposing, _) => self.bounce(now, act),
            (Role::Draining, ProposalOutcome::NoMajority) => {
                self.again = now + AGAIN * self.interval
            }
            (Role::Draining, _) => self.over(now, act, "the other member serves without us"),
            (s, ProposalOutcome::Granted(claim)) if s.serves() => self.renewed(now, act, claim),
            (s, ProposalOutcome::NoMajority) if s.serves() => {
                self.again = now + AGAIN * self.interval;
                if s == Role::Synchronizing {
                    // It is asked again by the next thing that is recorded.
                    act.set_replication_wait(true);
                }
            }
            (s, _) if s.serves() => {
                self.over(now, act, "the voters say that the other member serves")
            }
            _ => {}
        }
    }

    fn seated(&mut self, now: Time, act: &mut impl RoleActions, claim: Leadership) {
        self.granted = claim;
        let handed = std::mem::take(&mut self.handed);
        (self.heir, self.peer.serves) = (handed, false);
        if handed {
            self.go(now, Role::Replicating);
            act.set_replication_wait(true);
            act.start_serving(claim, false, false);
            act.start_replication(true);
        } else {
            self.go(now, Role::Solo);
            act.set_replication_wait(false);
            let forgot = self.claim.forgot();
            self.claim.knows();
            act.start_serving(claim, true, forgot);
            if self.peer.up {
                self.owe(now, act);
            }
        }
    }

    fn renewed(&mut self, now: Time, act: &mut impl RoleActions, claim: Leadership) {
        self.granted = claim;
        match self.state {
            Role::PeerLost => {
                self.go(now, Role::Solo);
                let adopt = std::mem::take(&mut self.heir);
                act.leadership_renewed(claim, adopt);
                act.set_replication_wait(false);
                if self.peer.up {
                    self.owe(now, act);
                }
            }
            Role::Synchronizing => {
                self.go(now, Role::Replicating);
                act.leadership_renewed(claim, false);
            }
            _ => act.leadership_renewed(claim, false),
        }
    }
}
