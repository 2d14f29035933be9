//! Settings writes: conflicts, retries, rollbacks, rate limit and snapshots.

use juniper_control_state::{
    Answer, Command, ControlState, MAX_CHANGE_IDS, WriteAnswer, WriteHeader,
};
use juniper_settings::{ChangeSet, Edit, SettingsNode};
use juniper_types::{ChangeId, Revision};

/// Time between writes, long enough for the rate limit to allow every write.
const WRITE_INTERVAL_MS: u64 = 1_000;

#[derive(Default)]
struct Writer {
    state: ControlState,
    index: u64,
}

impl Writer {
    fn apply(&mut self, command: Command) -> WriteAnswer {
        self.index += 1;
        match self.state.apply(self.index, command) {
            Answer::Write(answer) => answer,
            other => panic!("expected a write answer, got {other:?}"),
        }
    }

    fn header(&self, base: u64, id: &str) -> WriteHeader {
        WriteHeader {
            base: Revision(base),
            change_id: ChangeId::new(id).unwrap(),
            author: "test".to_owned(),
            at_ms: self.index * WRITE_INTERVAL_MS,
        }
    }

    fn put(&mut self, base: u64, id: &str, zone: &str, priority: u8) -> WriteAnswer {
        let header = self.header(base, id);
        self.apply(Command::ChangeSettings { header, change: put(zone, priority) })
    }

    fn rollback(&mut self, base: u64, id: &str, to: u64) -> WriteAnswer {
        let header = self.header(base, id);
        self.apply(Command::Rollback { header, to: Revision(to) })
    }
}

fn put(zone: &str, priority: u8) -> ChangeSet {
    let mut node = SettingsNode::default();
    node.overrides.priority = Some(priority);
    let path = format!("/{zone}").parse().unwrap();
    ChangeSet { edits: vec![Edit::Put { path, node: Box::new(node) }] }
}

fn accepted(revision: u64) -> WriteAnswer {
    WriteAnswer::Accepted { revision: Revision(revision) }
}

#[test]
fn one_of_two_writes_with_the_same_base_is_accepted() {
    let mut writer = Writer::default();
    assert_eq!(writer.put(0, "a", "hartford", 1), accepted(1));
    let WriteAnswer::Conflict { current, diff: Some(diff) } = writer.put(0, "b", "portland", 2)
    else {
        panic!("the second write got no conflict");
    };
    assert_eq!((current, diff.len()), (Revision(1), 1));
    assert_eq!(diff[0].path.to_string(), "/hartford");
}

#[test]
fn a_retried_write_gets_the_original_answer_after_a_restore() {
    let mut writer = Writer::default();
    writer.put(0, "a", "hartford", 1);
    writer.put(1, "b", "hartford", 2);
    let snapshot = writer.state.to_snapshot();
    writer.state = ControlState::from_snapshot(&snapshot).unwrap();
    assert_eq!(writer.put(0, "a", "hartford", 1), accepted(1));
    assert_eq!(writer.state.settings().revision(), Revision(2));
    let reused = WriteAnswer::ChangeIdReused { revision: Revision(1) };
    assert_eq!(writer.put(2, "a", "hartford", 9), reused);
}

#[test]
fn a_write_with_an_evicted_change_id_is_not_applied_twice() {
    let mut writer = Writer::default();
    for revision in 0..=MAX_CHANGE_IDS as u64 {
        let answer = writer.put(revision, &format!("id-{revision}"), "hartford", 1);
        assert_eq!(answer, accepted(revision + 1));
    }
    assert!(matches!(writer.put(0, "id-0", "hartford", 1), WriteAnswer::Conflict { .. }));
}

#[test]
fn a_rollback_creates_a_new_revision_with_the_old_tree() {
    let mut writer = Writer::default();
    writer.put(0, "a", "hartford", 1);
    let old = writer.state.settings().tree().clone();
    writer.put(1, "b", "hartford", 2);
    writer.put(2, "c", "portland", 3);
    assert_eq!(writer.rollback(3, "d", 1), accepted(4));
    assert_eq!(*writer.state.settings().tree(), old);
    assert_eq!(writer.rollback(3, "d", 1), accepted(4), "resent");
    assert_eq!(writer.state.settings().diff(Revision(1), Revision(4)), Some(Vec::new()));
    assert!(matches!(writer.rollback(4, "e", 9), WriteAnswer::RevisionUnavailable { .. }));
}

#[test]
fn a_diff_excludes_overwritten_changes() {
    let mut writer = Writer::default();
    writer.put(0, "a", "hartford", 1);
    writer.put(1, "b", "portland", 2);
    writer.put(2, "c", "portland", 3);
    let settings = writer.state.settings();
    let forward = settings.diff(Revision(1), Revision(3)).unwrap();
    assert_eq!((forward.len(), forward[0].before.is_none()), (1, true));
    let backward = settings.diff(Revision(3), Revision(1)).unwrap();
    assert_eq!(backward[0], forward[0].inverse());
    assert_eq!(settings.diff(Revision(0), Revision(9)), None);
}

#[test]
fn a_rate_limited_write_is_accepted_after_the_stated_delay() {
    let mut writer = Writer::default();
    let mut revision = 0;
    let retry_after_ms = loop {
        let mut header = writer.header(revision, &format!("id-{revision}"));
        header.at_ms = 5;
        let change = put("hartford", 1);
        match writer.apply(Command::ChangeSettings { header, change }) {
            WriteAnswer::Accepted { .. } => revision += 1,
            WriteAnswer::RateLimited { retry_after_ms } => break retry_after_ms,
            other => panic!("unexpected {other:?}"),
        }
    };
    assert_eq!(revision, juniper_control_state::rate::WRITE_BURST);
    let mut header = writer.header(revision, &format!("id-{revision}"));
    header.at_ms = 5 + retry_after_ms;
    let answer = writer.apply(Command::ChangeSettings { header, change: put("hartford", 1) });
    assert_eq!(answer, accepted(revision + 1));
}

#[test]
fn a_clock_one_day_ahead_does_not_block_other_writers() {
    const DAY_MS: u64 = 86_400_000;
    let mut writer = Writer::default();
    let mut header = writer.header(0, "ahead");
    header.at_ms += DAY_MS;
    let change = put("hartford", 1);
    assert_eq!(writer.apply(Command::ChangeSettings { header, change }), accepted(1));
    for revision in 1..1_000 {
        let answer = writer.put(revision, &format!("id-{revision}"), "hartford", 1);
        assert_eq!(answer, accepted(revision + 1));
    }
}

#[test]
fn newer_and_truncated_snapshots_are_rejected() {
    let mut snapshot = ControlState::default().to_snapshot();
    assert!(ControlState::from_snapshot(&snapshot[..snapshot.len() - 1]).is_err());
    snapshot[1] = 2;
    let error = ControlState::from_snapshot(&snapshot).unwrap_err();
    assert_eq!(error.to_string(), "snapshot version 2 is newer than 1");
}
