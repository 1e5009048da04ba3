//! Records of the peer, applied to what we know of its requests.
use super::*;

impl<N: Net> Gateway<N> {
    /// One update of what the other member has in hand.
    pub(super) fn apply_record(&mut self, fields: &Fields) -> Result<(), ProtocolError> {
        const PLACES: u64 = 1 << 24; // more events than a gateway may hold
        let host = &mut self.context.scheduler.host;
        let now = host.net.now();
        let (Some(pair), Some(copy)) = (&mut self.failover, &mut host.replicator) else {
            return Ok(());
        };
        let parts = &mut pair.state;
        let place = fields.upto(Field::Place, PLACES, PLACES)? as usize;
        let typ = |types: &[String]| -> Result<usize, ProtocolError> {
            let name = fields.text(Field::Type)?;
            types.iter().position(|t| t == name).ok_or_else(|| {
                WireError::invalid(Field::Type, format!("'{name}' is unknown")).into()
            })
        };
        match fields.kind()? {
            kind::COPY => {
                let new = fields.flag(Field::On)?;
                parts.theirs.clear();
                if !new {
                    copy.deduplication.clear_responses();
                }
            }
            kind::TAKEN => {
                let typ = typ(&host.class_names)?;
                let tenant = fields.word(Field::Tenant)?;
                let mark = fields.bytes(Field::Mark)?;
                let kept = ReplicatedRequest {
                    id: fields.whole(Field::Id)?,
                    class: typ,
                    tenant: host.tenant_names.iter().position(|t| t == tenant),
                    function: fields.text(Field::Function)?.to_string(),
                    lanes: fields.upto(Field::Lanes, 1000, 1)? as u32,
                    memory: fields.real(Field::Memory, 0.0)?,
                    cost_hint: fields.upto(Field::Hint, u64::MAX >> 8, 0)?,
                    load_hint: fields.upto(Field::LoadHint, u64::MAX >> 8, 0)?,
                    deadline: now + fields.upto(Field::Left, u64::MAX >> 8, 0)?,
                    idempotency_key: mark.to_vec(),
                    payload: fields.bytes(Field::Payload)?.to_vec(),
                    attempts: Vec::new(),
                    clients: Vec::new(),
                };
                if parts.theirs.len() <= place {
                    parts.theirs.resize_with(place + 1, || None);
                }
                copy.load_request_limiter.request_received(now);
                copy.deduplication
                    .insert_in_flight(typ, mark, RequestLocation::Remote(place));
                parts.theirs[place] = Some(kept);
            }
            kind::LAUNCHED => {
                let wk = host.worker_names.intern(fields.text(Field::Name)?);
                if let Some(kept) = parts.theirs.get_mut(place).and_then(Option::as_mut) {
                    kept.attempts.push(recovery::Attempt {
                        worker: wk,
                        sent_at: now,
                        state: recovery::AttemptState::InFlight,
                    });
                }
            }
            kind::OVER => {
                let launch = fields.whole(Field::Launch)? as usize;
                let proven = fields.flag(Field::On)?;
                let kept = parts.theirs.get_mut(place).and_then(Option::as_mut);
                if let Some(l) = kept.and_then(|k| k.attempts.get_mut(launch)) {
                    l.state = if proven {
                        recovery::AttemptState::NotExecuted
                    } else {
                        recovery::AttemptState::MayHaveExecuted
                    };
                }
            }
            kind::ANSWERED => {
                let word = Disposition::from_wire(fields.text(Field::Word)?)?;
                let payload = fields.bytes(Field::Payload)?;
                let kept = parts.theirs.get_mut(place).and_then(Option::take);
                match (&kept, fields.has(Field::Type)) {
                    (Some(kept), false) => {
                        remember(copy, now, kept.class, &kept.idempotency_key, word, payload)
                    }
                    (None, false) => {}
                    _ => remember(
                        copy,
                        now,
                        typ(&host.class_names)?,
                        fields.bytes(Field::Mark)?,
                        word,
                        payload,
                    ),
                }
                if let Some(kept) = kept.filter(|k| !k.clients.is_empty()) {
                    let mut due = copy.new_response();
                    due.clients = kept.clients;
                    due.disposition = Some(word);
                    due.payload.extend_from_slice(payload);
                    copy.ready_responses.push_back(due);
                }
            }
            kind::GONE => {
                if let Some(kept) = parts.theirs.get_mut(place).and_then(Option::take) {
                    let ran = kept
                        .attempts
                        .iter()
                        .any(|l| l.state != recovery::AttemptState::NotExecuted);
                    if ran && copy.retry_safety_of(kept.class) != RetrySafety::Idempotent {
                        remember(
                            copy,
                            now,
                            kept.class,
                            &kept.idempotency_key,
                            Disposition::Failed,
                            &[],
                        );
                    } else {
                        copy.deduplication.remove(kept.class, &kept.idempotency_key);
                    }
                }
            }
            kind::ORDERED => {
                let age = fields.upto(Field::Age, u64::MAX >> 8, 0)?;
                copy.load_request_limiter
                    .load_requested(now.saturating_sub(age));
            }
            kind::COPIED => {}
            other => {
                return Err(
                    WireError::invalid(Field::Kind, format!("{other} is not for a pair")).into(),
                )
            }
        }
        Ok(())
    }
}
