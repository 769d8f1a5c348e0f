//! A semaphore whose waiting requests are served by priority, then by arrival.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use tokio::sync::oneshot;

use crate::util::lock;

/// A limited number of slots; a free one goes to the waiting request with the lowest priority number.
#[derive(Debug)]
pub struct Slots {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    limit: usize,
    taken: usize,
    arrivals: u64,
    /// By priority and arrival number.
    waiting: BTreeMap<(u32, u64), oneshot::Sender<Slot>>,
}

/// A taken slot; free again when dropped.
#[derive(Debug)]
pub struct Slot {
    /// `None` if dropping must not release the slot.
    slots: Option<Arc<Slots>>,
}

impl Slots {
    /// Creates `limit` free slots.
    pub fn new(limit: usize) -> Arc<Self> {
        let state = State { limit, taken: 0, arrivals: 0, waiting: BTreeMap::new() };
        Arc::new(Self { state: Mutex::new(state) })
    }

    /// Waits for a slot; 0 is the highest priority.
    pub async fn take(self: &Arc<Self>, priority: u32) -> Slot {
        let receiver = {
            let mut state = lock(&self.state);
            if state.taken < state.limit {
                state.taken += 1;
                return Slot { slots: Some(Arc::clone(self)) };
            }
            let (sender, receiver) = oneshot::channel();
            let arrival = state.arrivals;
            state.arrivals += 1;
            state.waiting.insert((priority, arrival), sender);
            receiver
        };
        match receiver.await {
            Ok(slot) => slot,
            // Unreachable: a sender is removed from the queue only to send a slot.
            Err(_) => std::future::pending().await,
        }
    }

    /// Returns how many slots are taken.
    pub fn taken(&self) -> usize {
        lock(&self.state).taken
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        lock(&self.state).waiting.len()
    }

    /// Passes the slot on to the next waiting request, or frees it.
    fn release(self: &Arc<Self>) {
        loop {
            let next = {
                let mut state = lock(&self.state);
                let next = state.waiting.pop_first();
                if next.is_none() {
                    state.taken -= 1;
                }
                next
            };
            let Some((_, sender)) = next else { return };
            match sender.send(Slot { slots: Some(Arc::clone(self)) }) {
                Ok(()) => return,
                // The waiting request was dropped. The returned slot must not be released a second time by its drop.
                Err(mut slot) => slot.slots = None,
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(slots) = self.slots.take() {
            slots.release();
        }
    }
}
