//! Every order of what can happen, to a stated depth, over the shipped machines of one task: three keepers, two
//! contenders, one worker. What is sent may come in any order, any number of times, after any time, or never. Clocks
//! run at both ends of their bound. A set of what was met bounds the work; `DEPTH` steps from the start are covered whole.
use std::collections::hash_map::DefaultHasher;
use std::collections::HashSet;
use std::hash::{BuildHasherDefault, Hash, Hasher};
use test_case::test_case;
use tidewall_lease::grantor::{Grant, GrantorReply, GrantorSlot};
use tidewall_lease::lease::{usable, Lease, LeaseActions, LeaseConfig, LeaseState};
use tidewall_lease::{SafetyChecks, Time};

/// A tick of true time is 4 of a slow clock and 6 of a fast one: a bound of a fifth.
const SLOW: Time = 4;
const FAST: Time = 6;
const PPM: u64 = 200_000;
const TERM: Time = 24;
/// How old a worker lets a ticket become, of its own clock.
const TICKET: Time = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Prepare {
        from: usize,
        life: u64,
        keeper: usize,
        ballot: u64,
    },
    Accept {
        from: usize,
        life: u64,
        keeper: usize,
        epoch: u64,
        tag: u32,
    },
    Release {
        keeper: usize,
        epoch: u64,
    },
    Promised {
        to: usize,
        life: u64,
        keeper: usize,
        ballot: u64,
        good: bool,
        told: Kept,
    },
    Accepted {
        to: usize,
        life: u64,
        keeper: usize,
        epoch: u64,
        tag: u32,
        good: bool,
        told: Kept,
    },
    /// On its way to the worker, with the time of the ticket that it goes by.
    Act {
        epoch: u64,
        whose: (usize, u64),
        ticket: Time,
    },
}

/// What a keeper told, by value: promised, accepted epoch, member, life.
type Kept = (u64, u64, usize, u64);

fn kept(a: GrantorReply) -> Kept {
    // How long others are barred only says when it is of use to ask again; here whoever may ask does at any time.
    (
        a.state.promised,
        a.state.accepted.epoch,
        a.state.accepted.member,
        a.state.accepted.incarnation,
    )
}

fn answer(good: bool, k: Kept) -> GrantorReply {
    let mut slot = GrantorSlot::default();
    slot.acceptor.promised = k.0;
    slot.acceptor.accepted = Grant {
        epoch: k.1,
        member: k.2,
        incarnation: k.3,
    };
    GrantorReply {
        granted: good,
        state: slot.acceptor,
        remaining: 0,
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    at: Time,
    keepers: Vec<(GrantorSlot, Time)>,
    members: Vec<(Lease, u64)>,
    /// A member that stands still does nothing; what it had checked before it stood is on its way when it goes on.
    still: Option<usize>,
    way: Vec<Message>,
    /// The highest epoch that took effect at the worker, and the highest that reached it in time, with its holder.
    effect: u64,
    reached: (u64, (usize, u64)),
    /// How often what may still happen: restarts, standstills, acts, repeats, renewals, claims, givings back.
    left: [u8; 7],
    broken: Option<&'static str>,
}

#[derive(Clone, Copy)]
struct Plan {
    guards: SafetyChecks,
    fenced: bool,
    /// Clocks that are fast: of each member, of the keepers, of the worker.
    fast: [bool; 3],
    keepers_fast: bool,
    worker_fast: bool,
    /// The first member's clock is beyond the bound: it hardly moves.
    broken_clocks: bool,
    left: [u8; 7],
    members: usize,
    ticks: Time,
    /// Which keepers a member reaches; what it sends to others is lost.
    reaches: [[bool; 3]; 2],
}

fn rate(fast: bool) -> Time {
    if fast {
        FAST
    } else {
        SLOW
    }
}

struct Sends<'a> {
    way: &'a mut Vec<Message>,
    from: usize,
    life: u64,
}

impl LeaseActions for Sends<'_> {
    fn prepare(&mut self, keeper: usize, _: usize, ballot: u64) {
        self.way.push(Message::Prepare {
            from: self.from,
            life: self.life,
            keeper,
            ballot,
        });
    }
    fn accept(&mut self, keeper: usize, _: usize, epoch: u64, tag: u32) {
        self.way.push(Message::Accept {
            from: self.from,
            life: self.life,
            keeper,
            epoch,
            tag,
        });
    }
    fn release(&mut self, keeper: usize, _: usize, epoch: u64) {
        self.way.push(Message::Release { keeper, epoch });
    }
    fn lease_acquired(&mut self, _: usize, _: u64, _: Time) {}
    fn lease_lost(&mut self, _: usize, _: u64) {}
    fn random_below(&mut self, _: Time) -> Time {
        0
    }
}

impl Plan {
    fn terms(&self, me: usize, life: u64) -> LeaseConfig {
        let usable = if self.guards.shortened_lease {
            usable(TERM, PPM, TICKET)
        } else {
            TERM
        };
        LeaseConfig {
            member: me,
            incarnation: life,
            grantors: 3,
            usable_duration: usable,
            retry: 1_000,
            offset: 0,
            safety_checks: self.guards,
        }
    }

    fn clock(&self, member: usize, at: Time) -> Time {
        if self.broken_clocks && member == 0 {
            return at / 4;
        }
        at * rate(self.fast[member])
    }

    fn keeper_clock(&self, at: Time) -> Time {
        at * rate(self.keepers_fast)
    }

    fn start(&self) -> World {
        let keepers = vec![(GrantorSlot::default(), 0); 3];
        let members = (0..self.members).map(|_| (Lease::new(0), 1)).collect();
        let left = self.left;
        let (at, still, way) = (0, None, Vec::new());
        World {
            at,
            keepers,
            members,
            still,
            way,
            effect: 0,
            reached: (0, (0, 0)),
            left,
            broken: None,
        }
    }

    /// The first member was granted the task by two keepers; what it asked the third is still on its way.
    fn granted(&self) -> World {
        let mut w = self.start();
        let (terms, mut lease) = (self.terms(0, 1), Lease::new(0));
        let mut way = Vec::new();
        let mut host = Sends {
            way: &mut way,
            from: 0,
            life: 1,
        };
        lease.set_wanted(0, &terms, &mut host, true, true);
        lease.timer_fired(0, &terms, &mut host);
        w.members[0].0 = lease;
        w.way = way;
        while w.members[0].0.state != LeaseState::Held {
            let third = |m: &Message| {
                matches!(
                    m,
                    Message::Prepare { keeper: 2, .. } | Message::Accept { keeper: 2, .. }
                )
            };
            let m = *w
                .way
                .iter()
                .find(|m| !third(m))
                .expect("something is on its way");
            let mut n = self.come(&w, m).expect("it is heard");
            let place = n.way.iter().position(|o| *o == m).expect("it was there");
            n.way.remove(place);
            w = n;
        }
        w.way.retain(|m| {
            self.reaches[0][2] || !matches!(m, Message::Prepare { .. } | Message::Accept { .. })
        });
        w
    }

    /// All that can happen next.
    fn next(&self, w: &World) -> Vec<World> {
        let mut all = Vec::new();
        // Time passes.
        if w.at < self.ticks {
            let mut n = w.clone();
            n.at += 1;
            all.push(n);
        }
        for m in 0..self.members {
            if w.still == Some(m) {
                let mut n = w.clone();
                n.still = None;
                all.push(n);
                continue;
            }
            let now = self.clock(m, w.at);
            let lease = &w.members[m].0;
            // It wants the task, does what is due, or gives it back.
            let claims = lease.state == LeaseState::Idle && w.left[5] > 0;
            let renews = lease.state == LeaseState::Held && (w.left[4] > 0 || now >= lease.until);
            if claims || renews {
                let mut n = w.clone();
                n.left[4] -= u8::from(renews && now < lease.until);
                n.left[5] -= u8::from(claims);
                let (lease, life) = &mut n.members[m];
                let terms = self.terms(m, *life);
                let mut host = Sends {
                    way: &mut n.way,
                    from: m,
                    life: *life,
                };
                if lease.state == LeaseState::Idle {
                    lease.set_wanted(now, &terms, &mut host, true, true);
                }
                lease.timer_fired(now, &terms, &mut host);
                all.push(n);
            }
            if lease.state == LeaseState::Held && w.left[6] > 0 {
                let mut n = w.clone();
                n.left[6] -= 1;
                let (lease, life) = &mut n.members[m];
                let terms = self.terms(m, *life);
                let mut host = Sends {
                    way: &mut n.way,
                    from: m,
                    life: *life,
                };
                lease.set_wanted(now, &terms, &mut host, false, false);
                let epoch = lease.epoch;
                lease.execution_stopped(now, &terms, &mut host, epoch);
                all.push(n);
            }
            if lease.is_held(now) && w.left[2] > 0 {
                // It asked for a ticket just now; the act leaves.
                let mut n = w.clone();
                n.left[2] -= 1;
                let ticket = w.at * rate(self.worker_fast);
                let whose = (m, w.members[m].1);
                n.way.push(Message::Act {
                    epoch: lease.epoch,
                    whose,
                    ticket,
                });
                if w.left[1] > 0 {
                    let mut s = n.clone();
                    s.left[1] -= 1;
                    s.still = Some(m);
                    all.push(s);
                }
                all.push(n);
            }
            if w.left[0] > 0 {
                let mut n = w.clone();
                n.left[0] -= 1;
                n.members[m] = (Lease::new(0), w.members[m].1 + 1);
                all.push(n);
            }
        }
        // A keeper starts again without its memory.
        for k in 0..3 {
            if w.left[0] > 0 {
                let mut n = w.clone();
                n.left[0] -= 1;
                let quiet = if self.guards.silent_start {
                    self.keeper_clock(w.at) + TERM
                } else {
                    0
                };
                n.keepers[k] = (GrantorSlot::default(), quiet);
                all.push(n);
            }
        }
        let mut seen: Vec<Message> = Vec::new();
        for (i, m) in w.way.iter().enumerate() {
            if seen.contains(m) {
                continue;
            }
            seen.push(*m);
            if let Some(mut n) = self.come(w, *m) {
                if w.left[3] > 0 {
                    // It comes a second time, whenever.
                    let mut twice = n.clone();
                    twice.left[3] -= 1;
                    all.push(twice);
                }
                let place = n.way.iter().position(|o| o == m).unwrap_or(i);
                n.way.remove(place);
                all.push(n);
            }
        }
        for n in &mut all {
            n.way.retain(|m| match *m {
                Message::Prepare { from, keeper, .. } | Message::Accept { from, keeper, .. } => {
                    self.reaches[from][keeper]
                }
                _ => true,
            });
            n.way.sort_unstable();
            self.judge(n);
        }
        all
    }

    fn come(&self, w: &World, m: Message) -> Option<World> {
        let mut n = w.clone();
        let now = self.keeper_clock(w.at);
        match m {
            Message::Prepare {
                from,
                life,
                keeper,
                ballot,
            } => {
                let (slot, quiet) = &mut n.keepers[keeper];
                if now < *quiet {
                    return None;
                }
                let a = slot.prepare(now, ballot, (from, life));
                let told = kept(a);
                n.way.push(Message::Promised {
                    to: from,
                    life,
                    keeper,
                    ballot,
                    good: a.granted,
                    told,
                });
            }
            Message::Accept {
                from,
                life,
                keeper,
                epoch,
                tag,
            } => {
                let (slot, quiet) = &mut n.keepers[keeper];
                if now < *quiet {
                    return None;
                }
                let a = slot.accept(
                    now,
                    Grant {
                        epoch,
                        member: from,
                        incarnation: life,
                    },
                    TERM,
                );
                let told = kept(a);
                n.way.push(Message::Accepted {
                    to: from,
                    life,
                    keeper,
                    epoch,
                    tag,
                    good: a.granted,
                    told,
                });
            }
            Message::Release { keeper, epoch } => n.keepers[keeper].0.release(now, epoch),
            Message::Promised {
                to,
                life,
                keeper,
                ballot,
                good,
                told,
            } => {
                let now = self.clock(to, w.at);
                let (lease, mine) = &mut n.members[to];
                if w.still == Some(to) || *mine != life {
                    return None;
                }
                let terms = self.terms(to, life);
                let mut host = Sends {
                    way: &mut n.way,
                    from: to,
                    life,
                };
                lease.prepare_replied(now, &terms, &mut host, keeper, ballot, answer(good, told));
            }
            Message::Accepted {
                to,
                life,
                keeper,
                epoch,
                tag,
                good,
                told,
            } => {
                let now = self.clock(to, w.at);
                let (lease, mine) = &mut n.members[to];
                if w.still == Some(to) || *mine != life {
                    return None;
                }
                let terms = self.terms(to, life);
                let mut host = Sends {
                    way: &mut n.way,
                    from: to,
                    life,
                };
                lease.accept_replied(
                    now,
                    &terms,
                    &mut host,
                    keeper,
                    (epoch, tag),
                    answer(good, told),
                );
            }
            Message::Act {
                epoch,
                whose,
                ticket,
            } => {
                let now = w.at * rate(self.worker_fast);
                let fresh = now <= ticket + TICKET;
                // What one life sent under its own former epoch overlaps nobody.
                let other = epoch < w.reached.0 && whose != w.reached.1;
                if fresh && other && !self.broken_clocks {
                    n.broken = Some("an act came after another holder's");
                }
                if fresh && (!self.fenced || epoch >= w.effect) {
                    if epoch < w.effect {
                        n.broken = Some("an act under an older epoch took effect");
                    }
                    n.effect = n.effect.max(epoch);
                }
                if fresh {
                    n.reached = n.reached.max((epoch, whose));
                }
            }
        }
        Some(n)
    }

    fn judge(&self, w: &mut World) {
        if self.broken_clocks {
            return;
        }
        // A member that stands still has checked before: its check is void by the ticket, not by its clock.
        let may = (0..self.members)
            .filter(|m| w.still != Some(*m) && w.members[*m].0.is_held(self.clock(*m, w.at)));
        if may.count() > 1 {
            w.broken = Some("two may act at once");
        }
    }

    /// Whole to that depth; gives back how many states were met, the depth reached, and what was broken where.
    fn explore(
        &self,
        from: World,
        depth: usize,
        most: usize,
    ) -> (usize, usize, Option<&'static str>) {
        let mut met: HashSet<u64, BuildHasherDefault<DefaultHasher>> = HashSet::default();
        let mut now = vec![from];
        for step in 1..=depth {
            let mut then = Vec::new();
            for w in &now {
                for n in self.next(w) {
                    if let Some(what) = n.broken {
                        return (met.len(), step, Some(what));
                    }
                    let mut hasher = DefaultHasher::new();
                    n.hash(&mut hasher);
                    if met.insert(hasher.finish()) {
                        then.push(n);
                    }
                }
            }
            now = then;
            if met.len() > most || now.is_empty() {
                return (met.len(), step, None);
            }
        }
        (met.len(), depth, None)
    }
}

/// Holders' clocks slow and keepers' fast is the worst for a lease; the worker's is the other way about.
const WORST: Plan = Plan {
    guards: SafetyChecks {
        silent_start: true,
        shortened_lease: true,
        counts_from_request: true,
        one_vote_per_grantor: true,
        replay_protection: true,
    },
    fenced: true,
    fast: [false, true, false],
    keepers_fast: true,
    worker_fast: false,
    broken_clocks: false,
    left: [0, 0, 1, 0, 0, 1, 0],
    members: 2,
    ticks: 7,
    reaches: [[true, true, false], [false, true, true]],
};

const ALL: [[bool; 3]; 2] = [[true; 3]; 2];

const GUARDS: SafetyChecks = WORST.guards;

#[test_case(Plan { left: [1, 0, 1, 0, 0, 1, 0], ..WORST } ; "one restart, of a keeper or a member")]
#[test_case(Plan { left: [0, 0, 0, 1, 1, 1, 0], ..WORST } ; "one renewal, one message twice")]
#[test_case(Plan { left: [0, 1, 2, 0, 0, 1, 0], ..WORST } ; "one standstill between check and socket")]
#[test_case(Plan { left: [0, 0, 2, 0, 0, 1, 0], broken_clocks: true, ..WORST } ; "a clock beyond the bound, epochs alone")]
#[test_case(Plan { left: [0, 0, 1, 0, 0, 2, 1], ..WORST } ; "given back and claimed anew")]
#[test_case(Plan { fast: [true, false, false], keepers_fast: false, left: [1, 0, 1, 0, 0, 1, 0], ..WORST } ; "clocks the other way about")]
fn no_two_act_at_once(plan: Plan) {
    let (states, depth, broken) = plan.explore(plan.granted(), 40, MOST);
    println!("two keepers each, one granted: {states} states to depth {depth}");
    assert_eq!(broken, None);
    let plan = Plan {
        reaches: ALL,
        ..plan
    };
    let (states, depth, broken) = plan.explore(plan.granted(), 40, MOST);
    println!("all keepers, one granted: {states} states to depth {depth}");
    assert_eq!(broken, None);
    let (states, depth, broken) = plan.explore(plan.start(), 40, MOST);
    println!("all keepers, from the start: {states} states to depth {depth}");
    assert_eq!(broken, None);
}

/// States after which no further step is begun, in CI.
const MOST: usize = 200_000;

#[test_case(Plan { guards: SafetyChecks { silent_start: false, ..GUARDS }, left: [1, 0, 0, 0, 0, 1, 0], ..WORST } ; "keepers that forget")]
#[test_case(Plan { guards: SafetyChecks { shortened_lease: false, ..GUARDS }, ..WORST } ; "a term not shortened by the bound of clocks")]
#[test_case(Plan { fenced: false, broken_clocks: true, left: [0, 0, 2, 0, 0, 1, 0], ..WORST } ; "workers that look at no epoch")]
#[test_case(Plan { guards: SafetyChecks { counts_from_request: false, ..GUARDS }, left: [0, 0, 0, 0, 1, 1, 0], ticks: 6, ..WORST } ; "a renewal counted from its answer")]
#[test_case(Plan { guards: SafetyChecks { one_vote_per_grantor: false, ..GUARDS }, left: [0, 0, 0, 1, 1, 1, 0], reaches: [[true, false, false], [false, true, true]], ..WORST } ; "one vote counted twice")]
fn a_planted_fault_is_found(plan: Plan) {
    let (states, depth, broken) = plan.explore(plan.granted(), 40, 25 * MOST);
    println!("{states} states to depth {depth}: {broken:?}");
    assert!(broken.is_some());
}
