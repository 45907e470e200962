//! The fault table of the request path: what fails, what the caller is told,
//! and how often the endpoints ran the request.

mod support;

use std::time::Duration;

use futures_util::future::join;
use nutmegyoke_cases::cases;
use nutmegyoke_standin::script::Action;
use support::pair::{Answered, Kind, Pair, book, complete, look};

fn block_on<F: Future>(future: F) -> F::Output {
    compio::runtime::Runtime::new().unwrap().block_on(future)
}

/// What the caller is told.
#[derive(Clone, Copy)]
struct Told {
    status: u16,
    /// The code of the error, and what is known of the request.
    error: Option<(&'static str, &'static str)>,
}

const DONE: Told = Told {
    status: 200,
    error: None,
};

const fn unknown(status: u16, code: &'static str) -> Told {
    Told {
        status,
        error: Some((code, "unknown")),
    }
}

impl Told {
    fn check(&self, answered: &Answered) {
        assert_eq!(answered.status, self.status, "{answered:?}");
        if let Some((code, ran)) = self.error {
            assert_eq!(answered.error("code"), code);
            assert_eq!(answered.error("ran"), ran);
        }
    }
}

const FAST: Action = Action::Answer {
    after: Duration::ZERO,
};
const SLOW: Action = Action::Answer {
    after: Duration::from_millis(500),
};

fn endpoint_fails_once(act: Action, told: Told, runs: u64) {
    block_on(async {
        let pair = Pair::spawn(Kind::Service).await;
        pair.play(&[act]);
        told.check(&book(pair.callers[0], None, "{}").await);
        assert_eq!(pair.runs(), runs);
    });
}

cases!(endpoint_fails_once {
    not_at_all: (FAST, DONE, 1),
    before_first_byte: (Action::Close, unknown(502, "endpoint_failed"), 1),
    after_first_byte: (Action::TruncateBody, unknown(502, "endpoint_failed"), 1),
    stalls: (Action::Stall, unknown(504, "deadline_passed"), 1),
});

#[test]
fn endpoint_stalls_repeatable() {
    block_on(async {
        let pair = Pair::spawn(Kind::Service).await;
        pair.play(&[Action::Stall]);
        let told = unknown(504, "deadline_passed");
        told.check(&look(pair.callers[0]).await);
        assert_eq!(pair.runs(), 1);
    });
}

fn both_endpoints_fail(act: Action, told: Told, runs: u64) {
    block_on(async {
        let pair = Pair::spawn(Kind::Service).await;
        pair.play(&[act]);
        told.check(&look(pair.callers[0]).await);
        assert_eq!(pair.runs(), runs);
    });
}

// Each endpoint fails its first request; the third attempt is answered.
cases!(both_endpoints_fail {
    before_first_byte: (Action::Close, DONE, 3),
    after_first_byte: (Action::TruncateBody, DONE, 3),
});

/// A connection that the endpoint closes while it is kept for reuse must not
/// make the HTTP library send the call again.
#[test]
fn reused_connection_sends_once() {
    block_on(async {
        let pair = Pair::spawn(Kind::Service).await;
        for _ in 0..8 {
            pair.play(&[FAST, Action::Close, Action::Close]);
            let mut failed = 0;
            for _ in 0..4 {
                let answered = book(pair.callers[0], None, "{}").await;
                failed += u64::from(answered.status != 200);
            }
            assert_eq!(pair.runs(), 4, "{failed} failed");
        }
    });
}

fn agent_killed(repeatable: bool, told: Told, runs: u64) {
    block_on(async {
        let mut pair = Pair::spawn(Kind::Service).await;
        pair.play(&[SLOW]);
        let callers = pair.callers[0];
        let request = async {
            if repeatable {
                look(callers).await
            } else {
                book(callers, None, "{}").await
            }
        };
        let kill = async {
            pair.running(1).await;
            pair.kill_busy();
        };
        let (answered, ()) = join(request, kill).await;
        told.check(&answered);
        assert_eq!(pair.runs(), runs);
    });
}

cases!(agent_killed {
    not_repeatable: (false, unknown(502, "link_lost"), 1),
    repeatable: (true, DONE, 2),
});

fn stream_breaks(act: Action, code: &str) {
    block_on(async {
        let pair = Pair::spawn(Kind::Engine).await;
        pair.play(&[act]);
        let answered = complete(pair.callers[0], true).await;
        assert_eq!(answered.status, 200);
        assert!(!answered.whole);
        assert_eq!(answered.text.matches("event").count(), 3, "{answered:?}");
        assert!(answered.text.contains(code), "{answered:?}");
        assert_eq!(pair.runs(), 1);
    });
}

cases!(stream_breaks {
    closes: (Action::TruncateStream { events: 3 }, "endpoint_failed"),
    stalls: (Action::StallStream { events: 3 }, "deadline_passed"),
});

#[test]
fn agent_killed_mid_stream() {
    block_on(async {
        let mut pair = Pair::spawn(Kind::Engine).await;
        pair.play(&[Action::StallStream { events: 3 }]);
        let request = complete(pair.callers[0], true);
        let kill = async {
            pair.running(1).await;
            compio::time::sleep(Duration::from_millis(300)).await;
            pair.kill_busy();
        };
        let (answered, ()) = join(request, kill).await;
        assert!(!answered.whole);
        assert!(answered.text.contains("link_lost"), "{answered:?}");
        assert_eq!(pair.runs(), 1);
    });
}

fn caller_leaves(act: Action) {
    block_on(async {
        let pair = Pair::spawn(Kind::Engine).await;
        pair.play(&[act]);
        let request = complete(pair.callers[0], true);
        let patience = Duration::from_millis(500);
        assert!(compio::time::timeout(patience, request).await.is_err());
        pair.until("the engine is told", || pair.left() == 1).await;
        assert_eq!(pair.runs(), 1);
    });
}

cases!(caller_leaves {
    before_first_byte: (Action::Stall),
    mid_stream: (Action::StallStream { events: 3 }),
});
