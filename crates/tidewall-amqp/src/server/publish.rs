//! Content that clients publish.
use super::*;

impl Server {
    /// To all queues that it reaches; gives back how many. An unknown exchange reaches none.
    pub(super) fn publish(&mut self, vhost: usize, exchange: &str, message: Message) -> usize {
        let now = self.now;
        let broker = &mut self.brokers[vhost];
        let queues = broker
            .route(exchange, &message.key)
            .map(<[usize]>::to_vec)
            .unwrap_or_default();
        for queue in &queues {
            broker.push(*queue, now, message.clone());
            self.stirred.push((vhost, *queue));
        }
        queues.len()
    }

    pub(super) fn header<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        ch: u16,
        payload: &[u8],
    ) -> Done {
        let p = &mut self.peers[conn];
        let unexpected = || {
            Fault::new(
                code::UNEXPECTED_FRAME,
                "a content header without its method",
            )
        };
        let Some(c) = p.channels.get_mut(&ch) else {
            return Err(Fault::new(
                code::CHANNEL_ERROR,
                format!("channel {ch} is not open"),
            ));
        };
        if c.closing {
            return Ok(());
        }
        let content = c
            .content
            .as_mut()
            .filter(|c| c.head.is_none())
            .ok_or_else(unexpected)?;
        let (class, size, _, raw) = codec::header(payload).map_err(|f| Fault {
            class: 60,
            method: 40,
            ..f
        })?;
        if class != 60 {
            return Err(Fault::new(
                code::FRAME_ERROR,
                format!("a header of class {class} behind basic.publish"),
            ));
        }
        if size > self.limits.body_max {
            let text = format!("a body of {size} octets is over {}", self.limits.body_max);
            return Err(Fault {
                class: 60,
                method: 40,
                ..Fault::new(code::CONTENT_TOO_LARGE, text)
            });
        }
        content.head = Some((size, raw.into()));
        if size == 0 {
            self.whole(o, conn, ch)
        } else {
            Ok(())
        }
    }

    pub(super) fn body<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        ch: u16,
        payload: &[u8],
    ) -> Done {
        let p = &mut self.peers[conn];
        let Some(c) = p.channels.get_mut(&ch) else {
            return Err(Fault::new(
                code::CHANNEL_ERROR,
                format!("channel {ch} is not open"),
            ));
        };
        if c.closing {
            return Ok(());
        }
        let content = c
            .content
            .as_mut()
            .and_then(|c| Some((c.head.as_ref()?.0, &mut c.body)));
        let Some((size, body)) = content else {
            return Err(Fault::new(
                code::UNEXPECTED_FRAME,
                "a body without its header",
            ));
        };
        // Room is made for what has come, never for what was only announced.
        body.extend_from_slice(payload);
        match (body.len() as u64).cmp(&size) {
            std::cmp::Ordering::Less => Ok(()),
            std::cmp::Ordering::Equal => self.whole(o, conn, ch),
            std::cmp::Ordering::Greater => Err(Fault::new(
                code::UNEXPECTED_FRAME,
                "the body is longer than its header told",
            )),
        }
    }

    /// A content is complete: it is published.
    pub(super) fn whole<O: Outside>(&mut self, o: &mut O, conn: usize, ch: u16) -> Done {
        let fail = |f: Fault| Fault {
            class: 60,
            method: 40,
            ..f
        };
        let now = self.now;
        let (vhost, link) = (self.peers[conn].vhost, self.peers[conn].link);
        let Some(c) = self.peers[conn].channels.get_mut(&ch) else {
            return Ok(());
        };
        let Some(Content {
            exchange,
            key,
            mandatory,
            head: Some((_, raw)),
            body,
        }) = c.content.take()
        else {
            return Ok(());
        };
        let (count, named) = (c.count, c.reply_consumer.is_some());
        let mut seq = 0;
        if c.confirm {
            c.published += 1;
            seq = c.published;
            c.out.insert(seq);
        }
        let properties = codec::properties(&mut Args::new(&raw)).map_err(fail)?;
        let expiration = match properties.expiration {
            "" => None,
            text => {
                let ms = text.parse::<u64>().map_err(|_| {
                    fail(Fault::new(
                        code::PRECONDITION_FAILED,
                        format!("expiration '{text}' is no time"),
                    ))
                })?;
                Some(now + ms.min(1 << 40) * 10)
            }
        };
        if !properties.user_id.is_empty() && properties.user_id != self.peers[conn].user {
            return Err(fail(Fault::new(
                code::PRECONDITION_FAILED,
                "user-id is not who logged in",
            )));
        }
        let message = Message {
            exchange: exchange.clone(),
            key,
            properties: raw.clone(),
            body: body.into(),
            priority: properties.priority,
            expires: expiration,
            redelivered: false,
        };
        if self.brokers[vhost].is_trigger(&exchange) {
            let mut reply_to = properties.reply_to.to_string();
            if reply_to == DIRECT {
                if !named {
                    let text = "direct replies are asked for, and nobody consumes them";
                    return Err(fail(Fault::new(code::PRECONDITION_FAILED, text)));
                }
                reply_to = format!("{DIRECT}.{conn}.{ch}.{count}");
            }
            let waiting = Waiting {
                conn,
                link,
                channel: ch,
                count,
                seq,
                reply_to,
                vhost,
                message: message.clone(),
                correlation_id: properties.correlation_id.to_string(),
            };
            let ticket = self.waiting.insert(waiting) as u64;
            self.peers[conn].debts += 1;
            let resent = matches!(
                properties.headers.and_then(|h| h.get("x-redelivered")),
                Some(Value::Flag(true))
            );
            let user = self.peers[conn].user.clone();
            let (key, body) = (message.key.clone(), message.body.clone());
            let trigger = Trigger {
                user: &user,
                key: &key,
                properties: &properties,
                redelivered: resent,
                body: &body,
            };
            if let Err((word, reason)) = o.take(ticket, &trigger) {
                self.answered(o, ticket, word, 0, reason, &[]);
            }
            return Ok(());
        }
        if self.queued() + message.weight() > self.limits.queued_most {
            // Nothing is dropped in silence: with confirms it is refused, else the channel ends.
            if seq > 0 {
                self.confirm(conn, link, ch, count, seq, false, o);
                return Ok(());
            }
            return Err(fail(Fault::new(
                code::RESOURCE_ERROR,
                "the queues are full",
            )));
        }
        let reached = {
            let known = self.brokers[vhost]
                .route(&exchange, &message.key)
                .map_err(fail)?
                .len();
            if known > 0 {
                self.publish(vhost, &exchange, message.clone())
            } else {
                0
            }
        };
        if reached == 0 && mandatory {
            self.give_back(
                o,
                conn,
                ch,
                (code::NO_ROUTE, "no queue is bound for it"),
                &message,
            );
        }
        if seq > 0 {
            self.confirm(conn, link, ch, count, seq, true, o);
        }
        Ok(())
    }

    pub(super) fn give_back<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        ch: u16,
        why: (u16, &str),
        m: &Message,
    ) {
        let frame_max = self.peers[conn].frame_max;
        self.out.clear();
        let f = Out::method(&mut self.out, ch, 60, 50)
            .short(why.0)
            .short_str(why.1);
        f.short_str(&m.exchange).short_str(&m.key).end();
        codec::content(&mut self.out, ch, &m.properties, &m.body, frame_max);
        self.write(o, conn);
    }
}
