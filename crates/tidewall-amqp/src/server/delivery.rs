//! Consumers, deliveries and acknowledgements.
use super::*;

impl Server {
    pub(super) fn basic<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        ch: u16,
        method: u16,
        a: &mut Args,
    ) -> Done {
        let vhost = self.peers[conn].vhost;
        let Some(c) = self.peers[conn].channels.get_mut(&ch) else {
            return Ok(());
        };
        match method {
            10 => {
                let (size, count, global) = (a.long()?, a.short()?, a.bit()?);
                if size > 0 {
                    return Err(Fault::new(
                        code::NOT_IMPLEMENTED,
                        "prefetch by octets is not served",
                    ));
                }
                if global {
                    c.prefetch_all = count;
                } else {
                    c.prefetch = count;
                }
                self.say(o, conn, (ch, 60, 11), |m| m);
                self.stir_channel(conn, ch);
            }
            20 => return self.consume(o, conn, ch, a),
            30 => {
                let (tag, no_wait) = (a.short_str()?, a.bit()?);
                if c.reply_consumer.as_deref() == Some(tag) {
                    c.reply_consumer = None;
                }
                if let Some((queue, _)) = c.consumers.remove(tag) {
                    if self.brokers[vhost].cancel(queue, conn, ch, tag) {
                        self.delete_queue(o, vhost, queue, None);
                    }
                }
                if !no_wait {
                    self.say(o, conn, (ch, 60, 31), |m| m.short_str(tag));
                }
            }
            40 => {
                a.short()?;
                let (exchange, key) = (a.short_str()?, a.short_str()?);
                let (mandatory, immediate) = (a.bit()?, a.bit()?);
                if immediate {
                    return Err(Fault::new(code::NOT_IMPLEMENTED, "immediate is not served"));
                }
                c.content = Some(Content {
                    exchange: exchange.into(),
                    key: key.into(),
                    mandatory,
                    head: None,
                    body: Vec::new(),
                });
            }
            70 => {
                a.short()?;
                let (name, no_ack) = (a.short_str()?, a.bit()?);
                let queue = self.named(conn, ch, name)?;
                self.expire(o, vhost, queue);
                match self.brokers[vhost].pop(queue) {
                    None => self.say(o, conn, (ch, 60, 72), |m| m.short_str("")),
                    Some(message) => {
                        let left = self.brokers[vhost].queues[queue].ready.len() as u32;
                        let tag = self.hand_out(conn, ch, queue, "".into(), no_ack, &message);
                        let frame_max = self.peers[conn].frame_max;
                        self.out.clear();
                        let m = Out::method(&mut self.out, ch, 60, 71)
                            .long_long(tag)
                            .bit(message.redelivered);
                        m.short_str(&message.exchange)
                            .short_str(&message.key)
                            .long(left)
                            .end();
                        codec::content(
                            &mut self.out,
                            ch,
                            &message.properties,
                            &message.body,
                            frame_max,
                        );
                        self.write(o, conn);
                    }
                }
            }
            80 | 120 => {
                let (tag, multiple) = (a.long_long()?, a.bit()?);
                let requeue = if method == 120 { Some(a.bit()?) } else { None };
                self.acked(o, conn, ch, tag, multiple, requeue)?;
            }
            90 => {
                let (tag, requeue) = (a.long_long()?, a.bit()?);
                self.acked(o, conn, ch, tag, false, Some(requeue))?;
            }
            100 | 110 => {
                let requeue = a.bit()?;
                if !requeue {
                    return Err(Fault::new(
                        code::NOT_IMPLEMENTED,
                        "recover goes by way of the queue",
                    ));
                }
                let unacked = std::mem::take(&mut c.unacked);
                unacked
                    .into_iter()
                    .rev()
                    .for_each(|u| self.put_back(vhost, u));
                if method == 110 {
                    self.say(o, conn, (ch, 60, 111), |m| m);
                }
            }
            _ => return Err(Fault::new(code::COMMAND_INVALID, "the method is unknown")),
        }
        Ok(())
    }

    pub(super) fn consume<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        ch: u16,
        a: &mut Args,
    ) -> Done {
        let vhost = self.peers[conn].vhost;
        a.short()?;
        let (name, tag) = (a.short_str()?, a.short_str()?);
        let (_no_local, no_ack, exclusive, no_wait) = (a.bit()?, a.bit()?, a.bit()?, a.bit()?);
        a.table()?;
        let Some(c) = self.peers[conn].channels.get_mut(&ch) else {
            return Ok(());
        };
        c.named += 1;
        let tag: Rc<str> = if tag.is_empty() {
            format!("ctag-{ch}-{}", c.named).into()
        } else {
            tag.into()
        };
        if c.consumers.contains_key(&tag) || c.reply_consumer.as_ref() == Some(&tag) {
            return Err(Fault::new(
                code::NOT_ALLOWED,
                format!("consumer tag '{tag}' is in use"),
            ));
        }
        if name == DIRECT {
            if !no_ack || c.reply_consumer.is_some() {
                return Err(Fault::new(
                    code::PRECONDITION_FAILED,
                    "direct replies are consumed once, without acks",
                ));
            }
            c.reply_consumer = Some(tag.clone());
        } else {
            let prefetch = c.prefetch;
            let queue = self.named(conn, ch, name)?;
            let consumer = Consumer {
                conn,
                channel: ch,
                tag: tag.clone(),
                no_ack,
                exclusive,
            };
            self.brokers[vhost].consume(queue, consumer)?;
            if let Some(c) = self.peers[conn].channels.get_mut(&ch) {
                c.consumers.insert(tag.clone(), (queue, prefetch));
            }
            self.stirred.push((vhost, queue));
        }
        if !no_wait {
            self.say(o, conn, (ch, 60, 21), |m| m.short_str(&tag));
        }
        Ok(())
    }

    /// Gives a message its delivery tag, and keeps it where an ack is due.
    pub(super) fn hand_out(
        &mut self,
        conn: usize,
        ch: u16,
        queue: usize,
        tag: Rc<str>,
        no_ack: bool,
        m: &Message,
    ) -> u64 {
        let p = &mut self.peers[conn];
        let name = self.brokers[p.vhost].queues[queue].name.clone();
        let Some(c) = p.channels.get_mut(&ch) else {
            return 0;
        };
        c.next_tag += 1;
        if !no_ack {
            c.unacked.push_back(Unacked {
                tag: c.next_tag,
                queue,
                name,
                consumer: tag,
                message: m.clone(),
            });
        }
        c.next_tag
    }

    pub(super) fn acked<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        ch: u16,
        tag: u64,
        multiple: bool,
        requeue: Option<bool>,
    ) -> Done {
        let vhost = self.peers[conn].vhost;
        let Some(c) = self.peers[conn].channels.get_mut(&ch) else {
            return Ok(());
        };
        // Multiple with tag 0 means all.
        let known = if tag == 0 && multiple {
            !c.unacked.is_empty()
        } else {
            c.unacked.iter().any(|u| u.tag == tag)
        };
        if !(known || tag == 0 && multiple) {
            return Err(Fault::new(
                code::PRECONDITION_FAILED,
                format!("delivery tag {tag} is unknown"),
            ));
        }
        let upto = if tag == 0 { u64::MAX } else { tag };
        let (done, kept): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut c.unacked).into_iter().partition(|u| {
                if multiple {
                    u.tag <= upto
                } else {
                    u.tag == tag
                }
            });
        c.unacked = kept;
        for u in done.into_iter().rev() {
            match requeue {
                Some(true) => self.put_back(vhost, u),
                Some(false) => self.dead_letter(o, vhost, u.queue, &u.name, u.message, "rejected"),
                None => {}
            }
        }
        self.stir_channel(conn, ch);
        Ok(())
    }

    pub(super) fn put_back(&mut self, vhost: usize, u: Unacked) {
        let same = self.brokers[vhost]
            .queues
            .get(u.queue)
            .is_some_and(|q| q.name == u.name);
        if same {
            self.brokers[vhost].put_back(u.queue, u.message);
            self.stirred.push((vhost, u.queue));
        }
    }

    /// Straight to the channel that asked, if it still is the same.
    pub(super) fn direct<O: Outside>(
        &mut self,
        o: &mut O,
        reply_to: &str,
        message: &Message,
    ) -> bool {
        let mut parts = reply_to.rsplit('.');
        let mut number = || {
            parts
                .next()
                .and_then(|p| p.parse::<u64>().ok())
                .unwrap_or(u64::MAX)
        };
        let (count, ch, conn) = (number(), number() as u16, number() as usize);
        let Some(p) = self.peers.get_mut(conn) else {
            return false;
        };
        let frame_max = p.frame_max;
        let Some(c) = p.channels.get_mut(&ch).filter(|c| c.count == count) else {
            return false;
        };
        let Some(tag) = c.reply_consumer.clone() else {
            return false;
        };
        c.next_tag += 1;
        let delivery = c.next_tag;
        self.deliver(o, conn, ch, &tag, delivery, message, frame_max);
        true
    }

    #[allow(clippy::too_many_arguments)] // the fields of basic.deliver
    pub(super) fn deliver<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        ch: u16,
        tag: &str,
        delivery: u64,
        m: &Message,
        frame_max: u32,
    ) {
        self.out.clear();
        let f = Out::method(&mut self.out, ch, 60, 60)
            .short_str(tag)
            .long_long(delivery);
        f.bit(m.redelivered)
            .short_str(&m.exchange)
            .short_str(&m.key)
            .end();
        codec::content(&mut self.out, ch, &m.properties, &m.body, frame_max);
        self.write(o, conn);
    }

    /// What waited for a connection has left: its consumers may be fed again.
    pub fn drained<O: Outside>(&mut self, o: &mut O, conn: usize) {
        let channels: Vec<u16> = self
            .peers
            .get(conn)
            .map_or(Vec::new(), |p| p.channels.keys().copied().collect());
        channels
            .into_iter()
            .for_each(|ch| self.stir_channel(conn, ch));
        self.settle(o);
    }

    /// Feeds consumers, round robin, as far as their bounds allow; then sends the confirms together.
    pub fn settle<O: Outside>(&mut self, o: &mut O) {
        while let Some((vhost, queue)) = self.stirred.pop() {
            if !self.brokers[vhost].queues.contains(queue) {
                continue;
            }
            self.expire(o, vhost, queue);
            while let Some(consumer) = self.next_consumer(o, vhost, queue) {
                let Some(message) = self.brokers[vhost].pop(queue) else {
                    break;
                };
                let Consumer {
                    conn,
                    channel,
                    tag,
                    no_ack,
                    ..
                } = consumer;
                let delivery = self.hand_out(conn, channel, queue, tag.clone(), no_ack, &message);
                let frame_max = self.peers[conn].frame_max;
                self.deliver(o, conn, channel, &tag, delivery, &message, frame_max);
            }
        }
        self.flush_confirms(o);
    }

    /// The next consumer in turn that may take one more; none where nothing is ready.
    pub(super) fn next_consumer<O: Outside>(
        &mut self,
        o: &O,
        vhost: usize,
        queue: usize,
    ) -> Option<Consumer> {
        let q = &mut self.brokers[vhost].queues[queue];
        if q.ready.is_empty() {
            return None;
        }
        for _ in 0..q.consumers.len() {
            q.consumers.rotate_left(1);
            let consumer = q.consumers.back()?;
            let Some(p) = self.peers.get(consumer.conn).filter(|p| o.room(p.link)) else {
                continue;
            };
            let Some(c) = p.channels.get(&consumer.channel) else {
                continue;
            };
            let own = c
                .unacked
                .iter()
                .filter(|u| u.consumer == consumer.tag)
                .count();
            let most = c.consumers.get(&consumer.tag).map_or(0, |q| q.1);
            let room = (most == 0 || own < usize::from(most))
                && (c.prefetch_all == 0 || c.unacked.len() < usize::from(c.prefetch_all));
            if !c.flow_off && !c.closing && (consumer.no_ack || room) {
                return Some(consumer.clone());
            }
        }
        None
    }
}
