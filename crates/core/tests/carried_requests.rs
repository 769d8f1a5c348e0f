//! Connections to upstreams that send copies of their answers at any later time.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::carried_requests::{CarriedRequests, MAX_CARRIED_REQUESTS};
use proptest::{prelude::*, test_runner::Config};

const ADDRESSES: usize = 2;
const REQUESTS: usize = 4;

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A request is sent to an address. The upstream refuses it, or runs it. Another ID of the upstream at that address makes
    /// no difference, since connections are known by their address.
    Send { request: usize, address: usize, is_refused: bool },
    /// An earlier answer is written once more on a connection; it arrives where the next answer is due.
    Repeat { connection: usize, answer: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..REQUESTS, 0..ADDRESSES, any::<bool>()).prop_map(|(request, address, is_refused)| Step::Send {
            request,
            address,
            is_refused
        }),
        (any::<prop::sample::Index>(), any::<prop::sample::Index>()).prop_map(|(connection, answer)| {
            Step::Repeat { connection: connection.index(64), answer: answer.index(64) }
        }),
    ]
}

/// An answer on the wire.
#[derive(Clone, Debug, PartialEq)]
struct Answer {
    /// The number of the attempt that it answers, which is not on the wire.
    attempt: usize,
    request_id: String,
    is_refusal: bool,
}

/// A kept connection, with the answers that were written on it.
#[derive(Debug, Default)]
struct Connection {
    carried: CarriedRequests,
    written: Vec<Answer>,
    unread: Vec<Answer>,
}

/// The kept connections to each address.
#[derive(Debug)]
struct Pool([Vec<Connection>; ADDRESSES]);

impl Pool {
    /// Returns a kept connection to the address that may carry the request, or a new one.
    fn checkout(&mut self, address: usize, request_id: &str) -> &mut Connection {
        let idle = &mut self.0[address];
        let at = idle.iter().rposition(|connection| connection.carried.admits(Some(request_id)));
        let at = at.unwrap_or_else(|| {
            idle.push(Connection::default());
            idle.len() - 1
        });
        &mut idle[at]
    }

    fn repeat(&mut self, connection: usize, answer: usize) {
        let count = self.0.iter().flatten().count().max(1);
        let Some(connection) = self.0.iter_mut().flatten().nth(connection % count) else { return };
        if !connection.written.is_empty() {
            let copy = connection.written[answer % connection.written.len()].clone();
            connection.unread.push(copy);
        }
    }
}

impl Connection {
    /// Sends a request, whose answer is written behind the copies, and returns the answer that is taken for it.
    fn exchange(&mut self, answer: &Answer) -> Answer {
        self.carried.begin(Some(&answer.request_id)).unwrap();
        self.written.push(answer.clone());
        self.unread.push(answer.clone());
        let position = self.unread.iter().position(|read| self.carried.is_answer(Some(&read.request_id)));
        let read = self.unread[position.unwrap()].clone();
        self.unread.drain(..=position.unwrap());
        read
    }
}

proptest! {
    #![proptest_config(Config { failure_persistence: None, cases: 1_000, ..Config::default() })]

    /// Guards against a copy of an earlier answer that is taken for the answer to an attempt: a copied refusal states that a
    /// request has not run which runs. Without the check in `admits`, or without `is_answer`, it fails.
    #[test]
    fn each_attempt_gets_its_own_answer(steps in prop::collection::vec(step(), 1..60)) {
        let mut pool = Pool(Default::default());
        for (attempt, step) in steps.into_iter().enumerate() {
            match step {
                Step::Send { request, address, is_refused } => {
                    let answer = Answer { attempt, request_id: format!("r{request}"), is_refusal: is_refused };
                    let read = pool.checkout(address, &answer.request_id).exchange(&answer);
                    prop_assert_eq!(read, answer);
                }
                Step::Repeat { connection, answer } => pool.repeat(connection, answer),
            }
        }
    }
}

/// Guards against a request that is written on a connection which has carried it, when the choice of the connection let it pass.
#[test]
fn request_is_not_begun_twice() {
    let mut carried = CarriedRequests::default();
    assert!(carried.begin(Some("r1")).is_ok());
    assert!(carried.begin(Some("r1")).is_err());
    assert!(carried.begin(None).is_ok());
    assert!(carried.begin(None).is_err(), "answers to requests without an ID cannot be told apart either");
    assert!(carried.is_answer(None) && !carried.is_answer(Some("r1")));
}

/// Guards against memory that grows for as long as a connection is used.
#[test]
fn connection_carries_a_limited_number_of_requests() {
    let mut carried = CarriedRequests::default();
    for number in 0..MAX_CARRIED_REQUESTS {
        assert!(!carried.is_full());
        carried.begin(Some(&number.to_string())).unwrap();
    }
    assert!(carried.is_full() && !carried.admits(Some("next")));
}
