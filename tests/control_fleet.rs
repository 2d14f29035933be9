//! Control replicas as processes: accepted changes survive crashes, frozen leaders
//! and lost disks.

#[path = "support/replicas.rs"]
mod replicas;

#[path = "control_fleet/recovery.rs"]
mod recovery;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use replicas::{Fleet, Replica, put_zone};
use serde_json::{Value, json};

/// Longer than a replica waits for a quorum before it answers an operator.
const PAST_REPLICA_TIMEOUT: Duration = Duration::from_secs(7);

/// Writes `count` changes from revision `first` on, through the given replicas in turn;
/// returns the changes.
async fn write_changes(fleet: &Fleet, through: &[usize], first: u64, count: u64) -> Vec<Value> {
    let mut changes = Vec::new();
    for number in first..first + count {
        let change = put_zone("hartford", number % 9, number - 1, &format!("change-{number}"));
        let at = through[number as usize % through.len()];
        let (status, body) = fleet.write(at, &change).await;
        assert_eq!((status, body["revision"].as_u64()), (200, Some(number)), "{body}");
        changes.push(change);
    }
    changes
}

/// Retries every change and checks that each gets its original answer.
async fn resend_changes(fleet: &Fleet, at: usize, changes: &[Value]) {
    for (change, revision) in changes.iter().zip(1..) {
        let (status, body) = fleet.write(at, change).await;
        assert_eq!((status, body["revision"].as_u64()), (200, Some(revision)), "{body}");
    }
}

#[tokio::test]
async fn accepted_changes_survive_a_crash_of_the_leader_and_of_all_replicas() {
    let mut fleet = Fleet::start(3).await;
    let mut changes = write_changes(&fleet, &[0, 1, 2], 1, 6).await;
    let leader = fleet.leader().await;
    let others = fleet.others(leader);
    fleet.replicas[leader].kill();
    changes.extend(write_changes(&fleet, &others, 7, 6).await);
    resend_changes(&fleet, others[0], &changes).await;

    fleet.replicas[leader].start();
    assert_eq!(fleet.confirmed_revision(leader).await, 12);

    fleet.replicas.iter_mut().for_each(|replica| replica.kill());
    fleet.replicas.iter_mut().for_each(|replica| replica.start());
    for at in 0..3 {
        assert_eq!(fleet.confirmed_revision(at).await, 12);
    }
    resend_changes(&fleet, 0, &changes).await;
    let (status, history) = fleet.get(1, "/v1/settings/history").await.expect("a history");
    assert_eq!((status, history["changes"].as_array().map(Vec::len)), (200, Some(12)));
}

/// Writes changes one after another until `stop` is set; `accepted` holds the latest revision.
async fn write_until_stopped(
    fleet: &Fleet,
    through: &[usize],
    accepted: &AtomicU64,
    stop: &AtomicBool,
) {
    while !stop.load(Ordering::SeqCst) {
        let next = accepted.load(Ordering::SeqCst) + 1;
        write_changes(fleet, through, next, 1).await;
        accepted.store(next, Ordering::SeqCst);
    }
}

/// Checks that reads through the resumed replica `frozen` include all accepted changes.
async fn read_after_freeze(fleet: &Fleet, frozen: usize, accepted: &AtomicU64) {
    for _ in 0..40 {
        let known = accepted.load(Ordering::SeqCst);
        if let Some((200, tree)) = fleet.get(frozen, "/v1/settings").await {
            let read = tree["revision"].as_u64().expect("a revision");
            assert!(read >= known, "read {read} after {known} was accepted");
        }
    }
}

#[tokio::test]
async fn a_resumed_leader_accepts_no_stale_write_and_serves_no_stale_read() {
    let fleet = Fleet::start(3).await;
    write_changes(&fleet, &[0, 1, 2], 1, 3).await;
    let frozen = fleet.leader().await;
    let others = fleet.others(frozen);
    let (accepted, stop) = (AtomicU64::new(3), AtomicBool::new(false));
    let observe = async {
        fleet.replicas[frozen].freeze();
        replicas::eventually("writes are accepted without the frozen leader", async || {
            (accepted.load(Ordering::SeqCst) >= 12).then_some(())
        })
        .await;
        // A write based on the latest revision that the frozen replica knows, sent before
        // the replica resumes.
        let stale = put_zone("portland", 1, 3, "stale");
        let (stale, ()) = tokio::join!(fleet.post(frozen, "/v1/settings/changes", &stale), async {
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            fleet.replicas[frozen].resume();
            read_after_freeze(&fleet, frozen, &accepted).await;
        });
        if let Some((status, body)) = stale {
            assert_ne!(status, 200, "a stale write was accepted: {body}");
        }
        stop.store(true, Ordering::SeqCst);
    };
    tokio::join!(write_until_stopped(&fleet, &others, &accepted, &stop), observe);
    let last = accepted.load(Ordering::SeqCst);
    assert_eq!(fleet.confirmed_revision(frozen).await, last);
}

#[tokio::test]
async fn of_two_writes_at_the_same_revision_exactly_one_is_accepted() {
    let fleet = Fleet::start(3).await;
    for round in 0..15 {
        let first = put_zone("hartford", round % 9, round, &format!("first-{round}"));
        let second = put_zone("portland", round % 9, round, &format!("second-{round}"));
        let (at, other) = (round as usize % 3, (round as usize + 1) % 3);
        let (first, second) = tokio::join!(fleet.write(at, &first), fleet.write(other, &second));
        let (winner, loser) = if first.0 == 200 { (first, second) } else { (second, first) };
        assert_eq!((winner.0, winner.1["revision"].as_u64()), (200, Some(round + 1)));
        let detail = &loser.1["error"]["detail"];
        assert_eq!((loser.0, detail["current"].as_u64()), (409, Some(round + 1)), "{loser:?}");
        assert_eq!(detail["diff"].as_array().map(Vec::len), Some(1));
    }
}

#[tokio::test]
async fn a_replica_with_a_lost_disk_rejoins_with_a_new_disk_and_votes() {
    let mut fleet = Fleet::start(3).await;
    let changes = write_changes(&fleet, &[0, 1, 2], 1, 5).await;
    let leader = fleet.leader().await;
    let lost = fleet.others(leader)[0];
    let disk = fleet.get(lost, "/v1/status").await.expect("a status").1["disk"].clone();
    fleet.replicas[lost].kill();
    fleet.replicas[lost].lose_disk();
    fleet.replicas[lost].start();
    replicas::eventually("the replica follows with a new disk", async || {
        let (_, status) = fleet.get(lost, "/v1/status").await?;
        (status["role"] == "follower" && status["disk"] != disk).then_some(())
    })
    .await;
    fleet.wait_until_all_vote().await;
    // The leader and the rejoined replica form a quorum.
    let other = fleet.others(lost).into_iter().find(|at| *at != leader).expect("a third replica");
    fleet.replicas[other].kill();
    resend_changes(&fleet, lost, &changes).await;
    assert_eq!(fleet.confirmed_revision(lost).await, 5);
}

#[tokio::test]
async fn a_full_disk_stops_the_replica_and_loses_no_accepted_change() {
    let mut fleet = Fleet::start(1).await;
    let changes = write_changes(&fleet, &[0], 1, 3).await;
    fleet.replicas[0].kill();
    fleet.replicas[0].start_with_file_limit(64);
    assert_eq!(fleet.confirmed_revision(0).await, 3);
    let text = "warm ".repeat(1_000);
    let mut accepted = 3;
    loop {
        let mut change = put_zone("hartford", 1, accepted, &format!("large-{accepted}"));
        change["edits"][0]["node"]["overrides"]["warm_prefixes"] = vec![text.clone()].into();
        match fleet.post(0, "/v1/settings/changes", &change).await {
            Some((200, _)) => accepted += 1,
            answer => {
                let known = answer.is_none_or(|(_, body)| body["error"]["not_run"] != true);
                assert!(known, "a change that may be on disk was reported as not_run");
                break;
            }
        }
    }
    replicas::eventually("the replica exits with an error", async || {
        fleet.replicas[0].has_failed().then_some(())
    })
    .await;
    let log = fleet.replicas[0].log();
    assert!(log.contains("event=replica_failed reason=\"storage failed: write"), "{log}");
    fleet.replicas[0].kill();
    fleet.replicas[0].start();
    let revision = fleet.confirmed_revision(0).await;
    // The failed write may have reached the disk.
    assert!(revision == accepted || revision == accepted + 1, "{revision} after {accepted}");
    resend_changes(&fleet, 0, &changes).await;
}

#[tokio::test]
async fn the_operator_commands_reach_the_fleet_and_exit_as_documented() {
    let fleet = Fleet::start(3).await;
    let mut first = put_zone("hartford", 3, 0, "first");
    let back_end = json!({ "id": 7, "kind": "engine", "address": "127.0.0.1:9000" });
    first["edits"][0]["node"]["back_ends"] = json!([back_end]);
    let first = fleet.change_file(&first);
    for _ in 0..2 {
        let (code, answer) = fleet.command(&["tree", "apply", &first]);
        assert_eq!((code, &answer["revision"]), (Some(0), &1.into()), "{answer}");
    }
    let late = fleet.change_file(&put_zone("portland", 3, 0, "late"));
    assert_eq!(fleet.command(&["tree", "apply", &late]).0, Some(3));
    let faulty = fleet.change_file(&put_zone("portland", 12, 1, "faulty"));
    assert_eq!(fleet.command(&["tree", "apply", &faulty]).0, Some(4));

    let (code, answer) = fleet.command(&["drain", "7"]);
    assert_eq!((code, &answer["revision"]), (Some(0), &2.into()), "{answer}");
    let (_, answer) = fleet.command(&["tree", "get", "/hartford"]);
    assert_eq!(answer["node"]["back_ends"][0]["leaving"], true, "{answer}");
    let (_, answer) = fleet.command(&["tree", "effective", "/hartford"]);
    assert_eq!(answer["effective"]["priority"], 3, "{answer}");
    let (_, answer) = fleet.command(&["tree", "diff", "1", "2"]);
    assert_eq!(answer["changes"].as_array().map(Vec::len), Some(1), "{answer}");
    let (code, answer) = fleet.command(&["tree", "rollback", "1"]);
    assert_eq!((code, &answer["revision"]), (Some(0), &3.into()), "{answer}");
    let (_, answer) = fleet.command(&["tree", "history"]);
    assert_eq!(answer["changes"].as_array().map(Vec::len), Some(3), "{answer}");
    let (_, answer) = fleet.command(&["tree", "get"]);
    assert_eq!(answer["tree"]["/hartford"]["back_ends"][0]["leaving"], false, "{answer}");
    let (code, answer) = fleet.command(&["nodes"]);
    assert_eq!((code, &answer["nodes"]), (Some(0), &json!([])), "{answer}");
    let (code, answer) = fleet.command(&["status"]);
    assert_eq!((code, answer["members"].as_array().map(Vec::len)), (Some(0), Some(3)));
    assert_eq!(fleet.command(&["tree", "diff", "1"]).0, Some(2));
}

/// Guards against a change that an operator sees refused although a repetition is accepted.
#[tokio::test(flavor = "multi_thread")]
async fn an_operator_command_fails_while_the_first_replica_has_no_quorum() {
    let fleet = Fleet::start(3).await;
    let change = fleet.change_file(&put_zone("hartford", 3, 0, "first"));
    fleet.replicas[1..].iter().for_each(Replica::freeze);
    let (code, answer) = tokio::task::block_in_place(|| {
        std::thread::scope(|scope| {
            scope.spawn(|| {
                std::thread::sleep(PAST_REPLICA_TIMEOUT);
                fleet.replicas[1..].iter().for_each(Replica::resume);
            });
            fleet.command(&["tree", "apply", &change])
        })
    });
    assert_eq!((code, &answer["revision"]), (Some(0), &1.into()), "{answer}");
}

/// Fault of one replica while the others run.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Crash,
    Freeze,
    LostDisk,
}

/// Draws `count` faults from `seed`, each with the index of the affected replica.
fn draw_faults(seed: u64, count: usize) -> Vec<(Fault, usize)> {
    let mut state = seed;
    let mut draw = |below: u64| {
        // Constants of Knuth's MMIX generator.
        state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % below
    };
    let kinds = [Fault::Crash, Fault::Crash, Fault::Freeze, Fault::Freeze, Fault::LostDisk];
    let next = |_| (kinds[draw(5) as usize], draw(3) as usize);
    (0..count).map(next).collect()
}

/// Writes changes while replica `at` has the fault and again through it afterwards; returns
/// the next free revision.
async fn inject_fault(fleet: &mut Fleet, fault: Fault, at: usize, writes: u64, next: u64) -> u64 {
    let others = fleet.others(at);
    match fault {
        Fault::Crash | Fault::LostDisk => fleet.replicas[at].kill(),
        Fault::Freeze => fleet.replicas[at].freeze(),
    }
    write_changes(fleet, &others, next, writes).await;
    match fault {
        Fault::Crash => fleet.replicas[at].start(),
        Fault::Freeze => fleet.replicas[at].resume(),
        Fault::LostDisk => {
            fleet.replicas[at].lose_disk();
            fleet.replicas[at].start();
        }
    }
    write_changes(fleet, &[at], next + writes, writes).await;
    next + 2 * writes
}

#[tokio::test]
async fn no_accepted_change_is_lost_in_a_series_of_faults() {
    const WRITES_PER_STEP: u64 = 4;
    let mut fleet = Fleet::start(3).await;
    let mut next = 1;
    for (fault, at) in draw_faults(0x5707, 12) {
        eprintln!("{fault:?} of replica {at} at revision {next}");
        next = inject_fault(&mut fleet, fault, at, WRITES_PER_STEP, next).await;
        fleet.wait_until_all_vote().await;
    }
    for at in 0..3 {
        assert_eq!(fleet.confirmed_revision(at).await, next - 1);
        let (_, history) =
            fleet.get(at, "/v1/settings/history?limit=1000").await.expect("a history");
        let ids = history["changes"].as_array().expect("changes").iter().rev();
        let ids: Vec<_> = ids.filter_map(|change| change["change_id"].as_str()).collect();
        let expected: Vec<_> = (1..next).map(|number| format!("change-{number}")).collect();
        assert_eq!(ids, expected);
    }
}
