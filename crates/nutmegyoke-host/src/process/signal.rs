//! Waits for the request to stop.

use std::io;

use futures_util::future::select;
use futures_util::pin_mut;

const SIGTERM: i32 = 15;

/// Waits for SIGTERM or an interrupt from the terminal.
///
/// # Errors
///
/// The signal handlers can't be installed.
pub async fn stop() -> io::Result<()> {
    let terminate = compio::signal::unix::signal(SIGTERM);
    let interrupt = compio::signal::ctrl_c();
    pin_mut!(terminate, interrupt);
    select(terminate, interrupt).await.factor_first().0
}
