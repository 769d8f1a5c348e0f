//! The sum of all reservations, and who is refused when it is used up.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::memory_budget::{MemoryBudget, MemoryReservation};
use proptest::prelude::*;

const LIMIT_BYTES: usize = 1_000_000;

/// Guards against many requests of which each keeps within its bound while their sum does not, and against small ones that
/// find no room beside them.
#[test]
fn hundreds_that_grow_without_end_leave_room_for_small_ones() {
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let mut growing: Vec<MemoryReservation> = (0..300).map(|_| budget.reservation()).collect();
    let mut has_grown = true;
    while has_grown {
        has_grown = false;
        for reservation in &mut growing {
            has_grown |= reservation.try_resize(reservation.bytes() + 100);
        }
        assert!(budget.used_bytes() <= LIMIT_BYTES);
    }
    assert!(budget.used_bytes() > LIMIT_BYTES * 9 / 10, "{} bytes used", budget.used_bytes());
    assert!(budget.reservation().try_resize(1_000), "a small one has no room");
    growing.clear();
    assert_eq!(budget.used_bytes(), 0);
}

proptest! {
    /// Guards against a sum that exceeds the budget, or does not follow the reservations.
    #[test]
    fn sum_follows_the_reservations(sizes in prop::collection::vec((0_usize..8, 0_usize..LIMIT_BYTES), 1..200)) {
        let budget = MemoryBudget::new(LIMIT_BYTES);
        let mut reservations: Vec<MemoryReservation> = (0..8).map(|_| budget.reservation()).collect();
        for (index, bytes) in sizes {
            let before = reservations[index].bytes();
            let is_granted = reservations[index].try_resize(bytes);
            prop_assert_eq!(reservations[index].bytes(), if is_granted { bytes } else { before });
            prop_assert!(is_granted || bytes > before);
            prop_assert_eq!(budget.used_bytes(), reservations.iter().map(MemoryReservation::bytes).sum::<usize>());
            prop_assert!(budget.used_bytes() <= LIMIT_BYTES);
        }
    }
}
