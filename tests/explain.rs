//! `nutmegyoke explain` on the log of a real gateway, for the kinds of failure that
//! docs/OPERATIONS.md explains, and `explain` and `audit` on logs written by the test.

mod support;

use std::io::Write;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use nutmegyoke_cases::cases;
use support::gateway::{ERROR_RESPONSE, Gateway, NOT_EXECUTED_RESPONSE};
use support::upstream::Action;

/// The time within which the gateway must log the end of a request.
const LOG_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs `nutmegyoke explain` on `log`.
fn explain(id: &str, log: &str) -> Output {
    run_tool(&["explain", id], log)
}

/// Runs the command-line tool with `log` as its standard input.
fn run_tool(arguments: &[&str], log: &str) -> Output {
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

/// Waits until the gateway has logged the end of the request, and returns its log.
fn wait_for_log(gateway: &Gateway, id: &str) -> String {
    let start = Instant::now();
    let is_end = |line: &String| line.contains("NY0301") && line.contains(id);
    while !gateway.daemon.log().iter().any(is_end) {
        assert!(start.elapsed() < LOG_TIMEOUT);
        std::thread::sleep(Duration::from_millis(20));
    }
    gateway.daemon.log().join("\n")
}

/// Checks that the explanation of a request to endpoints with these actions contains
/// `parts` in this order.
fn explanation_contains(actions: &[Action], path: &str, parts: &[&str]) {
    let (gateway, _upstreams) = Gateway::spawn_with_endpoints(actions);
    gateway.request(path, "walk-1");
    let output = explain("walk-1", &wait_for_log(&gateway, "walk-1"));
    assert!(output.status.success());
    let explanation = String::from_utf8(output.stdout).unwrap();
    let mut rest = explanation.as_str();
    for part in parts {
        let start = rest
            .find(part)
            .unwrap_or_else(|| panic!("no `{part}` after the previous part in {explanation}"));
        rest = &rest[start + part.len()..];
    }
}

cases!(explanation_contains {
    refused_by_the_only_endpoint: (
        &[Action::Send(NOT_EXECUTED_RESPONSE)],
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
    failed_on_both_endpoints: (
        &[Action::Send(ERROR_RESPONSE), Action::Send(ERROR_RESPONSE)],
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
    connection_lost_without_an_answer: (
        &[Action::Close],
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
    no_matching_route: (
        &[Action::Send(NOT_EXECUTED_RESPONSE)],
        "/pay/1",
        &[
            "NY0301 passed attempts=0",
            "halt=untried",
            "path=/pay/1",
            "unknown_path"
        ]
    ),
});

/// A log line of the end of request `r1`.
const END_LINE: &str =
    r#"{"at":5,"process":"a","level":"info","code":"NY0301","event":"passed","request":"r1"}"#;

/// Checks the error for a log without lines of the request.
fn fails_with(id: &str, log: &str, expected: &str) {
    let output = explain(id, log);
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains(expected), "{text}");
}

cases!(fails_with {
    empty_log: ("r1", "", "none of 0 lines is a log line of nutmegyoked"),
    lines_of_other_programs: ("r1", "GET /\n{\"at\":1}\n", "none of 2 lines is a log line"),
    unknown_request: ("r2", END_LINE, "no line of 1 names the request `r2`"),
});

/// Sorting by time alone would show the end of a request before its attempt.
#[test]
fn lines_of_one_process_keep_their_order_when_its_clock_steps_back() {
    let log = [
        r#"{"at":900,"process":"a","level":"info","code":"NY0302","event":"attempted","request":"r1"}"#,
        r#"{"at":100,"process":"a","level":"info","code":"NY0301","event":"passed","request":"r1"}"#,
        "a line of someone else",
    ];
    let output = explain("r1", &log.join("\n"));
    let explanation = String::from_utf8(output.stdout).unwrap();
    let [first, second] = ["NY0302", "NY0301"].map(|code| explanation.find(code).unwrap());
    assert!(first < second, "{explanation}");
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("1 lines are not of nutmegyoked"), "{text}");
}

/// Checks what `nutmegyoke audit` reports on an attempted request whose gateway then logged
/// `later_lines`. A request without an end counts as unexplained only if its gateway kept
/// running.
fn audit_counts(later_lines: &[&str], code: i32, expected: &str) {
    let attempted = r#"{"at":1,"process":"a","level":"info","code":"NY0302","event":"attempted","request":"r1"}"#;
    let log = [&[attempted], later_lines].concat().join("\n");
    let output = run_tool(&["audit"], &log);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(code), "{text}");
    assert!(text.contains(expected), "{text}");
}

cases!(audit_counts {
    request_ended: (&[END_LINE], 0, "      0  without a cause"),
    gateway_restarted: (
        &[r#"{"at":9,"process":"a","level":"info","code":"NY0100","event":"started"}"#],
        0,
        "      1  in flight when its gateway ended"
    ),
    no_later_lines: (&[], 0, "      1  in flight when its gateway ended"),
    gateway_continued: (
        &[r#"{"at":9,"process":"a","level":"info","code":"NY0200","event":"configured"}"#],
        3,
        "      1  without a cause"
    ),
});
