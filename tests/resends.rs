//! Keyed requests that must not run twice, sent again through another entry.

mod support;

use std::time::Duration;

use futures_util::future::{join, join_all};
use nutmegyoke_standin::script::Action;
use support::pair::{Kind, Pair, book};

const KEY: Option<&str> = Some("lot-1");
const BODY: &str = r#"{"lot":1}"#;
const SLOW: Action = Action::Answer {
    after: Duration::from_millis(500),
};

/// Resends of one key at once.
const RESENDS: usize = 200;

fn block_on<F: Future>(future: F) -> F::Output {
    compio::runtime::Runtime::new().unwrap().block_on(future)
}

#[test]
fn while_running() {
    block_on(async {
        let pair = Pair::spawn(Kind::Service).await;
        pair.play(&[SLOW]);
        let first = book(pair.callers[0], KEY, BODY);
        let second = async {
            pair.running(1).await;
            book(pair.callers[1], KEY, BODY).await
        };
        let (first, second) = join(first, second).await;
        assert_eq!(first.status, 200, "{first:?}");
        assert_eq!(first, second);
        assert_eq!(pair.runs(), 1);
    });
}

#[test]
fn while_it_runs_past_the_deadline() {
    block_on(async {
        let pair = Pair::spawn(Kind::Service).await;
        pair.play(&[Action::Stall]);
        let first = book(pair.callers[0], KEY, BODY);
        let second = async {
            pair.running(1).await;
            compio::time::sleep(Duration::from_millis(100)).await;
            book(pair.callers[1], KEY, BODY).await
        };
        let (first, second) = join(first, second).await;
        assert_eq!(first.error("code"), "deadline_passed");
        assert_eq!(first.error("ran"), "unknown");
        assert_eq!(second.error("ran"), "unknown", "{second:?}");
        assert_eq!(pair.runs(), 1);
    });
}

#[test]
fn after_success() {
    block_on(async {
        let pair = Pair::spawn(Kind::Service).await;
        let first = book(pair.callers[0], KEY, BODY).await;
        let second = book(pair.callers[1], KEY, BODY).await;
        assert_eq!(first.status, 200, "{first:?}");
        assert_eq!(first, second);
        assert_eq!(pair.runs(), 1);
    });
}

#[test]
fn after_the_caller_left() {
    block_on(async {
        let pair = Pair::spawn(Kind::Service).await;
        pair.play(&[SLOW]);
        let patience = Duration::from_millis(200);
        let first = compio::time::timeout(patience, book(pair.callers[0], KEY, BODY));
        assert!(first.await.is_err());
        let second = book(pair.callers[1], KEY, BODY).await;
        assert_eq!(second.status, 200, "{second:?}");
        assert_eq!(pair.runs(), 1);
    });
}

#[test]
fn after_success_and_the_death_of_the_agent() {
    block_on(async {
        let mut pair = Pair::spawn(Kind::Service).await;
        assert_eq!(book(pair.callers[0], KEY, BODY).await.status, 200);
        pair.kill_busy();
        let second = book(pair.callers[1], KEY, BODY).await;
        assert_eq!(second.status, 410, "{second:?}");
        assert_eq!(second.error("code"), "answer_gone");
        assert_eq!(second.error("ran"), "yes");
        assert_eq!(pair.runs(), 1);
    });
}

#[test]
fn after_the_agent_died_running() {
    block_on(async {
        let mut pair = Pair::spawn(Kind::Service).await;
        pair.play(&[SLOW]);
        let callers = pair.callers;
        let first = book(callers[0], KEY, BODY);
        let kill = async {
            pair.running(1).await;
            pair.kill_busy();
        };
        let (first, ()) = join(first, kill).await;
        let second = book(callers[1], KEY, BODY).await;
        for answered in [first, second] {
            assert_eq!(answered.error("code"), "link_lost", "{answered:?}");
            assert_eq!(answered.error("ran"), "unknown");
        }
        assert_eq!(pair.runs(), 1);
    });
}

#[test]
fn with_another_body() {
    block_on(async {
        let pair = Pair::spawn(Kind::Service).await;
        assert_eq!(book(pair.callers[0], KEY, BODY).await.status, 200);
        let second = book(pair.callers[1], KEY, r#"{"lot":2}"#).await;
        assert_eq!(second.status, 422, "{second:?}");
        assert_eq!(second.error("code"), "key_reused");
        assert_eq!(second.error("ran"), "no");
        assert_eq!(pair.runs(), 1);
    });
}

#[test]
fn many_at_once_through_two_entries() {
    block_on(async {
        let pair = Pair::spawn(Kind::Service).await;
        pair.play(&[SLOW]);
        let sent = (0..RESENDS).map(|number| book(pair.callers[number % 2], KEY, BODY));
        let answers = join_all(sent).await;
        assert_eq!(pair.runs(), 1);
        for answered in &answers {
            assert_eq!(answered, &answers[0]);
            assert_eq!(answered.status, 200, "{answered:?}");
        }
    });
}
