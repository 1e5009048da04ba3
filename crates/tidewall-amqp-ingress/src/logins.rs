//! Passwords are checked on a thread of their own: argon2 is slow on purpose, and a storm of logins must not stop
//! events. What was found good is known again by a keyed digest, so that terminals that all come back at once (after a
//! takeover, say) wait for one check, not for one each. The thread ends with its door.
use argon2::password_hash::rand_core::{OsRng, RngCore};
use argon2::{Argon2, PasswordHash, PasswordVerifier};
use hmac::{Hmac, Mac};
use sha2::Sha256;
#[cfg(shuttle)]
use shuttle::{
    sync::mpsc::{sync_channel, Receiver, SyncSender, TryRecvError},
    thread,
};
use std::collections::BTreeSet;
use std::panic::{catch_unwind, AssertUnwindSafe};
#[cfg(not(shuttle))]
use std::{
    sync::mpsc::{sync_channel, Receiver, SyncSender, TryRecvError},
    thread,
};

struct Ask {
    conn: usize,
    link: u64,
    hash: Option<String>,
    password: Vec<u8>,
}

pub struct Logins {
    ask: SyncSender<Ask>,
    told: Receiver<(usize, u64, bool)>,
    pub pending: usize,
}

/// A hash that no password has, checked where the user is unknown, so that both take as long.
const NOBODY: &str =
    "$argon2id$v=19$m=19456,t=2,p=1$AAAAAAAAAAAAAAAAAAAAAA$AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA";

/// Good logins that are known again: more than a site has users. Beyond, all are forgotten and checked anew.
const KNOWN: usize = 1_024;

/// Digests of good logins under a key that only this process has: no password, nor anything that is worth something elsewhere, is
/// kept. A changed hash is another login.
struct Good {
    key: [u8; 32],
    digests: BTreeSet<[u8; 32]>,
}

impl Good {
    fn new() -> Good {
        let mut key = [0; 32];
        OsRng.fill_bytes(&mut key);
        Good {
            key,
            digests: BTreeSet::new(),
        }
    }

    fn digest(&self, hash: &str, password: &[u8]) -> [u8; 32] {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.key).expect("any length is good");
        // Told with its length, or another split of the two would have the same digest.
        mac.update(&(hash.len() as u64).to_be_bytes());
        mac.update(hash.as_bytes());
        mac.update(password);
        mac.finalize().into_bytes().into()
    }

    /// An unknown user, and a wrong password, always cost a whole check.
    fn check(&mut self, hash: Option<&str>, password: &[u8]) -> bool {
        let digest = hash.map(|hash| self.digest(hash, password));
        if digest.is_some_and(|d| self.digests.contains(&d)) {
            return true;
        }
        let good = PasswordHash::new(hash.unwrap_or(NOBODY))
            .is_ok_and(|hash| Argon2::default().verify_password(password, &hash).is_ok());
        let Some(digest) = digest.filter(|_| good) else {
            return false;
        };
        if self.digests.len() >= KNOWN {
            self.digests.clear();
        }
        self.digests.insert(digest);
        true
    }
}

impl Logins {
    pub fn new(most: usize) -> Logins {
        let mut known = Good::new();
        Logins::by(most, move |hash, password| known.check(hash, password))
    }

    /// A check that panics is a login that failed: the next ones are checked all the same, and nobody waits for it.
    fn by(
        most: usize,
        mut check: impl FnMut(Option<&str>, &[u8]) -> bool + Send + 'static,
    ) -> Logins {
        let (ask, asked) = sync_channel::<Ask>(most);
        let (tell, told) = sync_channel(most);
        thread::spawn(move || {
            for a in asked {
                let good = catch_unwind(AssertUnwindSafe(|| check(a.hash.as_deref(), &a.password)));
                let good = good.unwrap_or(false);
                if tell.send((a.conn, a.link, good)).is_err() {
                    return;
                }
            }
        });
        Logins {
            ask,
            told,
            pending: 0,
        }
    }

    /// False where too many wait already.
    pub fn check(&mut self, conn: usize, link: u64, hash: Option<String>, password: &[u8]) -> bool {
        let asked = self
            .ask
            .try_send(Ask {
                conn,
                link,
                hash,
                password: password.to_vec(),
            })
            .is_ok();
        self.pending += usize::from(asked);
        asked
    }

    pub fn done(&mut self) -> Option<(usize, u64, bool)> {
        match self.told.try_recv() {
            Ok(done) => {
                self.pending -= 1;
                Some(done)
            }
            Err(TryRecvError::Empty | TryRecvError::Disconnected) => None,
        }
    }
}

/// Orderings of the door's thread and the checking one, each run another: the shipped code on shuttle's primitives.
#[cfg(all(test, shuttle))]
mod orderings {
    use super::*;

    const RUNS: usize = 20_000;

    /// Each login that was taken ends once, with its own answer, however the two run; none stays pending.
    fn ends_once(most: usize, swap: bool) {
        let mut logins = Logins::by(most, move |_, password| (password == b"good") != swap);
        let (mut asked, mut ended) = (Vec::new(), Vec::new());
        for conn in 0..6 {
            let password: &[u8] = if conn % 2 == 0 { b"good" } else { b"bad" };
            if logins.check(conn, 7, None, password) {
                asked.push((conn, 7, conn % 2 == 0));
            }
            ended.extend(logins.done());
            thread::yield_now();
        }
        while logins.pending > 0 {
            ended.extend(logins.done());
            thread::yield_now();
        }
        assert_eq!(ended, asked);
        assert!(asked.len() >= most && logins.done().is_none());
    }

    #[test]
    fn each_login_ends_once() {
        shuttle::check_random(|| ends_once(1, false), RUNS);
        shuttle::check_pct(|| ends_once(2, false), RUNS, 3);
    }

    #[test]
    #[should_panic(expected = "assertion")]
    fn a_planted_wrong_answer_is_seen() {
        shuttle::check_random(|| ends_once(2, true), 10);
    }

    /// The door goes first, with logins waiting and answers unread: the thread ends, or shuttle tells of a deadlock.
    #[test]
    fn a_door_that_goes_first_leaves_no_thread_behind() {
        let goes = |read: usize| {
            let mut logins = Logins::by(1, |_, _| true);
            for conn in 0..4 {
                logins.check(conn, 7, None, b"");
            }
            for _ in 0..read {
                logins.done();
            }
        };
        shuttle::check_random(move || goes(0), RUNS);
        shuttle::check_random(move || goes(2), RUNS);
    }
}

#[cfg(all(test, not(shuttle)))]
mod tests {
    use super::*;
    use argon2::password_hash::{PasswordHasher, SaltString};

    fn hash(password: &[u8], salt: &[u8]) -> String {
        let salt = SaltString::encode_b64(salt).unwrap();
        let cheap = argon2::Params::new(8, 1, 1, None).unwrap();
        let cheap = Argon2::new(argon2::Algorithm::Argon2id, argon2::Version::V0x13, cheap);
        cheap.hash_password(password, &salt).unwrap().to_string()
    }

    #[test]
    fn only_what_was_found_good_is_known_again() {
        let (mut good, a) = (Good::new(), hash(b"secret", b"0123456789abcdef"));
        assert!(!good.check(Some(&a), b"wrong") && !good.check(None, b"secret"));
        assert!(good.digests.is_empty());
        assert!(good.check(Some(&a), b"secret") && good.check(Some(&a), b"secret"));
        assert_eq!(good.digests.len(), 1);
        assert!(!good.check(Some(&a), b"wrong") && !good.check(None, b"secret"));
        // The user's hash was changed.
        let b = hash(b"other", b"0123456789abcdef");
        assert!(!good.check(Some(&b), b"secret"));
    }

    fn ends(logins: &mut Logins, count: usize) -> Vec<(usize, bool)> {
        let mut ends = Vec::new();
        for _ in 0..5_000 {
            ends.extend(logins.done().map(|(conn, _, good)| (conn, good)));
            if ends.len() == count {
                break;
            }
            thread::sleep(std::time::Duration::from_millis(1));
        }
        ends
    }

    /// The thread ended with the first check that panicked: its connection waited, and all later logins were refused for good.
    #[test]
    fn a_check_that_panics_is_a_login_that_failed() {
        let mut logins = Logins::by(4, |_, password| password != b"panic" || panic!("planted"));
        for (conn, password) in [b"good!", b"panic", b"again"].into_iter().enumerate() {
            assert!(logins.check(conn, 7, None, password));
        }
        assert_eq!(ends(&mut logins, 3), [(0, true), (1, false), (2, true)]);
        assert_eq!(logins.pending, 0);
    }

    /// The door that does not read its answers stops the thread, not itself; one that goes ends it.
    #[test]
    fn answers_that_nobody_reads_lose_no_login() {
        let mut logins = Logins::by(2, |_, _| true);
        let mut asked = 0;
        // Two that wait, two answers, and one in the hand of the thread.
        for _ in 0..20_000 {
            if asked == 5 {
                break;
            }
            asked += usize::from(logins.check(asked, 7, None, b""));
            thread::sleep(std::time::Duration::from_micros(500));
        }
        assert!(
            (0..100).all(|_| !logins.check(9, 7, None, b"")),
            "no more than that"
        );
        assert_eq!((asked, logins.pending), (5, 5));
        assert_eq!(ends(&mut logins, 5).len(), 5);
        assert!(logins.check(9, 7, None, b""));
    }

    #[test]
    fn no_more_than_the_bound_is_known() {
        let mut good = Good::new();
        good.digests = (0..KNOWN as u64)
            .map(|i| [i.to_be_bytes(); 4].concat().try_into().unwrap())
            .collect();
        assert!(good.check(Some(&hash(b"secret", b"0123456789abcdef")), b"secret"));
        assert_eq!(good.digests.len(), 1);
    }
}
