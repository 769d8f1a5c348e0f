//! Limits the log lines on ended connections by client.

use std::{
    collections::HashMap,
    net::IpAddr,
    time::{Duration, Instant},
};

/// Time between two lines about one client.
const LINE_INTERVAL: Duration = Duration::from_secs(10);
/// Clients that are remembered; others get no line until one is forgotten.
const MAX_CLIENTS: usize = 256;

/// When each client was last logged, and how many of its connections were left out since.
#[derive(Debug, Default)]
pub(super) struct EndedLog {
    clients: HashMap<IpAddr, (Instant, u64)>,
}

impl EndedLog {
    /// Returns the number of ended connections that the line stands for; `None` if there is to be no line.
    pub(super) fn line(&mut self, client: IpAddr, now: Instant) -> Option<u64> {
        if let Some((logged, left_out)) = self.clients.get_mut(&client) {
            if now.duration_since(*logged) < LINE_INTERVAL {
                *left_out += 1;
                return None;
            }
            *logged = now;
            return Some(std::mem::take(left_out) + 1);
        }
        if self.clients.len() >= MAX_CLIENTS {
            self.clients.retain(|_, (logged, _)| now.duration_since(*logged) < LINE_INTERVAL);
        }
        if self.clients.len() >= MAX_CLIENTS {
            return None;
        }
        self.clients.insert(client, (now, 0));
        Some(1)
    }
}
