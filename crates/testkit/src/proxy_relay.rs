//! One connection through a proxy: both directions are moved until they end or are cut.

use std::{sync::Arc, time::Duration};

use socket2::SockRef;
use tokio::{
    net::TcpStream,
    sync::{broadcast, mpsc},
    time::{Instant, sleep_until},
};

use crate::{
    proxy::{Cut, Direction, Shared},
    util::CHUNK_BYTES,
};

/// Chunks under way in one direction of one connection; bounds what a delayed link holds.
const CHUNKS_UNDER_WAY: usize = 256;

/// Serves a connection that was accepted under a number.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    client: TcpStream,
    number: u64,
    mut cuts: broadcast::Receiver<Cut>,
) {
    let target = shared.state.borrow().target;
    // A connection that its client gives up while the link is silent must not hold a descriptor.
    let mut early = Vec::new();
    tokio::select! {
        biased;
        () = shared.passable(Direction::Forward, number) => {}
        () = read_to_end(&client, &mut early) => return,
    }
    let Some(target) = target else { return };
    let Ok(server) = TcpStream::connect(target).await else {
        // The connecting side sees a reset, as close to a refusal as an accepted connection can get.
        end(client, true);
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let forward = pump(&shared, Direction::Forward, number, &client, &server, early);
    let backward = pump(&shared, Direction::Backward, number, &server, &client, Vec::new());
    let cut = tokio::select! {
        _ = async { tokio::join!(forward, backward) } => return,
        cut = cuts.recv() => cut.unwrap_or(Cut { client: true, server: true, reset: true }),
    };
    let mut held = Vec::new();
    for (stream, ends) in [(client, cut.client), (server, cut.server)] {
        if ends { end(stream, cut.reset) } else { held.push(stream) }
    }
    if !held.is_empty() {
        // The side that hears nothing keeps its connection until a full cut.
        while cuts.recv().await.is_ok_and(|cut| !(cut.client && cut.server)) {}
    }
}

fn end(stream: TcpStream, reset: bool) {
    if reset {
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
    drop(stream);
}

/// Moves one direction until its end, which is passed on as a half-close; `early` was read before.
async fn pump(
    shared: &Shared,
    direction: Direction,
    number: u64,
    from: &TcpStream,
    to: &TcpStream,
    early: Vec<u8>,
) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, Vec<u8>)>(CHUNKS_UNDER_WAY);
    let reading = async {
        let sender = sender;
        if !early.is_empty() {
            // The channel is new, so it has room.
            let _ = sender.send((Instant::now() + shared.behaviour(direction).delay, early)).await;
        }
        while let Some(chunk) = read(from).await {
            let due = Instant::now() + shared.behaviour(direction).delay;
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
            shared.passable(direction, number).await;
            if !write(to, &chunk).await {
                return;
            }
        }
        shared.passable(direction, number).await;
        let _ = SockRef::from(to).shutdown(std::net::Shutdown::Write);
    };
    tokio::join!(reading, writing);
}

async fn read_to_end(from: &TcpStream, bytes: &mut Vec<u8>) {
    while let Some(chunk) = read(from).await {
        bytes.extend_from_slice(&chunk);
    }
}

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
