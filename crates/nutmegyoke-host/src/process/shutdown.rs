//! Stops a process: gracefully, or at its limit.

use std::io;
use std::time::Duration;

use futures_util::future::{Either, select};
use futures_util::pin_mut;

use super::{Event, signal};

/// How a process stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// Nothing was in flight any more.
    Graceful,
    /// So many requests were cut off.
    CutOff { cut_off: usize },
}

/// Waits for the first signal to stop, then carries out `drain` until it is done,
/// until `limit` has passed or until a second signal.
///
/// # Errors
///
/// The signal handlers can't be installed.
pub async fn run<D: Future<Output = ()>>(
    limit: Option<Duration>,
    in_flight: impl Fn() -> usize,
    drain: D,
) -> io::Result<Stop> {
    signal::termination().await?;
    let limited = async {
        match limit {
            Some(limit) => compio::time::sleep(limit).await,
            None => std::future::pending().await,
        }
    };
    let again = signal::termination();
    pin_mut!(drain, limited, again);
    let why = match select(drain, select(limited, again)).await {
        Either::Left(_) => {
            Event::Stopped.log();
            return Ok(Stop::Graceful);
        }
        Either::Right((Either::Left(_), _)) => "the drain limit passed",
        Either::Right((Either::Right(_), _)) => "a second signal came",
    };
    let cut_off = in_flight();
    if cut_off == 0 {
        Event::Stopped.log();
        return Ok(Stop::Graceful);
    }
    Event::CutOff { cut_off, why }.log();
    Ok(Stop::CutOff { cut_off })
}
