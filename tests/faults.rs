//! Faults on the request path: for each, the answer to the caller and how often the
//! endpoints ran the request.

mod support;

use std::time::Duration;

use futures_util::future::join;
use nutmegyoke_cases::cases;
use nutmegyoke_standin::script::Action;
use support::scripted::{Answer, Fixture, Kind, book, complete, list_bookings};

fn block_on<F: Future>(future: F) -> F::Output {
    compio::runtime::Runtime::new().unwrap().block_on(future)
}

/// The answer that the caller must receive.
#[derive(Clone, Copy)]
struct Expected {
    status: u16,
    /// The `code` of the error, and its `ran`: whether the request ran.
    error: Option<(&'static str, &'static str)>,
}

/// The request succeeded.
const SUCCESS: Expected = Expected {
    status: 200,
    error: None,
};

/// The request failed, and whether it ran is unknown.
const fn outcome_unknown(status: u16, code: &'static str) -> Expected {
    Expected {
        status,
        error: Some((code, "unknown")),
    }
}

impl Expected {
    fn check(&self, answer: &Answer) {
        assert_eq!(answer.status, self.status, "{answer:?}");
        if let Some((code, ran)) = self.error {
            assert_eq!(answer.error("code"), code);
            assert_eq!(answer.error("ran"), ran);
        }
    }
}

const IMMEDIATE: Action = Action::Answer {
    after: Duration::ZERO,
};

/// A slow answer, so that a test can act while the request runs.
const SLOW: Action = Action::Answer {
    after: Duration::from_millis(500),
};

/// A second attempt could run the request twice.
fn non_repeatable_request_is_not_retried(action: Action, expected: Expected, runs: u64) {
    block_on(async {
        let fixture = Fixture::spawn(Kind::Service).await;
        fixture.set_actions(&[action]);
        expected.check(&book(fixture.callers[0], None, "{}").await);
        assert_eq!(fixture.runs(), runs);
    });
}

cases!(non_repeatable_request_is_not_retried {
    no_fault: (IMMEDIATE, SUCCESS, 1),
    before_first_byte: (Action::Close, outcome_unknown(502, "endpoint_failed"), 1),
    after_first_byte: (
        Action::TruncateBody,
        outcome_unknown(502, "endpoint_failed"),
        1
    ),
    stalls: (Action::Stall, outcome_unknown(504, "deadline_passed"), 1),
});

/// The stall lasts until the deadline, after which no attempt may start.
#[test]
fn stalled_repeatable_request_is_not_retried() {
    block_on(async {
        let fixture = Fixture::spawn(Kind::Service).await;
        fixture.set_actions(&[Action::Stall]);
        let expected = outcome_unknown(504, "deadline_passed");
        expected.check(&list_bookings(fixture.callers[0]).await);
        assert_eq!(fixture.runs(), 1);
    });
}

fn repeatable_request_is_retried(action: Action, expected: Expected, runs: u64) {
    block_on(async {
        let fixture = Fixture::spawn(Kind::Service).await;
        fixture.set_actions(&[action]);
        expected.check(&list_bookings(fixture.callers[0]).await);
        assert_eq!(fixture.runs(), runs);
    });
}

// Each endpoint fails its first request, and the third attempt succeeds.
cases!(repeatable_request_is_retried {
    before_first_byte: (Action::Close, SUCCESS, 3),
    after_first_byte: (Action::TruncateBody, SUCCESS, 3),
});

/// When an endpoint closes a connection that is kept for reuse, the HTTP library must not
/// send the request a second time.
#[test]
fn reused_connection_sends_once() {
    block_on(async {
        let fixture = Fixture::spawn(Kind::Service).await;
        for _ in 0..8 {
            fixture.set_actions(&[IMMEDIATE, Action::Close, Action::Close]);
            let mut failed = 0;
            for _ in 0..4 {
                let answer = book(fixture.callers[0], None, "{}").await;
                failed += u64::from(answer.status != 200);
            }
            assert_eq!(fixture.runs(), 4, "{failed} of 4 requests failed");
        }
    });
}

/// The agent is killed while its endpoint runs the request, so that a second attempt runs it
/// once more.
fn only_repeatable_request_is_retried_after_an_agent_kill(
    repeatable: bool,
    expected: Expected,
    runs: u64,
) {
    block_on(async {
        let mut fixture = Fixture::spawn(Kind::Service).await;
        fixture.set_actions(&[SLOW]);
        let callers = fixture.callers[0];
        let request = async {
            if repeatable {
                list_bookings(callers).await
            } else {
                book(callers, None, "{}").await
            }
        };
        let kill = async {
            fixture.wait_for_runs(1).await;
            fixture.kill_busy_agent();
        };
        let (answer, ()) = join(request, kill).await;
        expected.check(&answer);
        assert_eq!(fixture.runs(), runs);
    });
}

cases!(only_repeatable_request_is_retried_after_an_agent_kill {
    not_repeatable: (false, outcome_unknown(502, "link_lost"), 1),
    repeatable: (true, SUCCESS, 2),
});

/// A caller must not take the events before the fault for the complete answer.
fn broken_stream_ends_with_an_error(action: Action, code: &str) {
    block_on(async {
        let fixture = Fixture::spawn(Kind::Engine).await;
        fixture.set_actions(&[action]);
        let answer = complete(fixture.callers[0], true).await;
        assert_eq!(answer.status, 200);
        assert!(!answer.complete);
        assert_eq!(answer.body.matches("event").count(), 3, "{answer:?}");
        assert!(answer.body.contains(code), "{answer:?}");
        assert_eq!(fixture.runs(), 1);
    });
}

cases!(broken_stream_ends_with_an_error {
    endpoint_closes: (Action::TruncateStream { events: 3 }, "endpoint_failed"),
    endpoint_stalls: (Action::StallStream { events: 3 }, "deadline_passed"),
});

#[test]
fn stream_ends_with_an_error_when_its_agent_is_killed() {
    block_on(async {
        let mut fixture = Fixture::spawn(Kind::Engine).await;
        fixture.set_actions(&[Action::StallStream { events: 3 }]);
        let request = complete(fixture.callers[0], true);
        let kill = async {
            fixture.wait_for_runs(1).await;
            compio::time::sleep(Duration::from_millis(300)).await;
            fixture.kill_busy_agent();
        };
        let (answer, ()) = join(request, kill).await;
        assert!(!answer.complete);
        assert!(answer.body.contains("link_lost"), "{answer:?}");
        assert_eq!(fixture.runs(), 1);
    });
}

/// Without the cancellation the engine would continue a stream that nobody reads.
fn caller_disconnect_cancels_the_stream(action: Action) {
    block_on(async {
        let fixture = Fixture::spawn(Kind::Engine).await;
        fixture.set_actions(&[action]);
        let request = complete(fixture.callers[0], true);
        let caller_timeout = Duration::from_millis(500);
        assert!(
            compio::time::timeout(caller_timeout, request)
                .await
                .is_err()
        );
        fixture
            .wait_until("the engine sees the cancellation", || {
                fixture.abandoned() == 1
            })
            .await;
        assert_eq!(fixture.runs(), 1);
    });
}

cases!(caller_disconnect_cancels_the_stream {
    before_first_byte: (Action::Stall),
    mid_stream: (Action::StallStream { events: 3 }),
});
