//! Waits for Unix signals.

use std::io;

use futures_util::future::select;
use futures_util::{pin_mut, poll};

const SIGHUP: i32 = 1;

const SIGTERM: i32 = 15;

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// The signal handlers can't be installed.
pub async fn termination() -> io::Result<()> {
    let terminate = compio::signal::unix::signal(SIGTERM);
    let interrupt = compio::signal::ctrl_c();
    pin_mut!(terminate, interrupt);
    select(terminate, interrupt).await.factor_first().0
}

/// Calls `reload` on every SIGHUP.
///
/// # Errors
///
/// The signal handlers can't be installed.
pub async fn on_hangup(reload: impl Fn()) -> io::Result<()> {
    let hangup = || Box::pin(compio::signal::unix::signal(SIGHUP));
    // Without a listener, SIGHUP would terminate the process. One listener therefore stays
    // registered while the other is replaced.
    let mut guard = hangup();
    let _ = poll!(&mut guard);
    loop {
        hangup().await?;
        reload();
        let mut next = hangup();
        let _ = poll!(&mut next);
        drop(std::mem::replace(&mut guard, next));
    }
}
