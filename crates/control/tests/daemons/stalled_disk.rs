//! A leader whose disk hangs hands over instead of holding every write up.

use std::sync::atomic::Ordering;

use crate::support::group::Group;
use crate::support::put_zone;

#[tokio::test]
async fn writes_go_on_while_the_leaders_disk_hangs() {
    let group = Group::start().await;
    let (status, body) =
        group.daemon(0).post("/v1/settings/changes", &put_zone("hartford", 3, 0, "a")).await;
    assert_eq!((status, &body["revision"]), (200, &1.into()), "{body}");
    let stalled = group.leader().await;
    group.stalls[stalled].store(true, Ordering::SeqCst);
    let through = (stalled + 1) % 3;
    let change = put_zone("hartford", 4, 1, "b");
    let (status, body) = group.daemon(through).post("/v1/settings/changes", &change).await;
    group.stalls[stalled].store(false, Ordering::SeqCst);
    assert_eq!((status, &body["revision"]), (200, &2.into()), "{body}");
    let same = async || {
        let (_, tree) = group.daemon(stalled).get("/v1/settings?stale=true").await;
        tree["revision"] == 2
    };
    group.wait_for("the stalled replica to catch up", same).await;
    group.stop_all().await;
}
