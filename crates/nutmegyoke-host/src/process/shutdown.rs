//! Stops a process: gracefully, or forcibly once the drain limit has passed.

use std::io;
use std::time::Duration;

use futures_util::future::{Either, select};
use futures_util::pin_mut;

use super::{Event, signal};

/// How a process stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// Nothing was in flight.
    Graceful,
    /// `cut_off` requests were still in flight.
    CutOff { cut_off: usize },
}

/// Waits for the first termination signal, then runs `drain` until it has finished,
/// `limit` has passed or a second signal arrives.
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
    let expired = async {
        match limit {
            Some(limit) => compio::time::sleep(limit).await,
            None => std::future::pending().await,
        }
    };
    let second = signal::termination();
    pin_mut!(drain, expired, second);
    let why = match select(drain, select(expired, second)).await {
        Either::Left(_) => {
            Event::Stopped.log();
            return Ok(Stop::Graceful);
        }
        Either::Right((Either::Left(_), _)) => "the drain limit has passed",
        Either::Right((Either::Right(_), _)) => "a second termination signal arrived",
    };
    let cut_off = in_flight();
    if cut_off == 0 {
        Event::Stopped.log();
        return Ok(Stop::Graceful);
    }
    Event::CutOff { cut_off, why }.log();
    Ok(Stop::CutOff { cut_off })
}
