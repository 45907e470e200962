//! From the id of a failed request to its cause: the walks of docs/OPERATIONS.md, on a
//! real gateway and its log.

mod support;

use std::io::Write;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use nutmegyoke_cases::cases;
use support::front::{FAILED, FULL, Fleet};
use support::upstream::Act;

/// How long the lines of a request may take to be written.
const WRITTEN: Duration = Duration::from_secs(5);

/// Runs `nutmegyoke explain` over `log`.
fn explain(id: &str, log: &str) -> Output {
    tool(&["explain", id], log)
}

fn tool(arguments: &[&str], log: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoke"));
    command.args(arguments);
    command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(log.as_bytes())
        .unwrap();
    child.wait_with_output().unwrap()
}

/// The log of the gateway once it has told how the request ended.
fn written(fleet: &Fleet, id: &str) -> String {
    let start = Instant::now();
    let ended = |line: &String| line.contains("NY0301") && line.contains(id);
    while !fleet.daemon.log().iter().any(ended) {
        assert!(start.elapsed() < WRITTEN);
        std::thread::sleep(Duration::from_millis(20));
    }
    fleet.daemon.log().join("\n")
}

/// The story of a request to endpoints that do `acts` has these parts, in this order.
fn tells(acts: &[Act], path: &str, parts: &[&str]) {
    let (fleet, _upstreams) = Fleet::serving(acts);
    fleet.request(path, "walk-1");
    let output = explain("walk-1", &written(&fleet, "walk-1"));
    assert!(output.status.success());
    let story = String::from_utf8(output.stdout).unwrap();
    let mut rest = story.as_str();
    for part in parts {
        let at = rest
            .find(part)
            .unwrap_or_else(|| panic!("no `{part}` in {story}"));
        rest = &rest[at + part.len()..];
    }
}

cases!(tells {
    refused_though_an_endpoint_was_there: (
        &[Act::Send(FULL)],
        "/book/1",
        &[
            "NY0503 endpoint-heard",
            "+     0 ms",
            "NY0302 attempted",
            "candidates=1",
            "endpoint=i-1",
            "heard-ms=",
            "NY0303 attempt-failed",
            "reason=queue_full",
            "verdict=not-run",
            "NY0301 passed",
            "halt=no-other",
            "no_endpoint",
        ]
    ),
    failed_after_its_endpoint_turned_bad: (
        &[Act::Send(FAILED), Act::Send(FAILED)],
        "/look/1",
        &[
            "NY0302 attempted",
            "NY0303 attempt-failed",
            "reason=endpoint_failed",
            "NY0302 attempted",
            "NY0303 attempt-failed",
            "NY0301 passed attempts=2",
            "halt=tries-used",
            "endpoint_failed",
            "may-have-run",
        ]
    ),
    may_have_run_at_an_endpoint_that_is_gone: (
        &[Act::Close],
        "/book/1",
        &[
            "NY0302 attempted",
            "NY0303 attempt-failed",
            "reason=link_lost",
            "verdict=may-have-run",
            "NY0301 passed attempts=1",
            "halt=once-only",
            "link_lost",
        ]
    ),
    refused_because_no_route_takes_it: (
        &[Act::Send(FULL)],
        "/pay/1",
        &[
            "NY0301 passed attempts=0",
            "halt=untried",
            "path=/pay/1",
            "unknown_path"
        ]
    ),
});

const LINE: &str =
    r#"{"at":5,"process":"a","level":"info","code":"NY0301","event":"passed","request":"r1"}"#;

/// What is said of a log in which nothing is found.
fn complains(id: &str, log: &str, expected: &str) {
    let output = explain(id, log);
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains(expected), "{text}");
}

cases!(complains {
    nothing: ("r1", "", "none of 0 lines is a log line of nutmegyoked"),
    lines_of_others: ("r1", "GET /\n{\"at\":1}\n", "none of 2 lines is a log line"),
    unknown_request: ("r2", LINE, "no line of 1 names the request `r2`"),
});

#[test]
fn lines_of_one_process_stay_in_order_when_its_clock_steps_back() {
    let log = [
        r#"{"at":900,"process":"a","level":"info","code":"NY0302","event":"attempted","request":"r1"}"#,
        r#"{"at":100,"process":"a","level":"info","code":"NY0301","event":"passed","request":"r1"}"#,
        "a line of someone else",
    ];
    let output = explain("r1", &log.join("\n"));
    let story = String::from_utf8(output.stdout).unwrap();
    let [first, second] = ["NY0302", "NY0301"].map(|code| story.find(code).unwrap());
    assert!(first < second, "{story}");
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("1 lines are not of nutmegyoked"), "{text}");
}

/// What `nutmegyoke audit` says of a request that was sent and has no end, where these
/// lines of its gateway follow.
fn audits(after: &[&str], code: i32, expected: &str) {
    let sent = r#"{"at":1,"process":"a","level":"info","code":"NY0302","event":"attempted","request":"r1"}"#;
    let log = [&[sent], after].concat().join("\n");
    let output = tool(&["audit"], &log);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(code), "{text}");
    assert!(text.contains(expected), "{text}");
}

cases!(audits {
    ended: (&[LINE], 0, "      0  without a cause"),
    started_again: (
        &[r#"{"at":9,"process":"a","level":"info","code":"NY0100","event":"started"}"#],
        0,
        "      1  in flight when its gateway ended"
    ),
    wrote_nothing_more: (&[], 0, "      1  in flight when its gateway ended"),
    went_on: (
        &[r#"{"at":9,"process":"a","level":"info","code":"NY0200","event":"configured"}"#],
        3,
        "      1  without a cause"
    ),
});
