//! A one-shot event that any number of tasks can wait for.

use std::cell::RefCell;

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::Shared;

/// Starts closed; once opened, it stays open.
#[derive(Debug)]
pub struct Latch {
    sender: RefCell<Option<oneshot::Sender<()>>>,
    opened: Shared<oneshot::Receiver<()>>,
}

impl Default for Latch {
    fn default() -> Self {
        let (sender, receiver) = oneshot::channel();
        Self {
            sender: RefCell::new(Some(sender)),
            opened: receiver.shared(),
        }
    }
}

impl Latch {
    /// Opens the latch and wakes all waiting tasks. Further calls have no effect.
    pub fn open(&self) {
        self.sender.take();
    }

    /// Resolves when the latch is open.
    pub fn opened(&self) -> impl Future<Output = ()> + use<> {
        // The sender never sends; dropping it resolves the receiver with `Canceled`.
        self.opened.clone().map(|_| ())
    }
}
