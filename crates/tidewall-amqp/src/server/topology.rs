//! Methods of the classes exchange and queue.
use super::*;

impl Server {
    pub(super) fn exchange<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        ch: u16,
        method: u16,
        a: &mut Args,
    ) -> Done {
        let broker = &mut self.brokers[self.peers[conn].vhost];
        let (no_wait, reply) = match method {
            10 => {
                a.short()?;
                let (name, kind) = (a.short_str()?, a.short_str()?);
                let (passive, durable, auto_delete, internal, no_wait) =
                    (a.bit()?, a.bit()?, a.bit()?, a.bit()?, a.bit()?);
                a.table()?;
                broker.declare_exchange(name, kind, passive, (durable, auto_delete, internal))?;
                (no_wait, 11)
            }
            20 => {
                a.short()?;
                let (name, if_unused, no_wait) = (a.short_str()?, a.bit()?, a.bit()?);
                broker.delete_exchange(name, if_unused)?;
                (no_wait, 21)
            }
            30 | 40 => {
                return Err(Fault::new(
                    code::NOT_IMPLEMENTED,
                    "exchanges are not bound to exchanges",
                ))
            }
            _ => return Err(Fault::new(code::COMMAND_INVALID, "the method is unknown")),
        };
        if !no_wait {
            self.say(o, conn, (ch, 40, reply), |m| m);
        }
        Ok(())
    }

    /// An empty name means the channel's last queue (50, queue-name).
    pub(super) fn named(&self, conn: usize, ch: u16, name: &str) -> Result<usize, Fault> {
        let p = &self.peers[conn];
        let last = &p.channels[&ch].last_queue;
        if name.is_empty() && last.is_empty() {
            return Err(Fault::new(
                code::NOT_FOUND,
                "no queue was declared on this channel",
            ));
        }
        self.brokers[p.vhost].queue(conn, if name.is_empty() { last } else { name })
    }

    pub(super) fn queue<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        ch: u16,
        method: u16,
        a: &mut Args,
    ) -> Done {
        let vhost = self.peers[conn].vhost;
        a.short()?;
        match method {
            10 => {
                let name = a.short_str()?;
                let (passive, durable, exclusive, auto_delete, no_wait) =
                    (a.bit()?, a.bit()?, a.bit()?, a.bit()?, a.bit()?);
                let table = a.table()?;
                let text = |v: Option<Value>| match v {
                    Some(Value::Text(t)) => String::from_utf8(t.to_vec()).ok(),
                    _ => None,
                };
                let ttl = match table.get("x-message-ttl") {
                    None => None,
                    Some(Value::Whole(v)) if v >= 0 => Some(v as u64),
                    Some(Value::Unsigned(v)) => Some(v),
                    Some(_) => {
                        return Err(Fault::new(
                            code::PRECONDITION_FAILED,
                            "x-message-ttl is no time",
                        ))
                    }
                };
                let spec = QueueSpec {
                    durable,
                    exclusive,
                    auto_delete,
                    dead_letters: text(table.get("x-dead-letter-exchange")),
                    // Milliseconds; the longest that a time here can hold is far beyond any use.
                    ttl: ttl.map(|ms| ms.min(1 << 40) * 10),
                };
                let last = self.peers[conn].channels[&ch].last_queue.clone();
                let name = if name.is_empty() && passive {
                    last
                } else {
                    name.to_string()
                };
                let broker = &mut self.brokers[vhost];
                let queue = broker.declare_queue(conn, &name, passive, &spec)?;
                let q = &broker.queues[queue];
                let (name, ready, consumers) = (
                    q.name.clone(),
                    q.ready.len() as u32,
                    q.consumers.len() as u32,
                );
                if let Some(c) = self.peers[conn].channels.get_mut(&ch) {
                    c.last_queue = name.to_string();
                }
                if !no_wait {
                    self.say(o, conn, (ch, 50, 11), |m| {
                        m.short_str(&name).long(ready).long(consumers)
                    });
                }
            }
            20 | 50 => {
                let (name, exchange, key) = (a.short_str()?, a.short_str()?, a.short_str()?);
                let no_wait = if method == 20 { a.bit()? } else { false };
                a.table()?;
                let queue = self.named(conn, ch, name)?;
                self.brokers[vhost].bind(queue, exchange, key, method == 20)?;
                if !no_wait {
                    self.say(o, conn, (ch, 50, method + 1), |m| m);
                }
            }
            30 => {
                let (name, no_wait) = (a.short_str()?, a.bit()?);
                let queue = self.named(conn, ch, name)?;
                let count = self.brokers[vhost].purge(queue) as u32;
                if !no_wait {
                    self.say(o, conn, (ch, 50, 31), |m| m.long(count));
                }
            }
            40 => {
                let (name, if_unused, if_empty, no_wait) =
                    (a.short_str()?, a.bit()?, a.bit()?, a.bit()?);
                let queue = match self.named(conn, ch, name) {
                    // Deleting what is not there is no error.
                    Err(f) if f.code == code::NOT_FOUND => usize::MAX,
                    other => other?,
                };
                let mut count = 0;
                if let Some(q) = self.brokers[vhost].queues.get(queue) {
                    if if_unused && !q.consumers.is_empty() || if_empty && !q.ready.is_empty() {
                        return Err(Fault::new(
                            code::PRECONDITION_FAILED,
                            "the queue is in use or not empty",
                        ));
                    }
                    count = self.delete_queue(o, vhost, queue, Some((conn, ch))) as u32;
                }
                if !no_wait {
                    self.say(o, conn, (ch, 50, 41), |m| m.long(count));
                }
            }
            _ => return Err(Fault::new(code::COMMAND_INVALID, "the method is unknown")),
        }
        Ok(())
    }

    /// Its consumers are told by a cancel of the server's.
    pub(super) fn delete_queue<O: Outside>(
        &mut self,
        o: &mut O,
        vhost: usize,
        queue: usize,
        by: Option<(usize, u16)>,
    ) -> usize {
        let (count, consumers) = self.brokers[vhost].delete_queue(queue);
        for c in consumers {
            let channel = self
                .peers
                .get_mut(c.conn)
                .and_then(|p| p.channels.get_mut(&c.channel));
            if let Some(channel) = channel {
                channel.consumers.remove(&c.tag);
                if by != Some((c.conn, c.channel)) {
                    self.say(o, c.conn, (c.channel, 60, 30), |m| {
                        m.short_str(&c.tag).bit(true)
                    });
                }
            }
        }
        count
    }
}
