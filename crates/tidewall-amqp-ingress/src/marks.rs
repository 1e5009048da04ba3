//! What is remembered of message-ids: which event is in hand under one, and how the last one ended. A repeat joins
//! the event in hand, or gets the recorded answer; it is not run again. Bounded by count and by time.
use std::collections::{HashMap, VecDeque};
use tidewall_amqp::server::Disposition;
use tidewall_net::Time;

/// Marks that are remembered at most: at a thousand events a second, four minutes' worth, and some 40 MB.
const MOST: usize = 262_144;

pub type Mark = (usize, Box<str>);

#[derive(Clone, Debug, PartialEq)]
pub enum Known {
    /// In hand under this key.
    InHand(usize),
    Answered(Disposition),
}

/// Looked up, never walked.
#[derive(Default)]
pub struct Marks {
    known: HashMap<Mark, (u64, Known)>,
    ends: VecDeque<(Time, u64, Mark)>,
    count: u64,
}

impl Marks {
    pub fn find(&mut self, now: Time, mark: &Mark) -> Option<&Known> {
        self.forget(now);
        self.known.get(mark).map(|k| &k.1)
    }

    pub fn take(&mut self, mark: Mark, key: usize) {
        self.count += 1;
        self.known.insert(mark, (self.count, Known::InHand(key)));
    }

    /// Its answer holds for a window; a deferral holds for no time, as it invites the next try.
    pub fn end(&mut self, now: Time, mark: Mark, word: Disposition, window: Time) {
        if word == Disposition::Rejected || window == 0 {
            self.known.remove(&mark);
            return;
        }
        self.count += 1;
        self.known
            .insert(mark.clone(), (self.count, Known::Answered(word)));
        self.ends.push_back((now + window, self.count, mark));
        self.forget(now);
    }

    /// Whether one more may be taken: none is forgotten before its time, or its repeat would run again.
    pub fn room(&self) -> bool {
        self.known.len() < MOST
    }

    fn forget(&mut self, now: Time) {
        while self.ends.front().is_some_and(|e| e.0 <= now) {
            let Some((_, count, mark)) = self.ends.pop_front() else {
                return;
            };
            if self.known.get(&mark).is_some_and(|k| k.0 == count) {
                self.known.remove(&mark);
            }
        }
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn mark(id: &str) -> Mark {
        (1, id.into())
    }

    #[test]
    fn a_repeat_meets_the_event_in_hand_then_its_answer_then_nothing() {
        let mut marks = Marks::default();
        marks.take(mark("m"), 7);
        assert_eq!(marks.find(0, &mark("m")), Some(&Known::InHand(7)));
        marks.end(100, mark("m"), Disposition::Completed, 40_000);
        assert_eq!(
            marks.find(40_099, &mark("m")),
            Some(&Known::Answered(Disposition::Completed))
        );
        assert_eq!(marks.find(40_100, &mark("m")), None);
        assert!(marks.is_empty());
    }

    #[test]
    fn a_deferral_is_not_remembered() {
        let mut marks = Marks::default();
        marks.take(mark("m"), 7);
        marks.end(100, mark("m"), Disposition::Rejected, 40_000);
        assert_eq!(marks.find(100, &mark("m")), None);
    }

    #[test]
    fn an_event_taken_again_is_not_forgotten_with_its_former_answer() {
        let mut marks = Marks::default();
        marks.end(0, mark("m"), Disposition::Completed, 100);
        marks.take(mark("m"), 8);
        assert_eq!(marks.find(1_000, &mark("m")), Some(&Known::InHand(8)));
    }

    /// The oldest was forgotten at the bound, inside its window: its repeat would have run again.
    #[test]
    fn at_the_bound_nothing_is_forgotten_before_its_time_and_no_more_is_taken() {
        let mut marks = Marks::default();
        for i in 0..MOST {
            assert!(marks.room());
            marks.end(0, mark(&i.to_string()), Disposition::Completed, 1_000);
        }
        assert!(!marks.room() && marks.find(999, &mark("0")).is_some());
        assert!(marks.find(1_000, &mark("0")).is_none() && marks.room());
    }
}
