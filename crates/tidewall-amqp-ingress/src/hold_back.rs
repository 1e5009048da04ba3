//! Who is held back, and who is released first: decisions only, no I/O and no clock. A connection that owes too
//! many answers is not read; with the queues nearly full, or the gateway holding nearly all it may, publishers
//! are told to wait (connection.blocked) and those with the most debts are not read. What has been taken is
//! never dropped, and a connection is always read again once its own debts are few.

/// What the decisions call.
pub trait Reins {
    fn pause(&mut self, conn: usize, on: bool);
    fn block(&mut self, conn: usize, on: bool, reason: &'static str);
}

/// One connection as it is now.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    pub conn: usize,
    /// Which tenant it publishes for; those without one share a place.
    pub tenant: usize,
    /// Events whose answers it awaits.
    pub debts: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct Rein {
    paused: bool,
    blocked: bool,
}

pub struct HoldBack {
    /// Debts at which a connection is not read any more.
    in_hand: usize,
    queued_most: usize,
    reins: Vec<Rein>,
    full: bool,
    crowded: bool,
    /// Connections that are not read now.
    not_read: usize,
}

/// Publishing is held back from nine tenths of a bound on, and released at seven: apart far enough that it does
/// not flutter with single messages, near enough to use what there is.
const HIGH: (usize, usize) = (9, 10);
const LOW: (usize, usize) = (7, 10);

/// Connections released at one look: a tenth of a second empties a hundred, and they do not all come back in the
/// same wake-up.
const RELEASED: usize = 10;

fn above(value: usize, most: usize, part: (usize, usize)) -> bool {
    value * part.1 >= most * part.0
}

impl HoldBack {
    pub fn new(in_hand: usize, queued_most: usize) -> HoldBack {
        HoldBack {
            in_hand,
            queued_most,
            reins: Vec::new(),
            full: false,
            crowded: false,
            not_read: 0,
        }
    }

    fn rein(&mut self, conn: usize) -> &mut Rein {
        if self.reins.len() <= conn {
            self.reins.resize(conn + 1, Rein::default());
        }
        &mut self.reins[conn]
    }

    /// A connection's place is free again.
    pub fn gone(&mut self, conn: usize) {
        let was = std::mem::take(self.rein(conn));
        self.not_read -= usize::from(was.paused);
    }

    pub fn paused(&self) -> usize {
        self.not_read
    }

    /// Whether somebody waits to be released.
    pub fn holds(&self) -> bool {
        self.not_read > 0 || self.full || self.crowded
    }

    pub fn blocked(&self) -> usize {
        self.reins.iter().filter(|r| r.blocked).count()
    }

    /// Right after one was read: its own debts only.
    pub fn read(&mut self, reins: &mut impl Reins, conn: usize, debts: usize) {
        let most = self.in_hand;
        let rein = self.rein(conn);
        if !rein.paused && debts >= most {
            rein.paused = true;
            self.not_read += 1;
            reins.pause(conn, true);
        }
    }

    /// All connections, at every look. `held` of `most_held` events are in hand, `queued` bytes in queues.
    pub fn look(
        &mut self,
        reins: &mut impl Reins,
        seen: &[Seen],
        queued: usize,
        (held, most_held): (usize, usize),
    ) {
        self.full = above(queued, self.queued_most, if self.full { LOW } else { HIGH });
        self.crowded = above(held, most_held, if self.crowded { LOW } else { HIGH });
        let hold = self.full || self.crowded;
        let reason = if self.full {
            "queues are full"
        } else {
            "too many events are in hand"
        };
        // While it is crowded nobody may owe more than an equal part; a tenant's connections share theirs, so
        // that many connections win nothing.
        let mut tenants: Vec<(usize, usize)> = Vec::new();
        for s in seen {
            match tenants.iter_mut().find(|t| t.0 == s.tenant) {
                Some(t) => t.1 += 1,
                None => tenants.push((s.tenant, 1)),
            }
        }
        let part = most_held * HIGH.0 / HIGH.1 / tenants.len().max(1);
        let mut waiting: Vec<(usize, usize)> = Vec::new();
        for s in seen {
            let siblings = tenants.iter().find(|t| t.0 == s.tenant).map_or(1, |t| t.1);
            let own = if self.crowded {
                (part / siblings).min(self.in_hand).max(1)
            } else {
                self.in_hand
            };
            let rein = *self.rein(s.conn);
            if !rein.paused && s.debts >= own {
                self.rein(s.conn).paused = true;
                self.not_read += 1;
                reins.pause(s.conn, true);
            } else if rein.paused && s.debts < own.div_ceil(2) {
                waiting.push((s.debts, s.conn));
            }
            if rein.blocked != hold {
                self.rein(s.conn).blocked = hold;
                reins.block(s.conn, hold, reason);
            }
        }
        // Who owes least is released first.
        waiting.sort_unstable();
        for (_, conn) in waiting.into_iter().take(RELEASED) {
            self.rein(conn).paused = false;
            self.not_read -= 1;
            reins.pause(conn, false);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[derive(Default)]
    struct Calls(Vec<(usize, &'static str)>);

    impl Reins for Calls {
        fn pause(&mut self, conn: usize, on: bool) {
            self.0.push((conn, if on { "pause" } else { "read" }));
        }
        fn block(&mut self, conn: usize, on: bool, _: &'static str) {
            self.0.push((conn, if on { "block" } else { "go" }));
        }
    }

    fn seen(debts: &[usize]) -> Vec<Seen> {
        debts
            .iter()
            .enumerate()
            .map(|(conn, debts)| Seen {
                conn,
                tenant: conn,
                debts: *debts,
            })
            .collect()
    }

    #[test_case(&[99], 0, 0, &[] ; "below its bound")]
    #[test_case(&[100, 3], 0, 0, &[(0, "pause")] ; "at its bound, the other is read")]
    #[test_case(&[1, 1], 900, 0, &[(0, "block"), (1, "block")] ; "queues nine tenths full")]
    #[test_case(&[1, 1], 899, 0, &[] ; "queues nearly so")]
    #[test_case(&[500, 40], 0, 900, &[(0, "pause"), (0, "block"), (1, "block")] ; "crowded, the one with most debts is not read")]
    fn held_back(debts: &[usize], queued: usize, held: usize, told: &[(usize, &str)]) {
        let mut calls = Calls::default();
        HoldBack::new(100, 1000).look(&mut calls, &seen(debts), queued, (held, 1000));
        assert_eq!(calls.0, told);
    }

    #[test]
    fn released_at_half_and_the_least_indebted_first() {
        let (mut hold, mut calls) = (HoldBack::new(100, 1000), Calls::default());
        hold.look(&mut calls, &seen(&[100; 15]), 0, (0, 10_000));
        assert_eq!(hold.paused(), 15);
        calls.0.clear();
        let debts: Vec<usize> = (0..15).map(|i| if i == 3 { 50 } else { 49 - i }).collect();
        hold.look(&mut calls, &seen(&debts), 0, (0, 10_000));
        let order: Vec<usize> = calls.0.iter().map(|c| c.0).collect();
        assert_eq!(order, [14, 13, 12, 11, 10, 9, 8, 7, 6, 5]);
    }

    #[test]
    fn blocked_until_well_below_the_bound() {
        let (mut hold, mut calls) = (HoldBack::new(100, 1000), Calls::default());
        for (queued, blocked) in [(900, 1), (800, 1), (701, 1), (699, 0), (800, 0), (900, 1)] {
            hold.look(&mut calls, &seen(&[1]), queued, (0, 1000));
            assert_eq!(hold.blocked(), blocked, "{queued}");
        }
    }

    /// A tenant with nine connections gets no more than one with one.
    #[test]
    fn many_connections_win_nothing() {
        let (mut hold, mut calls) = (HoldBack::new(1000, 1000), Calls::default());
        let mut all: Vec<Seen> = (0..9)
            .map(|conn| Seen {
                conn,
                tenant: 0,
                debts: 51,
            })
            .collect();
        all.push(Seen {
            conn: 9,
            tenant: 1,
            debts: 440,
        });
        hold.look(&mut calls, &all, 0, (900, 1000));
        let paused: Vec<usize> = calls
            .0
            .iter()
            .filter(|c| c.1 == "pause")
            .map(|c| c.0)
            .collect();
        assert_eq!(paused, (0..9).collect::<Vec<_>>());
    }

    #[test]
    fn a_place_that_is_used_again_starts_free() {
        let (mut hold, mut calls) = (HoldBack::new(10, 1000), Calls::default());
        hold.read(&mut calls, 0, 10);
        hold.gone(0);
        hold.read(&mut calls, 0, 10);
        assert_eq!(calls.0, [(0, "pause"), (0, "pause")]);
    }
}
