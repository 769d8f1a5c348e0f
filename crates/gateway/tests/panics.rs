//! Handlers that panic.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{cell::Cell, rc::Rc};

use daisysill_core::result_code::ResultCode;
use daisysill_gateway::{
    refusal::Refusal,
    unanswered::{outcome_of_drop, refuse_on_panic},
};

/// Takes down its outcome when it is dropped.
struct Request(Rc<Cell<&'static str>>);

impl Drop for Request {
    fn drop(&mut self) {
        self.0.set(outcome_of_drop());
    }
}

/// Guards against a panic that ends the caller's connection without an answer, or counts as a caller that left.
#[tokio::test]
async fn panic_gets_an_answer_and_its_own_outcome() {
    let outcome = Rc::new(Cell::new("none"));
    let request = Request(Rc::clone(&outcome));
    let answer = refuse_on_panic::<()>(async move {
        let _request = request;
        tokio::task::yield_now().await;
        panic!("a fault in the handler")
    });
    let refusal = answer.await.unwrap_err();
    assert_eq!((refusal.code, refusal.status().as_u16()), (ResultCode::Internal, 500));
    assert_eq!(outcome.get(), "panicked");
}

/// Guards against callers that leave and count as panics, and against answers that change on the way.
#[tokio::test]
async fn other_ends_keep_their_outcome() {
    let outcome = Rc::new(Cell::new("none"));
    drop(Request(Rc::clone(&outcome)));
    assert_eq!(outcome.get(), "caller_left");
    assert_eq!(refuse_on_panic(async { Ok(7) }).await, Ok(7));
    let refused = Refusal::not_run(ResultCode::NoUpstream, "none", 400);
    assert_eq!(refuse_on_panic::<()>(async { Err(refused.clone()) }).await, Err(refused.clone()));
}
