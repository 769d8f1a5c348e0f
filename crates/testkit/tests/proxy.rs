//! The fault-injecting proxy does what tests of failures rely on.

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

/// Starts a server that sends back what it gets, one thread for each connection.
fn echo() -> SocketAddr {
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

/// Sends a byte and returns whether it comes back within the time.
fn echoes(stream: &mut TcpStream, within: Duration) -> bool {
    stream.set_read_timeout(Some(within)).unwrap();
    stream.write_all(b"x").is_ok() && stream.read(&mut [0]).is_ok_and(|length| length == 1)
}

/// Guards against a silence that also hits new connections, or that ends with a reset.
#[test]
fn existing_connections_go_silent_while_new_ones_work() {
    let proxy = Proxy::start(Some(echo()));
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
fn a_silent_direction_goes_on_where_it_stopped() {
    let proxy = Proxy::start(Some(echo()));
    let mut stream = connect(&proxy);
    assert!(echoes(&mut stream, LONG));
    proxy.set(Direction::Backward, DirectionFaults { silent: true, ..DirectionFaults::default() });
    assert!(!echoes(&mut stream, SHORT));
    proxy.set_silent(false);
    stream.set_read_timeout(Some(LONG)).unwrap();
    assert_eq!(stream.read(&mut [0]).unwrap(), 1);
}

/// Guards against given-up connections to a silent link that use up the descriptors of the process.
#[test]
fn connections_given_up_while_silent_are_let_go() {
    let proxy = Proxy::start(Some(echo()));
    proxy.set_silent(true);
    for _ in 0..100 {
        connect(&proxy).write_all(b"x").unwrap();
    }
    let end = Instant::now() + LONG;
    let open = || {
        let sockets = std::fs::read_to_string("/proc/self/net/tcp").unwrap();
        let local = format!("0100007F:{:04X} ", proxy.address().port());
        // State 0A is listening; everything else is a connection that the proxy holds.
        sockets
            .lines()
            .filter(|line| line.split_once(": ").is_some_and(|(_, rest)| rest.starts_with(&local)))
            .filter(|line| !line.contains(" 0A "))
            .filter(|line| !line.contains(" 06 "))
            .count()
    };
    while open() > 0 {
        assert!(Instant::now() < end, "{} connections are held", open());
        thread::sleep(Duration::from_millis(20));
    }
    proxy.set_silent(false);
    assert!(echoes(&mut connect(&proxy), LONG));
}

/// Guards against a cut that looks like a reset, and a reset that looks like an orderly end.
#[test]
fn a_cut_ends_connections_with_or_without_a_reset() {
    let proxy = Proxy::start(Some(echo()));
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
fn delay_and_byte_rate_slow_a_direction_down() {
    let proxy = Proxy::start(Some(echo()));
    let mut stream = connect(&proxy);
    let delay = Duration::from_millis(100);
    proxy.set(Direction::Forward, DirectionFaults { delay, ..DirectionFaults::default() });
    let began = Instant::now();
    assert!(echoes(&mut stream, LONG));
    assert!(began.elapsed() >= delay);

    proxy.set(Direction::Forward, DirectionFaults::default());
    proxy.set_rate(Direction::Forward, 1_000_000);
    let began = Instant::now();
    stream.write_all(&vec![1; 200_000]).unwrap();
    stream.read_exact(&mut vec![0; 200_000]).unwrap();
    assert!(began.elapsed() >= Duration::from_millis(180), "{:?}", began.elapsed());
}

/// Guards against a restarted process that its peers cannot reach, and a dead one that still accepts.
#[test]
fn a_closed_proxy_refuses_and_leads_to_a_new_target_when_reopened() {
    let proxy = Proxy::start(Some(echo()));
    let mut old = connect(&proxy);
    assert!(echoes(&mut old, LONG));
    proxy.close();
    assert!(!echoes(&mut old, LONG));
    let end = Instant::now() + LONG;
    while TcpStream::connect(proxy.address()).is_ok() {
        assert!(Instant::now() < end, "the closed proxy accepts");
        thread::sleep(Duration::from_millis(5));
    }
    proxy.set_target(echo());
    proxy.reopen();
    assert!(echoes(&mut connect(&proxy), LONG));
}

/// Guards against a port that somebody else is given while the proxy is closed (seen: "Address already in use" when a
/// stand-in came back, in a run of all tests beside others).
#[test]
fn a_closed_proxy_keeps_its_port() {
    let proxy = Proxy::start(Some(echo()));
    proxy.close();
    let other = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let error = other.bind(&proxy.address().into()).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::AddrInUse);
    assert_eq!(TcpStream::connect(proxy.address()).unwrap_err().kind(), ErrorKind::ConnectionRefused);
    proxy.reopen();
    assert!(echoes(&mut connect(&proxy), LONG));
}
