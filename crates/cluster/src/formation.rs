//! Forms a new cluster once every first voter reports an empty data folder.

use std::time::Duration;

use daisysill_core::ids::InstanceId;
use daisysill_wire::peer::{FolderState, PeerClient};
use futures::{FutureExt, future::join_all};
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

use crate::{
    driver::{DriverInput, ReplicaView},
    link::Links,
};

/// Time between two rounds of questions.
const ROUND: Duration = Duration::from_millis(200);
/// Time for one answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);

/// Runs on the first of the voters by name, until its folder holds a log.
pub(crate) async fn form(
    own: InstanceId,
    mut voters: Vec<InstanceId>,
    links: Links,
    replica: watch::Receiver<ReplicaView>,
    driver: mpsc::Sender<DriverInput>,
) {
    voters.sort();
    voters.dedup();
    if voters.first() != Some(&own) {
        return;
    }
    loop {
        // `NoFolder` until the driver has reported for the first time.
        let folder = replica.borrow().folder_state();
        if folder == FolderState::Used {
            return;
        }
        if folder == FolderState::Empty && others_are_empty(&own, &voters, &links).await {
            let _ = driver.send(DriverInput::Bootstrap { voters: voters.clone() }).await;
        }
        sleep(ROUND).await;
    }
}

async fn others_are_empty(own: &InstanceId, voters: &[InstanceId], links: &Links) -> bool {
    let answers = voters.iter().filter(|name| *name != own).map(|name| async move {
        let call = |client: PeerClient, context| async move { client.folder_state(context).await }.boxed();
        match links.get(name) {
            Some(link) => link.call(ANSWER_LIMIT, call).await == Ok(FolderState::Empty),
            None => false,
        }
    });
    join_all(answers).await.into_iter().all(|empty| empty)
}
