//! Passwords are checked on a thread of their own: argon2 is slow on purpose, and a storm of logins must not stop
//! events. The thread ends with its door.
use argon2::{Argon2, PasswordHash, PasswordVerifier};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TryRecvError};
use std::thread;

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

impl Logins {
    pub fn new(most: usize) -> Logins {
        let (ask, asked) = sync_channel::<Ask>(most);
        let (tell, told) = sync_channel(most);
        thread::spawn(move || {
            for a in asked {
                let hash = a.hash.as_deref().unwrap_or(NOBODY);
                let good = PasswordHash::new(hash)
                    .is_ok_and(|hash| Argon2::default().verify_password(&a.password, &hash).is_ok());
                if tell.send((a.conn, a.link, good && a.hash.is_some())).is_err() {
                    return;
                }
            }
        });
        Logins { ask, told, pending: 0 }
    }

    /// False where too many wait already.
    pub fn check(&mut self, conn: usize, link: u64, hash: Option<String>, password: &[u8]) -> bool {
        let asked = self.ask.try_send(Ask { conn, link, hash, password: password.to_vec() }).is_ok();
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
