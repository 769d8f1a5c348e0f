//! The HTTP server of a stand-in, which runs on its own thread.

use std::{net::SocketAddr, sync::mpsc, thread};

use actix_web::{
    App, HttpServer,
    dev::ServerHandle,
    web::{PayloadConfig, ServiceConfig},
};

/// Largest request body; requests carry whole prompts and blocks.
const MAX_BODY_BYTES: usize = 1_073_741_824;

/// An HTTP server on a loopback port picked by the kernel; stopped when dropped.
#[derive(Debug)]
pub struct StandInServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl StandInServer {
    /// Starts a server with the given routes.
    ///
    /// # Panics
    /// Panics if no port can be bound.
    pub fn start<F>(routes: F) -> Self
    where
        F: Fn(&mut ServiceConfig) + Send + Clone + 'static,
    {
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let app = move || {
                    let payload = PayloadConfig::new(MAX_BODY_BYTES);
                    App::new().app_data(payload).configure(routes.clone())
                };
                let server =
                    HttpServer::new(app).workers(1).disable_signals().bind(("127.0.0.1", 0)).unwrap();
                let address = server.addrs()[0];
                let server = server.run();
                sender.send((address, server.handle())).unwrap();
                server.await.unwrap();
            });
        });
        let (address, handle) = receiver.recv().unwrap();
        Self { address, handle }
    }

    /// Returns the socket address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL, without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for StandInServer {
    fn drop(&mut self) {
        // `stop` sends its command when it is called; the future only waits for the result.
        drop(self.handle.stop(false));
    }
}
