//! Holds a member off that lost or could not get its seat: twice as long each time, forgiven with time.
use crate::Time;

pub struct FlapDamping {
    first: Time,
    most: Time,
    next: Time,
    last: Time,
}

impl FlapDamping {
    pub fn new(first: Time, most: Time) -> FlapDamping {
        FlapDamping {
            first,
            most,
            next: first,
            last: 0,
        }
    }

    /// It happened again; gives back until when to hold off. What lies back longer than the longest wait is forgiven.
    pub fn next_hold_off(&mut self, now: Time) -> Time {
        if now > self.last + self.most {
            self.next = self.first;
        }
        let until = now + self.next;
        self.next = (2 * self.next).min(self.most);
        self.last = until;
        until
    }
}
