//! Tests whether the end of an attempt leads to a retry or finishes the request.

use nutmegyoke_cases::cases;
use nutmegyoke_core::request::attempt::{MAX_ATTEMPTS, Next, Progress, next};
use nutmegyoke_core::request::{Reason, Verdict};
use nutmegyoke_core::version::grant::Repeat;

const REASON: Reason = Reason::LinkLost;
const NOT_RUN: Verdict = Verdict::NotRun { reason: REASON };
const MAY_HAVE_RUN: Verdict = Verdict::MayHaveRun { reason: REASON };

const FIRST_ATTEMPT: Progress = Progress {
    attempts: 1,
    answer_started: false,
    repeat: Repeat::Once,
    uncertain: None,
};
const REPEATABLE: Progress = Progress {
    repeat: Repeat::Repeatable,
    ..FIRST_ATTEMPT
};

fn retries(progress: Progress, verdict: Verdict) {
    assert_eq!(next(progress, verdict), Next::Retry { reason: REASON });
}

cases!(retries {
    once_not_run: (FIRST_ATTEMPT, NOT_RUN),
    repeatable_not_run: (REPEATABLE, NOT_RUN),
    repeatable_may_have_run: (REPEATABLE, MAY_HAVE_RUN),
});

fn finishes(progress: Progress, verdict: Verdict) {
    assert_eq!(next(progress, verdict), Next::Finish { verdict });
}

cases!(finishes {
    ran: (FIRST_ATTEMPT, Verdict::Ran),
    once_may_have_run: (FIRST_ATTEMPT, MAY_HAVE_RUN),
    started_not_run: (
        Progress {
            answer_started: true,
            ..FIRST_ATTEMPT
        },
        NOT_RUN
    ),
    started_repeatable: (
        Progress {
            answer_started: true,
            ..REPEATABLE
        },
        MAY_HAVE_RUN
    ),
    attempts_used_up: (
        Progress {
            attempts: MAX_ATTEMPTS,
            ..REPEATABLE
        },
        NOT_RUN
    ),
});

/// The last attempt did not run, but an earlier one may have. The caller must not get the
/// verdict that the request did not run.
#[test]
fn not_run_after_an_uncertain_attempt_may_have_run() {
    let progress = Progress {
        attempts: MAX_ATTEMPTS,
        uncertain: Some(REASON),
        ..REPEATABLE
    };
    let verdict = MAY_HAVE_RUN;
    assert_eq!(next(progress, NOT_RUN), Next::Finish { verdict });
}
