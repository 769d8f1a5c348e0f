//! The places of callers' connections, and what a client learns that loses its own.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{net::IpAddr, thread};

use daisysill_core::{connection_table::ConnectionLimits, memory_budget::MemoryBudget};
use daisysill_gateway::callers::{CallerConnections, ConnectionMetrics, StreamLimits, UnreadStatement};
use futures::FutureExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const THREADS: usize = 4;
const CONNECTIONS_PER_THREAD: usize = 2_000;
const STATEMENT: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
const REQUEST: &str = "GET / HTTP/1.1\r\n\r\n";

/// Guards against a connection that keeps open beyond the limit: another thread replaced it before it could be told so.
#[test]
fn each_connection_that_is_replaced_learns_of_it() {
    let limits = ConnectionLimits { total: 1, by_address: 1 };
    let (memory, metrics) = (MemoryBudget::unlimited(), ConnectionMetrics::default());
    let connections = CallerConnections::new("callers", limits, StreamLimits::default(), memory, metrics);
    let client = IpAddr::from([127, 0, 0, 1]);
    let open = || (0..CONNECTIONS_PER_THREAD).map(|_| connections.open(client).unwrap()).collect::<Vec<_>>();
    let places: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(open)).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    });
    let kept = places.iter().filter(|place| place.lost().now_or_never().is_none()).count();
    assert_eq!((kept, connections.count()), (1, 1));
}

/// Returns connections with one place.
fn connections() -> CallerConnections {
    let limits = ConnectionLimits { total: 1, by_address: 1 };
    let (memory, metrics) = (MemoryBudget::unlimited(), ConnectionMetrics::default());
    CallerConnections::new("passed_on", limits, StreamLimits::default(), memory, metrics)
        .with_unread_statement(UnreadStatement::new(STATEMENT, 2))
}

/// Opens a connection on which the client has sent a request; returns both ends.
async fn connect_and_send(listener: &TcpListener) -> (TcpStream, TcpStream) {
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    client.write_all(REQUEST.as_bytes()).await.unwrap();
    let (socket, _) = listener.accept().await.unwrap();
    socket.readable().await.unwrap();
    (client, socket)
}

/// Guards against a client that has to assume that its request ran, although the connection was closed for want of a place before
/// it was read; and against a reset that overtakes the statement.
#[tokio::test]
async fn client_learns_that_its_request_was_not_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let connections = connections();
    let (mut replaced, socket) = connect_and_send(&listener).await;
    let (mut stream, _) = connections.accept(socket).unwrap();
    let (_busy, socket) = connect_and_send(&listener).await;
    let (mut busy, _) = connections.accept(socket).unwrap();
    let mut bytes = [0; 64];
    assert_eq!(stream.read(&mut bytes).await.unwrap(), 0, "the request was handed over");
    assert_eq!(busy.read(&mut bytes).await.unwrap(), REQUEST.len());

    let (mut refused, socket) = connect_and_send(&listener).await;
    assert!(connections.accept(socket).is_err(), "there was a place");
    drop(stream);
    for client in [&mut replaced, &mut refused] {
        let mut received = String::new();
        client.read_to_string(&mut received).await.expect("the connection was reset");
        assert_eq!(received, STATEMENT);
    }
}

/// Guards against the statement that nothing was read, sent while a request is in progress.
#[tokio::test]
async fn connection_with_a_request_in_progress_keeps_its_place() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let connections = connections();
    let (client, socket) = connect_and_send(&listener).await;
    let (mut stream, _) = connections.accept(socket).unwrap();
    let mut bytes = [0; 64];
    assert_eq!(stream.read(&mut bytes).await.unwrap(), REQUEST.len());
    assert!(connections.open(IpAddr::from([127, 0, 0, 1])).is_err(), "the place was taken");
    assert!(client.try_read(&mut bytes).is_err(), "the client was told something");
}
