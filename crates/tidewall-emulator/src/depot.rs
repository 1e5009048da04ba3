//! The emulated artifact store: concurrent fetches share its capacity, fetches beyond a limit are refused,
//! and a fault can stall or slow it.
use crate::{timer_kind, Context};
use slab::Slab;
use std::net::SocketAddr;
use tidewall_config::Section;
use tidewall_net::{Conn, Listener, Net, Time};
use tidewall_wire::{self as wire, kind, Field, Fields, Frame};

pub struct ArtifactStore {
    pub listener: Listener,
    pub address: SocketAddr,
    capacity: usize,
    max_fetches: usize,
    fetches: Slab<(Conn, u64)>,
    /// No fetch completes before this time.
    pub stalled_until: Time,
    /// Factor by which fetches take longer.
    pub slowdown: f64,
}

impl ArtifactStore {
    pub fn new<N: Net>(
        context: &mut Context<N>,
        settings: &Section,
    ) -> Result<ArtifactStore, String> {
        let address: SocketAddr = ([127, 0, 0, 1], 0).into();
        let (listener, address) = context
            .net
            .listen(address)
            .map_err(|e| format!("{address}: depot: {e}"))?;
        Ok(ArtifactStore {
            listener,
            address,
            capacity: settings.integer("capacity") as usize,
            max_fetches: settings.integer("most") as usize,
            fetches: Slab::new(),
            stalled_until: 0,
            slowdown: 1.0,
        })
    }

    pub fn handle_frame<N: Net>(
        &mut self,
        context: &mut Context<N>,
        conn: Conn,
        fields: &Fields,
    ) -> Result<(), String> {
        if fields.kind()? == kind::HELLO {
            wire::greeted(fields)?;
            return Ok(());
        }
        let (id, base_time) = (
            fields.whole(Field::Id)?,
            fields.upto(Field::LoadHint, 1 << 32, 0)?,
        );
        fields.text(Field::Function)?;
        if self.fetches.len() >= self.max_fetches {
            self.respond(context, conn, id, "full");
            return Ok(());
        }
        let key = self.fetches.insert((conn, id));
        // A fetch slows down with the fetches in progress when it starts. Later ones don't change its
        // duration.
        let contention = (self.fetches.len() as f64 / self.capacity as f64).max(1.0);
        let now = context.net.now();
        let done_at =
            now.max(self.stalled_until) + (base_time as f64 * contention * self.slowdown) as Time;
        context
            .net
            .set_timer(done_at, timer_kind::FETCH_DONE | key as u64);
        Ok(())
    }

    pub fn fetch_done<N: Net>(&mut self, context: &mut Context<N>, key: usize) {
        if context.net.now() < self.stalled_until {
            context
                .net
                .set_timer(self.stalled_until, timer_kind::FETCH_DONE | key as u64);
            return;
        }
        let (conn, id) = self.fetches.remove(key);
        self.respond(context, conn, id, "ok");
    }

    fn respond<N: Net>(&self, context: &mut Context<N>, conn: Conn, id: u64, outcome: &str) {
        context.buffer.clear();
        Frame::new(&mut context.buffer, kind::FETCHED)
            .whole(Field::Id, id)
            .text(Field::Outcome, outcome)
            .end();
        context.net.write(conn, &context.buffer);
    }
}
