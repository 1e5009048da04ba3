//! Passwords are checked on a separate thread: argon2 is slow by design, and many logins at once must not
//! delay requests. A login that succeeded is recognized by a keyed digest, so that clients which all
//! reconnect at once (after a takeover, for example) wait for one argon2 check and not for one each. The
//! thread ends when its [`Logins`] is dropped.
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

/// A password to check.
struct LoginRequest {
    connection: usize,
    transport: u64,
    /// The user's argon2 hash; none for an unknown user.
    hash: Option<String>,
    password: Vec<u8>,
}

/// The logins that are being checked.
pub struct Logins {
    requests: SyncSender<LoginRequest>,
    /// Connection, transport and whether the password is right.
    results: Receiver<(usize, u64, bool)>,
    /// Logins that were submitted and whose results were not taken yet.
    pub pending: usize,
}

/// A hash that no password has. It is checked for an unknown user, so that the time taken does not reveal
/// which users exist.
const UNKNOWN_USER_HASH: &str =
    "$argon2id$v=19$m=19456,t=2,p=1$AAAAAAAAAAAAAAAAAAAAAA$AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA";

/// Limit of the digests of successful logins: more than a site has users. At the limit all are dropped, and
/// each login is checked by argon2 again.
const MAX_VERIFIED_LOGINS: usize = 1_024;

/// Digests of successful logins, under a random key that only this process has: neither a password nor
/// anything that is of use outside this process is stored. The digest covers the user's hash, so a changed
/// hash makes a login unknown again.
struct VerifiedLogins {
    key: [u8; 32],
    digests: BTreeSet<[u8; 32]>,
}

impl VerifiedLogins {
    fn new() -> VerifiedLogins {
        let mut key = [0; 32];
        OsRng.fill_bytes(&mut key);
        VerifiedLogins {
            key,
            digests: BTreeSet::new(),
        }
    }

    fn digest(&self, hash: &str, password: &[u8]) -> [u8; 32] {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.key).expect("HMAC accepts keys of any length");
        // Without the length, another split of the same bytes into hash and password would have the same
        // digest.
        mac.update(&(hash.len() as u64).to_be_bytes());
        mac.update(hash.as_bytes());
        mac.update(password);
        mac.finalize().into_bytes().into()
    }

    /// Whether the password is right. For an unknown user or a wrong password argon2 always runs in full.
    fn check(&mut self, hash: Option<&str>, password: &[u8]) -> bool {
        let digest = hash.map(|hash| self.digest(hash, password));
        if digest.is_some_and(|d| self.digests.contains(&d)) {
            return true;
        }
        let good = PasswordHash::new(hash.unwrap_or(UNKNOWN_USER_HASH))
            .is_ok_and(|hash| Argon2::default().verify_password(password, &hash).is_ok());
        let Some(digest) = digest.filter(|_| good) else {
            return false;
        };
        if self.digests.len() >= MAX_VERIFIED_LOGINS {
            self.digests.clear();
        }
        self.digests.insert(digest);
        true
    }
}

impl Logins {
    /// Starts the thread; at most `max_waiting` logins wait for it.
    pub fn new(max_waiting: usize) -> Logins {
        let mut verified = VerifiedLogins::new();
        Logins::with_check(max_waiting, move |hash, password| {
            verified.check(hash, password)
        })
    }

    /// Starts the thread with this check. A check that panics counts as a failed login, so its connection
    /// gets a result and the thread goes on with the next login.
    fn with_check(
        max_waiting: usize,
        mut check: impl FnMut(Option<&str>, &[u8]) -> bool + Send + 'static,
    ) -> Logins {
        let (requests, request_receiver) = sync_channel::<LoginRequest>(max_waiting);
        let (result_sender, results) = sync_channel(max_waiting);
        thread::spawn(move || {
            for request in request_receiver {
                let good = catch_unwind(AssertUnwindSafe(|| {
                    check(request.hash.as_deref(), &request.password)
                }));
                let good = good.unwrap_or(false);
                if result_sender
                    .send((request.connection, request.transport, good))
                    .is_err()
                {
                    return;
                }
            }
        });
        Logins {
            requests,
            results,
            pending: 0,
        }
    }

    /// Submits a password to the thread; false if too many logins are waiting already.
    pub fn submit(
        &mut self,
        connection: usize,
        transport: u64,
        hash: Option<String>,
        password: &[u8],
    ) -> bool {
        let submitted = self
            .requests
            .try_send(LoginRequest {
                connection,
                transport,
                hash,
                password: password.to_vec(),
            })
            .is_ok();
        self.pending += usize::from(submitted);
        submitted
    }

    /// The next result, if there is one: connection, transport and whether the password is right.
    pub fn try_result(&mut self) -> Option<(usize, u64, bool)> {
        match self.results.try_recv() {
            Ok(result) => {
                self.pending -= 1;
                Some(result)
            }
            Err(TryRecvError::Empty | TryRecvError::Disconnected) => None,
        }
    }
}

/// Runs the code above on the primitives of shuttle: each run is another interleaving of the ingress's thread
/// and the thread that checks passwords.
#[cfg(all(test, shuttle))]
mod orderings {
    use super::*;

    const RUNS: usize = 20_000;

    /// In every interleaving each submitted login gets its own result exactly once, and none stays pending.
    fn ends_once(max_waiting: usize, swap: bool) {
        let mut logins = Logins::with_check(max_waiting, move |_, password| {
            (password == b"good") != swap
        });
        let (mut submitted, mut results) = (Vec::new(), Vec::new());
        for connection in 0..6 {
            let password: &[u8] = if connection % 2 == 0 { b"good" } else { b"bad" };
            if logins.submit(connection, 7, None, password) {
                submitted.push((connection, 7, connection % 2 == 0));
            }
            results.extend(logins.try_result());
            thread::yield_now();
        }
        while logins.pending > 0 {
            results.extend(logins.try_result());
            thread::yield_now();
        }
        assert_eq!(results, submitted);
        assert!(submitted.len() >= max_waiting && logins.try_result().is_none());
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

    /// `Logins` is dropped while logins wait and results are unread: shuttle reports a deadlock if the thread
    /// does not end.
    #[test]
    fn a_door_that_goes_first_leaves_no_thread_behind() {
        let drop_after = |taken: usize| {
            let mut logins = Logins::with_check(1, |_, _| true);
            for connection in 0..4 {
                logins.submit(connection, 7, None, b"");
            }
            for _ in 0..taken {
                logins.try_result();
            }
        };
        shuttle::check_random(move || drop_after(0), RUNS);
        shuttle::check_random(move || drop_after(2), RUNS);
    }
}

#[cfg(all(test, not(shuttle)))]
mod tests {
    use super::*;
    use argon2::password_hash::{PasswordHasher, SaltString};

    fn hash(password: &[u8], salt: &[u8]) -> String {
        let salt = SaltString::encode_b64(salt).unwrap();
        let params = argon2::Params::new(8, 1, 1, None).unwrap();
        let argon2 = Argon2::new(argon2::Algorithm::Argon2id, argon2::Version::V0x13, params);
        argon2.hash_password(password, &salt).unwrap().to_string()
    }

    #[test]
    fn only_successful_logins_are_recognized() {
        let (mut verified, first_hash) =
            (VerifiedLogins::new(), hash(b"secret", b"0123456789abcdef"));
        assert!(!verified.check(Some(&first_hash), b"wrong") && !verified.check(None, b"secret"));
        assert!(verified.digests.is_empty());
        assert!(
            verified.check(Some(&first_hash), b"secret")
                && verified.check(Some(&first_hash), b"secret")
        );
        assert_eq!(verified.digests.len(), 1);
        assert!(!verified.check(Some(&first_hash), b"wrong") && !verified.check(None, b"secret"));
        // The user's hash has changed.
        let changed_hash = hash(b"other", b"0123456789abcdef");
        assert!(!verified.check(Some(&changed_hash), b"secret"));
    }

    fn results(logins: &mut Logins, count: usize) -> Vec<(usize, bool)> {
        let mut results = Vec::new();
        for _ in 0..5_000 {
            results.extend(
                logins
                    .try_result()
                    .map(|(connection, _, good)| (connection, good)),
            );
            if results.len() == count {
                break;
            }
            thread::sleep(std::time::Duration::from_millis(1));
        }
        results
    }

    /// Guards against the thread ending with the first check that panics: its connection would wait for ever,
    /// and every later login would be refused.
    #[test]
    fn a_check_that_panics_is_a_failed_login() {
        let mut logins =
            Logins::with_check(4, |_, password| password != b"panic" || panic!("planted"));
        for (connection, password) in [b"good!", b"panic", b"again"].into_iter().enumerate() {
            assert!(logins.submit(connection, 7, None, password));
        }
        assert_eq!(results(&mut logins, 3), [(0, true), (1, false), (2, true)]);
        assert_eq!(logins.pending, 0);
    }

    /// Results that are not taken block the thread and not the caller, and no submitted login is lost.
    #[test]
    fn results_that_are_not_taken_lose_no_login() {
        let mut logins = Logins::with_check(2, |_, _| true);
        let mut submitted = 0;
        // Two logins in the queue, two results, and one login that the thread is checking.
        for _ in 0..20_000 {
            if submitted == 5 {
                break;
            }
            submitted += usize::from(logins.submit(submitted, 7, None, b""));
            thread::sleep(std::time::Duration::from_micros(500));
        }
        assert!(
            (0..100).all(|_| !logins.submit(9, 7, None, b"")),
            "no more logins are accepted"
        );
        assert_eq!((submitted, logins.pending), (5, 5));
        assert_eq!(results(&mut logins, 5).len(), 5);
        assert!(logins.submit(9, 7, None, b""));
    }

    #[test]
    fn the_number_of_digests_is_bounded() {
        let mut verified = VerifiedLogins::new();
        verified.digests = (0..MAX_VERIFIED_LOGINS as u64)
            .map(|i| [i.to_be_bytes(); 4].concat().try_into().unwrap())
            .collect();
        assert!(verified.check(Some(&hash(b"secret", b"0123456789abcdef")), b"secret"));
        assert_eq!(verified.digests.len(), 1);
    }
}
