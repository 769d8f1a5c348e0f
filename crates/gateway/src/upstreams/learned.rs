//! What this node has learned of one upstream's speed, and the work of its own requests there.

use std::cell::RefCell;

use daisysill_core::{placement::InFlightWork, upstream_speed::UpstreamSpeed};

/// Learned speed of an upstream and the work that this node has sent there.
#[derive(Debug, Default)]
pub struct UpstreamEstimates {
    speed: RefCell<UpstreamSpeed>,
    /// Expected work of each of this node's requests in flight, as time that an upstream of speed 1 needs.
    in_flight_ms: RefCell<Vec<f64>>,
}

impl UpstreamEstimates {
    /// Returns the speed relative to the service; 1 if nothing is known.
    pub fn speed(&self, now_ms: u64) -> f64 {
        self.speed.borrow().at(now_ms)
    }

    /// Adds a sample of a successful response, see [`UpstreamSpeed::record`].
    pub fn record_slowness(&self, slowness: f64, now_ms: u64) {
        self.speed.borrow_mut().record(slowness, now_ms);
    }

    /// Returns the expected work of this node's requests in flight.
    pub fn in_flight(&self) -> InFlightWork {
        let mut work = InFlightWork::default();
        for work_ms in self.in_flight_ms.borrow().iter() {
            work.add(1, *work_ms);
        }
        work
    }

    pub(super) fn begin_work(&self, work_ms: f64) {
        self.in_flight_ms.borrow_mut().push(work_ms);
    }

    pub(super) fn end_work(&self, work_ms: f64) {
        let mut in_flight_ms = self.in_flight_ms.borrow_mut();
        let ended = in_flight_ms.iter().position(|other_ms| other_ms.total_cmp(&work_ms).is_eq());
        if let Some(ended) = ended {
            in_flight_ms.swap_remove(ended);
        }
    }
}
