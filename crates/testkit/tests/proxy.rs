//! The faults of the fault-injecting proxy that other tests rely on.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use daisysill_testkit::proxy::{Direction, DirectionFaults, Proxy};
use socket2::{Domain, Socket, Type};

const SHORT: Duration = Duration::from_millis(150);
const LONG: Duration = Duration::from_secs(5);

/// Starts an echo server with one thread per connection.
fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || {
                let mut stream = stream.unwrap();
                let mut bytes = vec![0; 65_536];
                while let Ok(length) = stream.read(&mut bytes) {
                    if length == 0 || stream.write_all(&bytes[..length]).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn connect(proxy: &Proxy) -> TcpStream {
    let stream = TcpStream::connect(proxy.address()).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream
}

/// Sends a byte and returns whether it is echoed within this time.
fn echoes(stream: &mut TcpStream, within: Duration) -> bool {
    stream.set_read_timeout(Some(within)).unwrap();
    stream.write_all(b"x").is_ok() && stream.read(&mut [0]).is_ok_and(|length| length == 1)
}

/// Guards against a fault that also affects new connections, or that resets the silent one.
#[test]
fn existing_connections_go_silent_while_new_ones_work() {
    let proxy = Proxy::start(Some(start_echo_server()));
    let mut old = connect(&proxy);
    assert!(echoes(&mut old, LONG));
    proxy.silence_existing();
    assert!(!echoes(&mut old, SHORT));
    assert!(echoes(&mut connect(&proxy), LONG));
    let error = old.read(&mut [0]).unwrap_err();
    assert!(matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut), "{error}");
}

/// Guards against a partition that loses bytes instead of holding them back.
#[test]
fn a_silent_direction_continues_where_it_stopped() {
    let proxy = Proxy::start(Some(start_echo_server()));
    let mut stream = connect(&proxy);
    assert!(echoes(&mut stream, LONG));
    proxy.set(Direction::Backward, DirectionFaults { silent: true, ..DirectionFaults::default() });
    assert!(!echoes(&mut stream, SHORT));
    proxy.set_silent(false);
    stream.set_read_timeout(Some(LONG)).unwrap();
    assert_eq!(stream.read(&mut [0]).unwrap(), 1);
}

/// Guards against connections abandoned by their clients that a silent proxy keeps open, until the process has no
/// file descriptors left.
#[test]
fn connections_abandoned_while_silent_are_closed() {
    let proxy = Proxy::start(Some(start_echo_server()));
    proxy.set_silent(true);
    for _ in 0..100 {
        connect(&proxy).write_all(b"x").unwrap();
    }
    let deadline = Instant::now() + LONG;
    let open = || {
        let sockets = std::fs::read_to_string("/proc/self/net/tcp").unwrap();
        let local = format!("0100007F:{:04X} ", proxy.address().port());
        // Without the listener (state 0A) and TIME_WAIT (06), what remains are connections that the proxy holds.
        sockets
            .lines()
            .filter(|line| line.split_once(": ").is_some_and(|(_, rest)| rest.starts_with(&local)))
            .filter(|line| !line.contains(" 0A "))
            .filter(|line| !line.contains(" 06 "))
            .count()
    };
    while open() > 0 {
        assert!(Instant::now() < deadline, "{} connections are still open", open());
        thread::sleep(Duration::from_millis(20));
    }
    proxy.set_silent(false);
    assert!(echoes(&mut connect(&proxy), LONG));
}

/// Guards against a closed connection that looks reset, and a reset that looks like an orderly close.
#[test]
fn a_cut_closes_or_resets_connections() {
    let proxy = Proxy::start(Some(start_echo_server()));
    let (mut closed, mut reset) = (connect(&proxy), connect(&proxy));
    assert!(echoes(&mut closed, LONG));
    assert!(echoes(&mut reset, LONG));
    proxy.cut_direction(Direction::Backward, false);
    assert_eq!(closed.read(&mut [0]).unwrap(), 0);
    assert_eq!(reset.read(&mut [0]).unwrap(), 0);
    let mut reset = connect(&proxy);
    assert!(echoes(&mut reset, LONG));
    proxy.cut(true);
    assert_eq!(reset.read(&mut [0]).unwrap_err().kind(), ErrorKind::ConnectionReset);
}

/// Guards against delays and byte rates that do not take effect.
#[test]
fn delay_and_byte_rate_slow_down_a_direction() {
    let proxy = Proxy::start(Some(start_echo_server()));
    let mut stream = connect(&proxy);
    let delay = Duration::from_millis(100);
    proxy.set(Direction::Forward, DirectionFaults { delay, ..DirectionFaults::default() });
    let started = Instant::now();
    assert!(echoes(&mut stream, LONG));
    assert!(started.elapsed() >= delay);

    proxy.set(Direction::Forward, DirectionFaults::default());
    proxy.set_rate(Direction::Forward, 1_000_000);
    let started = Instant::now();
    stream.write_all(&vec![1; 200_000]).unwrap();
    stream.read_exact(&mut vec![0; 200_000]).unwrap();
    assert!(started.elapsed() >= Duration::from_millis(180), "{:?}", started.elapsed());
}

/// Guards against a restarted process that its peers cannot reach, and a killed one that still accepts connections.
#[test]
fn a_closed_proxy_refuses_and_connects_to_its_new_target_once_reopened() {
    let proxy = Proxy::start(Some(start_echo_server()));
    let mut old = connect(&proxy);
    assert!(echoes(&mut old, LONG));
    proxy.close();
    assert!(!echoes(&mut old, LONG));
    let deadline = Instant::now() + LONG;
    while TcpStream::connect(proxy.address()).is_ok() {
        assert!(Instant::now() < deadline, "the closed proxy still accepts connections");
        thread::sleep(Duration::from_millis(5));
    }
    proxy.set_target(start_echo_server());
    proxy.reopen();
    assert!(echoes(&mut connect(&proxy), LONG));
}

/// Guards against a port that another process takes while the proxy is closed: a restarted stand-in then failed with
/// "Address already in use", in a run of all tests beside others.
#[test]
fn a_closed_proxy_keeps_its_port() {
    let proxy = Proxy::start(Some(start_echo_server()));
    proxy.close();
    let other = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let error = other.bind(&proxy.address().into()).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::AddrInUse);
    assert_eq!(TcpStream::connect(proxy.address()).unwrap_err().kind(), ErrorKind::ConnectionRefused);
    proxy.reopen();
    assert!(echoes(&mut connect(&proxy), LONG));
}

/// Guards against a cut that also ends open connections, or that new connections pass.
#[test]
fn new_connections_hang_or_are_refused_while_open_ones_work() {
    let proxy = Proxy::start(Some(start_echo_server()));
    let mut old = connect(&proxy);
    assert!(echoes(&mut old, LONG), "the proxy has accepted it");
    proxy.hang_new();
    let hangs = TcpStream::connect_timeout(&proxy.address(), SHORT).unwrap_err();
    assert_eq!(hangs.kind(), ErrorKind::TimedOut);
    assert!(echoes(&mut old, LONG));
    proxy.reopen();
    assert!(echoes(&mut connect(&proxy), LONG));
    proxy.refuse_new();
    let refused = TcpStream::connect_timeout(&proxy.address(), LONG).unwrap_err();
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    assert!(echoes(&mut old, LONG));
}
