//! A server that answers with given bytes, as no HTTP library would write them.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// Time for which a connection stays open after a response. A client that has read one to its end does not wait for more.
const OPEN_TIME: Duration = Duration::from_millis(5);
/// Pause between two pieces of a response.
const PIECE_PAUSE: Duration = Duration::from_micros(50);

/// How a response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// At once, as the first response on its connection.
    Whole,
    /// Byte by byte.
    Bytes,
    /// At once, as the second response on its connection; the first one is sound.
    Second,
}

impl Delivery {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Whole, Self::Bytes, Self::Second];
}

#[derive(Debug)]
struct Script {
    sound: Vec<u8>,
    response: Vec<u8>,
    delivery: Delivery,
}

/// Serves each connection with the response of the time, and closes it then.
#[derive(Debug)]
pub struct ResponseServer {
    address: SocketAddr,
    script: Arc<Mutex<Script>>,
    requests: Arc<AtomicUsize>,
}

impl ResponseServer {
    /// Starts a server on a loopback port picked by the kernel. `sound` is the response before the second one of a connection.
    ///
    /// # Panics
    /// Panics if no port can be bound.
    pub fn start(sound: Vec<u8>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let script = Script { sound, response: Vec::new(), delivery: Delivery::Whole };
        let (script, requests) = (Arc::new(Mutex::new(script)), Arc::<AtomicUsize>::default());
        let server = Self { address, script: Arc::clone(&script), requests: Arc::clone(&requests) };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, requests) = (Arc::clone(&script), Arc::clone(&requests));
                thread::spawn(move || serve(stream, &script, &requests));
            }
        });
        server
    }

    /// Sets the response to all further requests.
    ///
    /// # Panics
    /// Panics if a thread of the server did.
    pub fn respond(&self, response: Vec<u8>, delivery: Delivery) {
        let mut script = self.script.lock().unwrap();
        script.response = response;
        script.delivery = delivery;
    }

    /// Returns the address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests since the last call.
    pub fn take_requests(&self) -> usize {
        self.requests.swap(0, Ordering::SeqCst)
    }
}

fn serve(mut stream: TcpStream, script: &Mutex<Script>, requests: &AtomicUsize) {
    let _ = stream.set_nodelay(true);
    let mut is_first = true;
    while read_request(&mut stream).is_some() {
        requests.fetch_add(1, Ordering::SeqCst);
        let (bytes, piece_bytes, is_last) = {
            let script = script.lock().unwrap();
            match script.delivery {
                Delivery::Second if is_first => (script.sound.clone(), usize::MAX, false),
                Delivery::Bytes => (script.response.clone(), 1, true),
                Delivery::Whole | Delivery::Second => (script.response.clone(), usize::MAX, true),
            }
        };
        is_first = false;
        for piece in bytes.chunks(piece_bytes.min(bytes.len().max(1))) {
            // The client may have closed the connection.
            if stream.write_all(piece).is_err() {
                return;
            }
            if piece_bytes == 1 {
                thread::sleep(PIECE_PAUSE);
            }
        }
        if is_last {
            thread::sleep(OPEN_TIME);
            return;
        }
    }
}

/// Reads a request with its body; `None` at the end of the connection.
fn read_request(stream: &mut TcpStream) -> Option<()> {
    let mut request = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        request.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&request).to_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
        if body.len() >= length.unwrap_or(0) {
            return Some(());
        }
    }
}
