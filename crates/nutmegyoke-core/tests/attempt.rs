//! What follows the end of an attempt.

use nutmegyoke_cases::cases;
use nutmegyoke_core::request::attempt::{ATTEMPTS, Next, Progress, next};
use nutmegyoke_core::request::{Reason, Verdict};
use nutmegyoke_core::version::grant::Repeat;

const REASON: Reason = Reason::LinkLost;
const NOT_RUN: Verdict = Verdict::NotRun { reason: REASON };
const MAY_HAVE_RUN: Verdict = Verdict::MayHaveRun { reason: REASON };

const FIRST: Progress = Progress {
    attempts: 1,
    started: false,
    repeat: Repeat::Once,
    uncertain: None,
};
const REPEATABLE: Progress = Progress {
    repeat: Repeat::Repeatable,
    ..FIRST
};

fn retries(progress: Progress, verdict: Verdict) {
    assert_eq!(next(progress, verdict), Next::Retry { reason: REASON });
}

cases!(retries {
    once_not_run: (FIRST, NOT_RUN),
    repeatable_not_run: (REPEATABLE, NOT_RUN),
    repeatable_may_have_run: (REPEATABLE, MAY_HAVE_RUN),
});

fn settles(progress: Progress, verdict: Verdict) {
    assert_eq!(next(progress, verdict), Next::Settle { verdict });
}

cases!(settles {
    ran: (FIRST, Verdict::Ran),
    once_may_have_run: (FIRST, MAY_HAVE_RUN),
    started_not_run: (
        Progress {
            started: true,
            ..FIRST
        },
        NOT_RUN
    ),
    started_repeatable: (
        Progress {
            started: true,
            ..REPEATABLE
        },
        MAY_HAVE_RUN
    ),
    attempts_used_up: (
        Progress {
            attempts: ATTEMPTS,
            ..REPEATABLE
        },
        NOT_RUN
    ),
});

/// An attempt that did not run says nothing of an earlier one that may have.
#[test]
fn uncertainty_outlasts_a_later_attempt() {
    let progress = Progress {
        attempts: ATTEMPTS,
        uncertain: Some(REASON),
        ..REPEATABLE
    };
    let verdict = MAY_HAVE_RUN;
    assert_eq!(next(progress, NOT_RUN), Next::Settle { verdict });
}
