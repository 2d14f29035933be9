//! Leadership transfer away from a stalled disk.

use std::sync::atomic::Ordering;

use crate::support::cluster::Cluster;
use crate::support::put_zone;

#[tokio::test]
async fn writes_succeed_while_the_disk_of_the_former_leader_stalls() {
    let cluster = Cluster::start().await;
    let (status, body) =
        cluster.daemon(0).post("/v1/settings/changes", &put_zone("hartford", 3, 0, "a")).await;
    assert_eq!((status, &body["revision"]), (200, &1.into()), "{body}");
    let stalled = cluster.leader().await;
    cluster.stalls[stalled].store(true, Ordering::SeqCst);
    let other = (stalled + 1) % 3;
    let change = put_zone("hartford", 4, 1, "b");
    let (status, body) = cluster.daemon(other).post("/v1/settings/changes", &change).await;
    cluster.stalls[stalled].store(false, Ordering::SeqCst);
    assert_eq!((status, &body["revision"]), (200, &2.into()), "{body}");
    let is_up_to_date = async || {
        let (_, tree) = cluster.daemon(stalled).get("/v1/settings?stale=true").await;
        tree["revision"] == 2
    };
    cluster.wait_for("the stalled replica to catch up", is_up_to_date).await;
    cluster.stop_all().await;
}
