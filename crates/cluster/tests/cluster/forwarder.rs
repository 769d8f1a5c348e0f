//! TCP forwarders between the nodes of a test cluster, which inject network faults.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU8, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{Instant, sleep, sleep_until},
};

/// Maximum chunks that a forwarder holds for one direction of a connection.
const QUEUED_CHUNKS: usize = 64;

pub const OPEN: u8 = 0;
pub const CUT: u8 = 1;
pub const SILENT: u8 = 2;

/// A fault in one chunk of bytes on its way from the node that connected.
#[derive(Clone, Copy)]
pub enum Fault {
    /// Flips the lowest bit of the chunk's last byte.
    Flip,
    /// Sends the chunk twice.
    Repeat,
}

/// Forwards the connections that one node opens to another.
#[derive(Default)]
pub struct Forwarder {
    pub mode: AtomicU8,
    pub next_connection: AtomicU64,
    pub stalled_before: AtomicU64,
    /// Time by which the bytes to the node that connected are delayed.
    pub response_delay_ms: AtomicU64,
    pub target: Mutex<Option<SocketAddr>>,
    pub fault: Mutex<Option<Fault>>,
}

impl Forwarder {
    /// Accepts connections until the task is aborted.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(Arc::clone(&self).forward(stream));
        }
    }

    async fn forward(self: Arc<Self>, near: TcpStream) {
        let number = self.next_connection.fetch_add(1, Ordering::SeqCst);
        let target = *self.target.lock().unwrap();
        let (Some(target), false) = (target, self.mode.load(Ordering::SeqCst) == CUT) else { return };
        let Ok(far) = TcpStream::connect(target).await else { return };
        near.set_nodelay(true).unwrap();
        far.set_nodelay(true).unwrap();
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let there = self.forward_bytes(number, true, near_read, far_write);
        let back = self.forward_bytes(number, false, far_read, near_write);
        tokio::select! {
            () = there => {}
            () = back => {}
            () = self.is_cut() => {}
        }
    }

    async fn is_cut(&self) {
        while self.mode.load(Ordering::SeqCst) != CUT {
            sleep(Duration::from_millis(10)).await;
        }
    }

    async fn forward_bytes(
        &self,
        number: u64,
        faulty: bool,
        mut from: tokio::net::tcp::OwnedReadHalf,
        to: tokio::net::tcp::OwnedWriteHalf,
    ) {
        let (chunks, delayed) = mpsc::channel(QUEUED_CHUNKS);
        tokio::spawn(write_delayed(delayed, to));
        let mut buffer = vec![0; 65_536];
        while let Ok(mut count) = from.read(&mut buffer[..32_768]).await {
            let silent = self.mode.load(Ordering::SeqCst) != OPEN
                || number < self.stalled_before.load(Ordering::SeqCst);
            if let Some(fault) = self.fault.lock().unwrap().take_if(|_| faulty && count > 0) {
                match fault {
                    Fault::Flip => buffer[count - 1] ^= 1,
                    Fault::Repeat => {
                        buffer.copy_within(0..count, count);
                        count *= 2;
                    }
                }
            }
            let delay_ms = if faulty { 0 } else { self.response_delay_ms.load(Ordering::SeqCst) };
            let due = Instant::now() + Duration::from_millis(delay_ms);
            if count == 0 || (!silent && chunks.send((due, buffer[..count].to_vec())).await.is_err()) {
                return;
            }
        }
    }
}

async fn write_delayed(
    mut chunks: mpsc::Receiver<(Instant, Vec<u8>)>,
    mut to: tokio::net::tcp::OwnedWriteHalf,
) {
    while let Some((due, chunk)) = chunks.recv().await {
        sleep_until(due).await;
        if to.write_all(&chunk).await.is_err() {
            return;
        }
    }
}
