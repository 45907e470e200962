//! Processes of a fleet before an endpoint that sends bytes without end: the agent that calls it, and
//! the entry whose callers wait.

mod support;

use std::time::Duration;

use nutmegyoke_cases::cases;
use support::Daemon;
use support::raw::{RawFleet, request_bytes};
use support::upstream::{Action, exchange};

/// Callers that wait for the endpoint at the same time.
const CALLERS: usize = 16;

/// The memory of each machine, in KiB, as the settings of the entry state it.
const MAX_MEMORY_KIB: u64 = 96 * 1024;

/// A KiB without the end of a line.
const FILLER: &str = include_str!("support/filler.txt");

/// Bytes that come as fast as the agent reads.
const fn flood(start: &'static str) -> Action {
    Action::Endless {
        start,
        filler: FILLER,
        delay: Duration::ZERO,
    }
}

fn check_memory(name: &str, daemon: &mut Daemon) {
    assert!(daemon.is_running(), "the {name} ended");
    let peak = daemon.peak_memory_kib();
    assert!(peak <= MAX_MEMORY_KIB, "the {name} took {peak} KiB");
}

/// A process that kept what a faulty endpoint sent ran out of memory, and the requests of other callers
/// ended with it.
fn endless_bytes_stay_within_memory(action: &Action, headers: &str, streams: bool) {
    let mut fleet = RawFleet::spawn(action.clone());
    std::thread::scope(|scope| {
        for number in 0..CALLERS {
            let callers = fleet.entry.callers;
            scope.spawn(move || {
                let headers = headers.replace("{number}", &number.to_string());
                let request = request_bytes("POST", &headers, "lot-7");
                let answer = exchange(callers, request.as_bytes());
                // An answer that is too long fails, and one that takes too long; while the endpoint
                // is avoided for its failures, requests are refused as not run.
                let failed = [502, 503, 504].contains(&answer.status);
                let cut = streams && answer.status == 200 && !answer.complete;
                assert!(failed || cut, "{} {}", answer.status, answer.complete);
            });
        }
    });
    check_memory("entry", &mut fleet.entry.daemon);
    check_memory("agent", &mut fleet.fleet.agent);
}

cases!(endless_bytes_stay_within_memory {
    head: (&flood("HTTP/1.1 200 OK\r\nX-Fill: "), "", false),
    lines_in_a_head: (
        &Action::Endless {
            start: "HTTP/1.1 200 OK\r\n",
            filler: "X-A: b\r\n",
            delay: Duration::ZERO,
        },
        "",
        false
    ),
    bytes_that_are_no_head: (&flood(""), "", false),
    body: (&flood("HTTP/1.1 200 OK\r\n\r\n"), "", false),
    body_of_a_claimed_request: (
        &flood("HTTP/1.1 200 OK\r\n\r\n"),
        "Idempotency-Key: lot-{number}\r\n",
        false
    ),
    chunk: (
        &flood("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n"),
        "",
        false
    ),
    event: (
        &flood("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: "),
        "",
        true
    ),
});
