//! The fifth rule: load requests of a gateway stay below a limit that grows with the requests it admitted.
use crate::rows::Row;
use crate::{Audit, Rule, Time, GRACE};
use std::collections::{BTreeMap, VecDeque};

/// Recent load requests, and what they are measured against, by gateway.
#[derive(Default)]
pub(crate) struct LoadRequests {
    sent: BTreeMap<usize, VecDeque<Time>>,
    admitted: BTreeMap<usize, VecDeque<Time>>,
}

impl LoadRequests {
    pub(crate) fn request_admitted(&mut self, gateway: usize, at: Time) {
        self.admitted.entry(gateway).or_default().push_back(at);
    }

    /// The request that came last was not admitted after all.
    pub(crate) fn request_refused(&mut self, gateway: usize) {
        if let Some(admitted) = self.admitted.get_mut(&gateway) {
            admitted.pop_back();
        }
    }
}

impl Audit {
    pub(crate) fn load_request_sent(&mut self, row: &Row) {
        if row.instances == 0 {
            // It only asks how many instances are loaded.
            return;
        }
        self.check_drain_of_load_request(row);
        let (now, gateway, window) = (row.time, row.gateway, self.rules.load_window);
        if window == 0 {
            return;
        }
        let sent = self.load_requests.sent.entry(gateway).or_default();
        sent.push_back(now);
        expire(sent, now, window);
        // Requests left their clients a little before the gateway counted them.
        let admitted = self.load_requests.admitted.entry(gateway).or_default();
        expire(admitted, now, window + GRACE);
        let limit = self.rules.load_free + self.rules.load_share * admitted.len() as f64;
        let count = sent.len();
        self.count_case(Rule::LoadRequestLimit);
        if count as f64 > limit {
            let text = format!(
                "gateway {gateway} gave {count} orders in the window, {limit:.1} are allowed"
            );
            self.breach(Rule::LoadRequestLimit, now, text);
        }
    }
}

/// Drops the times that are longer ago than the window.
fn expire(times: &mut VecDeque<Time>, now: Time, window: Time) {
    while times.front().is_some_and(|time| time + window < now) {
        times.pop_front();
    }
}
