//! Timelines of requests from the logs of several processes, including malformed lines.

use juniper_cli::explain::{LogEvent, RequestTimeline};
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

fn timeline(request: &str) -> RequestTimeline {
    RequestTimeline::collect(request, &[ROUTER.to_owned(), CONTROL.to_owned()])
}

#[test]
fn events_of_all_processes_are_merged_by_time() {
    let timeline = timeline("r1");
    let names: Vec<&str> = timeline.events.iter().map(|event| event.name.as_str()).collect();
    let expected = ["order_given", "attempt", "attempt_failed", "server_reached", "request_done"];
    assert_eq!(names, expected);
    assert_eq!(timeline.unreadable, 2);
    assert_eq!(timeline.events[2].get("reason"), Some("no answer in time"));
    let text = timeline.render("r1");
    assert!(text.contains("*       0 ms  front-1"), "{text}");
    assert!(text.contains("    -100 ms  core-1"), "{text}");
    assert!(text.contains("2 unreadable lines"), "{text}");
}

#[test]
fn a_request_without_events_renders_a_notice() {
    let text = timeline("r3").render("r3");
    assert_eq!(text, "no event of request r3; 2 unreadable lines\n");
}

quickcheck! {
    /// Every non-blank line is either parsed as an event or counted as unreadable.
    fn every_line_is_parsed_or_counted(lines: Vec<String>) -> bool {
        let text = lines.join("\n");
        let timeline = RequestTimeline::collect("r1", std::slice::from_ref(&text));
        let lines = text.lines().filter(|line| !line.trim().is_empty());
        let events = lines.clone().filter(|line| LogEvent::parse(line).is_some()).count();
        timeline.unreadable + events == lines.count()
    }
}

const CRASHES: &str = "\
time_ms=100 node=front-1 event=request_cut request=r7 instance=i-1 fingerprint=aa
time_ms=101 node=front-1 event=server_ended instance=i-1 proof=refused requests=2 fingerprints=bb,aa
time_ms=102 node=front-2 event=crash_counted fingerprint=aa instance=i-1 from=node-1 crashes=1
time_ms=103 node=front-2 event=crash_counted fingerprint=bb instance=i-1 from=node-1 crashes=1
time_ms=60000 node=front-3 event=request_quarantined fingerprint=aa crashes=3 servers=i-1,i-2,i-3
time_ms=90000 node=front-3 event=quarantined request=r8 fingerprint=aa
time_ms=90001 node=front-3 event=request_done request=r8 outcome=own_answer reason=quarantined status=502";

/// Crashes are found by fingerprint, under other request ids and outside the time range.
#[test]
fn the_timeline_of_a_quarantined_request_includes_earlier_crashes() {
    let timeline = RequestTimeline::collect("r8", &[CRASHES.to_owned()]);
    let names: Vec<&str> = timeline.events.iter().map(|event| event.name.as_str()).collect();
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
