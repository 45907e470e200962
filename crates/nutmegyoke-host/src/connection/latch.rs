//! A condition that becomes true once and wakes all who wait for it.

use std::cell::RefCell;

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::Shared;

/// Closed at first, until it is opened for good.
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
    /// Opens it.
    pub fn open(&self) {
        self.sender.take();
    }

    /// Resolves when it is open.
    pub fn opened(&self) -> impl Future<Output = ()> + use<> {
        // The sender is only ever dropped, which reads as a cancellation.
        self.opened.clone().map(|_| ())
    }
}
