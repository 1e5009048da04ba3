//! Connection negotiation (class connection) and the end of a connection.
use super::*;

impl Server {
    pub(super) fn start<O: Outside>(&mut self, o: &mut O, conn: usize) {
        self.peers[conn].state = State::Start;
        let mut can = TableOut::default();
        for name in [
            "publisher_confirms",
            "basic.nack",
            "connection.blocked",
            "consumer_cancel_notify",
        ] {
            can.flag(name, true);
        }
        let mut about = TableOut::default();
        about.text("product", "tidewall");
        about.table("capabilities", &can.0);
        self.say(o, conn, (0, 10, 10), |m| {
            m.octet(0)
                .octet(9)
                .long_str(&about.0)
                .long_str(b"PLAIN")
                .long_str(b"en_US")
        });
    }

    pub(super) fn connection<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        method: u16,
        a: &mut Args,
    ) -> Done {
        let p = &mut self.peers[conn];
        match (p.state, method) {
            (State::Start, 11) => {
                let about = a.table()?;
                let (mechanism, response, _locale) =
                    (a.short_str()?, a.long_str()?, a.short_str()?);
                if mechanism != "PLAIN" {
                    return Err(Fault::new(
                        code::ACCESS_REFUSED,
                        format!("mechanism '{mechanism}' is not offered"),
                    ));
                }
                if let Some(Value::Table(can)) = about.get("capabilities") {
                    p.can_block = can.get("connection.blocked") == Some(Value::Flag(true));
                }
                // RFC 4616: who to act for, who it is, password, with a zero octet between them.
                let mut parts = response.splitn(3, |b| *b == 0);
                let (_, user, password) = (parts.next(), parts.next(), parts.next());
                let user = user.and_then(|u| std::str::from_utf8(u).ok());
                let (Some(user), Some(password)) = (user, password) else {
                    return Err(Fault::new(
                        code::SYNTAX_ERROR,
                        "the PLAIN response is malformed",
                    ));
                };
                p.state = State::Checking;
                p.user = user.to_string();
                o.check(conn, user, password);
                Ok(())
            }
            (State::Tune, 31) => {
                let (channels, frame, heartbeat) = (a.short()?, a.long()?, a.short()?);
                let most = |asked: u64, ours: u64| if asked == 0 { ours } else { asked.min(ours) };
                if frame > 0 && frame < codec::FRAME_MIN || frame > self.limits.frame_max {
                    return Err(Fault::new(
                        code::SYNTAX_ERROR,
                        format!("frame-max {frame} was not offered"),
                    ));
                }
                p.channel_max =
                    most(u64::from(channels), u64::from(self.limits.channel_max)) as u16;
                p.frame_max = most(u64::from(frame), u64::from(self.limits.frame_max)) as u32;
                p.heartbeat = Time::from(heartbeat) * 10_000;
                p.state = State::Open;
                Ok(())
            }
            (State::Open, 40) => {
                let vhost = a.short_str()?;
                let known = self.limits.vhosts.iter().position(|v| v == vhost);
                p.vhost = known.ok_or_else(|| {
                    Fault::new(code::NOT_ALLOWED, format!("no virtual host '{vhost}'"))
                })?;
                p.state = State::Running;
                self.say(o, conn, (0, 10, 41), |m| m.octet(0));
                Ok(())
            }
            (_, 50) => {
                self.say(o, conn, (0, 10, 51), |m| m);
                o.close(self.peers[conn].link);
                self.gone(conn);
                Ok(())
            }
            (_, 51) => Ok(()),
            (State::Running, 70) => {
                Err(Fault::new(code::NOT_IMPLEMENTED, "secrets are not renewed"))
            }
            _ => Err(Fault::new(
                code::COMMAND_INVALID,
                format!("connection method {method} is out of its turn"),
            )),
        }
    }

    /// The password was checked.
    pub fn checked<O: Outside>(&mut self, o: &mut O, conn: usize, link: u64, good: bool) {
        let Some(p) = self.peers.get_mut(conn) else {
            return;
        };
        if p.link != link || p.state != State::Checking {
            return; // it left meanwhile
        }
        if !good {
            let fault = Fault {
                class: 10,
                method: 11,
                ..Fault::new(code::ACCESS_REFUSED, "login refused")
            };
            return self.exception(o, conn, 0, fault);
        }
        p.state = State::Tune;
        let Limits {
            channel_max,
            frame_max,
            heartbeat,
            ..
        } = self.limits;
        self.say(o, conn, (0, 10, 30), |m| {
            m.short(channel_max).long(frame_max).short(heartbeat)
        });
    }

    /// The connection is no more. What it published goes on, and is answered where its reply queue stands.
    pub fn gone(&mut self, conn: usize) {
        if self.peers.contains(conn) {
            self.end_channels(conn);
            self.peers.remove(conn);
        }
    }

    /// Holds a connection's publishing back, or lets it go on, where it can be told so.
    pub fn block<O: Outside>(&mut self, o: &mut O, conn: usize, on: bool, reason: &str) {
        let Some(p) = self.peers.get_mut(conn) else {
            return;
        };
        if p.state != State::Running || p.blocked == on {
            return;
        }
        p.blocked = on;
        if p.can_block && on {
            self.say(o, conn, (0, 10, 60), |m| m.short_str(reason));
        } else if p.can_block {
            self.say(o, conn, (0, 10, 61), |m| m);
        }
    }
}
