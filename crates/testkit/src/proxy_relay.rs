//! One connection through a proxy, relayed in both directions until both end or it is cut.

use std::{sync::Arc, time::Duration};

use socket2::SockRef;
use tokio::{
    net::TcpStream,
    sync::{broadcast, mpsc},
    time::{Instant, sleep_until},
};

use crate::{
    proxy::{ConnectionCut, Direction, Shared},
    util::CHUNK_BYTES,
};

/// Chunks that one direction of a connection buffers at most while they are delayed.
const MAX_DELAYED_CHUNKS: usize = 256;

/// Relays an accepted connection to the target that is set when it was accepted.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    client: TcpStream,
    connection_id: u64,
    mut cuts: broadcast::Receiver<ConnectionCut>,
) {
    let target = shared.state.borrow().target;
    // A connection that its client closes while the link is silent must not keep a descriptor open, so the client is
    // read meanwhile.
    let mut early = Vec::new();
    tokio::select! {
        biased;
        () = shared.wait_until_open(Direction::Forward, connection_id) => {}
        () = read_to_end(&client, &mut early) => return,
    }
    let Some(target) = target else { return };
    let Ok(server) = TcpStream::connect(target).await else {
        // An accepted connection can no longer be refused; a reset is the closest to that.
        close(client, true);
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let forward = relay(&shared, Direction::Forward, connection_id, &client, &server, early);
    let backward = relay(&shared, Direction::Backward, connection_id, &server, &client, Vec::new());
    let cut = tokio::select! {
        _ = async { tokio::join!(forward, backward) } => return,
        cut = cuts.recv() => cut.unwrap_or(ConnectionCut { client: true, server: true, reset: true }),
    };
    let mut kept_open = Vec::new();
    for (stream, ends) in [(client, cut.client), (server, cut.server)] {
        if ends { close(stream, cut.reset) } else { kept_open.push(stream) }
    }
    if !kept_open.is_empty() {
        // A side that was not cut keeps its connection, which stays silent until both sides are cut.
        while cuts.recv().await.is_ok_and(|cut| !(cut.client && cut.server)) {}
    }
}

fn close(stream: TcpStream, reset: bool) {
    if reset {
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
    drop(stream);
}

/// Relays one direction until its end, which is passed on as a half-close. `early` are bytes that were read before.
async fn relay(
    shared: &Shared,
    direction: Direction,
    connection_id: u64,
    from: &TcpStream,
    to: &TcpStream,
    early: Vec<u8>,
) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_DELAYED_CHUNKS);
    let reading = async {
        let sender = sender;
        if !early.is_empty() {
            // The channel is new, so it has room.
            let _ = sender.send((Instant::now() + shared.faults(direction).delay, early)).await;
        }
        while let Some(chunk) = read(from).await {
            let due = Instant::now() + shared.faults(direction).delay;
            if sender.send((due, chunk)).await.is_err() {
                return;
            }
        }
    };
    let writing = async {
        while let Some((due, chunk)) = receiver.recv().await {
            if due > Instant::now() {
                sleep_until(due).await;
            }
            shared.rate(direction).throttle(chunk.len()).await;
            shared.wait_until_open(direction, connection_id).await;
            if !write(to, &chunk).await {
                return;
            }
        }
        shared.wait_until_open(direction, connection_id).await;
        let _ = SockRef::from(to).shutdown(std::net::Shutdown::Write);
    };
    tokio::join!(reading, writing);
}

async fn read_to_end(from: &TcpStream, bytes: &mut Vec<u8>) {
    while let Some(chunk) = read(from).await {
        bytes.extend_from_slice(&chunk);
    }
}

/// Reads one chunk; `None` at the end or on an error.
async fn read(from: &TcpStream) -> Option<Vec<u8>> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        from.readable().await.ok()?;
        match from.try_read(&mut chunk) {
            Ok(0) => return None,
            Ok(length) => {
                chunk.truncate(length);
                return Some(chunk);
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
    }
}

/// Writes a whole chunk; returns false on an error.
async fn write(to: &TcpStream, mut chunk: &[u8]) -> bool {
    while !chunk.is_empty() {
        if to.writable().await.is_err() {
            return false;
        }
        match to.try_write(chunk) {
            Ok(length) => chunk = &chunk[length..],
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
    }
    true
}
