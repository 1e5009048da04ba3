//! Sends the snapshot of what we hold to the peer.
use super::*;

impl<N: Net> Gateway<N> {
    /// Tells more of the copy, as far as the link takes it.
    pub(super) fn send_pending_snapshot(&mut self, parts: &mut Parts) {
        let host = &mut self.context.scheduler.host;
        let now = host.net.now();
        let Some(copy) = &mut host.replicator else {
            return;
        };
        let Some(conn) = copy.conn.filter(|_| copy.streaming) else {
            return;
        };
        while host.net.unsent(conn) < COPY_AHEAD && copy.streaming {
            match parts.cursor {
                SnapshotCursor::Events(place) if place < host.requests.len() => {
                    parts.cursor = SnapshotCursor::Events(place + 1);
                    let held = &host.requests[place];
                    if !held.open {
                        continue;
                    }
                    let function = host.function_names.resolve(held.info().function);
                    copy.send_record(&mut host.net, kind::TAKEN, |f| {
                        taken(
                            f,
                            place,
                            held,
                            &host.class_names,
                            &host.tenant_names,
                            function,
                            now,
                        )
                    });
                    // As it stands: so many that may have run, wherever. Their places are those of the launches.
                    for (launch, wk, proven) in host.attempts_of(place) {
                        let name = host.worker_names.resolve(wk).to_string();
                        let copy = host.replicator.as_mut().expect("a pair copies");
                        copy.send_record(&mut host.net, kind::LAUNCHED, |f| {
                            let f = f
                                .whole(Field::Place, place as u64)
                                .whole(Field::Launch, launch as u64);
                            f.text(Field::Name, &name).end();
                        });
                        if let Some(proven) = proven {
                            copy.send_record(&mut host.net, kind::OVER, |f| {
                                let f = f.whole(Field::Place, place as u64);
                                f.whole(Field::Launch, launch as u64)
                                    .flag(Field::On, proven)
                                    .end();
                            });
                        }
                    }
                    return self.send_pending_snapshot(parts);
                }
                SnapshotCursor::Events(_) => parts.cursor = SnapshotCursor::Answers(0),
                SnapshotCursor::Answers(from) => {
                    let copy = &mut **copy;
                    let Some((key, entry)) = copy.deduplication.next(from) else {
                        copy.send_record(&mut host.net, kind::COPIED, |f| f.end());
                        parts.cursor = SnapshotCursor::Finished(copy.last_sequence);
                        copy.snapshot_incomplete = false;
                        return;
                    };
                    parts.cursor = SnapshotCursor::Answers(key + 1);
                    if let RequestLocation::Responded(number, payload) = &entry.location {
                        let (typ, mark, payload) =
                            (entry.class, entry.idempotency_key.clone(), payload.clone());
                        let text = word(*number).wire_text();
                        copy.send_record(&mut host.net, kind::ANSWERED, |f| {
                            let f = f
                                .text(Field::Type, &host.class_names[typ])
                                .bytes(Field::Mark, &mark);
                            f.text(Field::Word, text)
                                .bytes(Field::Payload, &payload)
                                .end();
                        });
                    }
                }
                SnapshotCursor::Finished(_) | SnapshotCursor::Off => return,
            }
        }
    }
}
