//! The zones of the other entry nodes, which decide where the body of a request may go that is limited to regions.
//!
//! An entry node asks the others from time to time, on the listener for requests of other entry nodes, and once more on the
//! connection that the body is about to be sent on: another machine may have got the address meanwhile. A node of an earlier build
//! refuses the question, and its zone stays unknown.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use actix_web::{HttpRequest, HttpResponse};
use bytes::Bytes;
use daisysill_core::ids::ZoneName;
use futures::future::join_all;
use tokio::time::timeout;

use crate::{
    caller_request::CallerRequest,
    connection::UpstreamConnection,
    entry_peers::EntryPeers,
    forward::Gateway,
    peer_headers::{ZONE, ZONE_QUESTION},
    pool::RequestIdentity,
};

/// Time for an entry node to state its zone.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(500);

/// The number of the next request for a zone by this process: a connection carries each request ID once.
static NEXT_REQUEST: AtomicU64 = AtomicU64::new(0);

/// Answers the question of another entry node for the zone of this one; `None` if the request is another one.
pub(crate) fn answer(gateway: &Gateway, http: &HttpRequest) -> Option<HttpResponse> {
    http.headers().get(ZONE_QUESTION)?;
    let zone = gateway.regions.own_zone.as_str();
    Some(HttpResponse::Ok().insert_header((ZONE, zone)).body("zone"))
}

/// Asks the entry nodes whose zone is not known or was stated long ago. Only where zones lie in several regions does it make a difference.
pub(crate) async fn learn(gateway: &Gateway) {
    if gateway.regions.zones.is_one_region() || gateway.regions.zones.names().count() < 2 {
        return;
    }
    let unknown = gateway.peers.to_ask_for_zone();
    let questions = unknown.iter().map(|address| async {
        let asked = timeout(QUESTION_TIMEOUT, ask(&gateway.peers, *address)).await;
        Some((*address, asked.ok().flatten()?))
    });
    let zones: HashMap<SocketAddr, ZoneName> = join_all(questions).await.into_iter().flatten().collect();
    gateway.peers.record_zones(zones);
}

fn next_request_id() -> String {
    format!("zone-request-{}", NEXT_REQUEST.fetch_add(1, Ordering::Relaxed))
}

/// Asks an entry node for its zone; `None` if it does not state one.
async fn ask(peers: &EntryPeers, address: SocketAddr) -> Option<ZoneName> {
    let pool = peers.pool();
    let id = next_request_id();
    let identity = RequestIdentity { id: Some(&id), at_most_once: false };
    let mut pooled = pool.checkout(address, peers.max_connections(address), identity).await.ok()?;
    let zone = ask_on(pooled.get().ok()?, &id).await?;
    pooled.release();
    Some(zone)
}

/// Asks the entry node at the other end of a connection for its zone; `None` if it does not state one, after which the connection
/// can't be used.
async fn ask_on(connection: &mut UpstreamConnection, id: &str) -> Option<ZoneName> {
    let head = format!("GET / HTTP/1.1\r\nHost: entry-node\r\n{ZONE_QUESTION}: 1\r\n\r\n");
    connection.write_request(Some(id), head.as_bytes(), &Bytes::new()).await.ok()?;
    let zone_of = |headers: &[httparse::Header<'_>]| {
        let zone = headers.iter().find(|header| header.name.eq_ignore_ascii_case(ZONE))?;
        std::str::from_utf8(zone.value).ok().map(ZoneName::from)
    };
    let (_, zone) = connection.read_head("GET", zone_of).await.ok()?;
    while connection.read_body().await.ok()?.is_some() {}
    zone
}

/// Returns whether the body of a request may be sent on a connection to another entry node.
pub(crate) async fn admits(
    gateway: &Gateway,
    request: &CallerRequest,
    address: SocketAddr,
    connection: &mut UpstreamConnection,
) -> bool {
    if !gateway.regions.zones.depends_on_zone(&request.region_limit()) {
        return true;
    }
    let asked = timeout(QUESTION_TIMEOUT, ask_on(connection, &next_request_id())).await;
    let Some(zone) = asked.ok().flatten() else { return false };
    let is_admitted = gateway.may_pass_to(request, Some(&zone));
    gateway.peers.record_zones([(address, zone)].into());
    is_admitted
}
