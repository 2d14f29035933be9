//! The story of a request from several logs, whatever state they are in.

use juniper_cli::explain::{LogEvent, Story};
use quickcheck::quickcheck;

const ROUTER: &str = "\
time_ms=1000 level=info node=front-1 event=readiness ready=true catalog=3 age_ms=120
time_ms=5000 level=info node=front-1 event=attempt request=r1 instance=i-1 reason=home kept=0
time_ms=5001 level=info node=front-1 event=attempt request=r2 instance=i-2 reason=home kept=0
time_ms=5300 level=info node=front-1 event=attempt_failed request=r1 instance=i-1 reason=\"no answer in time\"
time_ms=5305 level=info node=front-1 event=server_reached instance=i-1 address=10.0.0.1:80
time_ms=5306 level=info node=front-1 event=server_reached instance=i-9 address=10.0.0.9:80
time_ms=5310 level=info node=front-1 event=request_done request=r1 outcome=own_answer status=502
      a line of something else
time_ms=53";

const CONTROL: &str = "\
time_ms=4900 level=info node=core-1 event=order_given instance=i-1 version=2 answer=\"Taken\"
time_ms=4950 level=info node=core-1 event=order_given instance=i-9 version=2 answer=\"Taken\"";

fn story(request: &str) -> Story {
    Story::of(request, &[ROUTER.to_owned(), CONTROL.to_owned()])
}

#[test]
fn events_of_all_processes_are_told_in_their_order() {
    let story = story("r1");
    let names: Vec<&str> = story.events.iter().map(|event| event.name.as_str()).collect();
    let expected = ["order_given", "attempt", "attempt_failed", "server_reached", "request_done"];
    assert_eq!(names, expected);
    assert_eq!(story.unreadable, 2);
    assert_eq!(story.events[2].get("reason"), Some("no answer in time"));
    let text = story.text("r1");
    assert!(text.contains("*       0 ms  front-1"), "{text}");
    assert!(text.contains("    -100 ms  core-1"), "{text}");
    assert!(text.contains("2 unreadable lines"), "{text}");
}

#[test]
fn a_request_without_events_is_said_to_have_none() {
    let text = story("r3").text("r3");
    assert_eq!(text, "no event of request r3; 2 unreadable lines\n");
}

quickcheck! {
    /// Whatever a log holds, its lines are events or counted.
    fn lines_never_panic(lines: Vec<String>) -> bool {
        let text = lines.join("\n");
        let story = Story::of("r1", std::slice::from_ref(&text));
        let lines = text.lines().filter(|line| !line.trim().is_empty());
        let events = lines.clone().filter(|line| LogEvent::parse(line).is_some()).count();
        story.unreadable + events == lines.count()
    }
}

const ENDS: &str = "\
time_ms=100 node=front-1 event=request_cut request=r7 instance=i-1 fingerprint=aa
time_ms=101 node=front-1 event=server_ended instance=i-1 proof=refused requests=2 fingerprints=bb,aa
time_ms=102 node=front-2 event=crash_counted fingerprint=aa instance=i-1 from=node-1 crashes=1
time_ms=103 node=front-2 event=crash_counted fingerprint=bb instance=i-1 from=node-1 crashes=1
time_ms=60000 node=front-3 event=request_quarantined fingerprint=aa crashes=3 servers=i-1,i-2,i-3
time_ms=90000 node=front-3 event=quarantined request=r8 fingerprint=aa
time_ms=90001 node=front-3 event=request_done request=r8 outcome=own_answer reason=quarantined status=502";

/// A refused request leads to the servers that ended under the same content, long before and under
/// other ids.
#[test]
fn a_request_in_quarantine_tells_of_the_ends_that_were_counted() {
    let story = Story::of("r8", &[ENDS.to_owned()]);
    let names: Vec<&str> = story.events.iter().map(|event| event.name.as_str()).collect();
    let expected = [
        "request_cut",
        "server_ended",
        "crash_counted",
        "request_quarantined",
        "quarantined",
        "request_done",
    ];
    assert_eq!(names, expected);
}
