//! Receives the answer to a submission from an agent.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::SinkExt;
use nutmegyoke_core::connection::Sequence;
use nutmegyoke_core::connection::sequence::Position;
use nutmegyoke_wire::connection::convert::text;
use nutmegyoke_wire::connection::link_capnp::answer;

/// The most parts of an answer that are queued for the caller. The agent waits while the
/// queue is full.
const MAX_QUEUED_PARTS: usize = 16;

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// The HTTP status and content type; always the first part.
    Head { status: u16, content_type: String },
    /// The next bytes of the body.
    Chunk { data: Bytes },
}

/// Receives the parts of an answer, as the capnp interface that the agent calls. Duplicate
/// parts are dropped and chunks after a gap are rejected; both are counted.
#[derive(Debug)]
pub struct Receiver {
    parts: RefCell<mpsc::Sender<Part>>,
    sequence: RefCell<Sequence>,
    head_received: Cell<bool>,
    dropped: prometheus::IntCounterVec,
}

impl Receiver {
    /// Opens a receiver. Returns the client to pass to the agent, and the queue of the parts.
    ///
    /// `dropped` counts the dropped and rejected parts by cause.
    #[must_use]
    pub fn open(dropped: &prometheus::IntCounterVec) -> (answer::Client, mpsc::Receiver<Part>) {
        let (parts, queue) = mpsc::channel(MAX_QUEUED_PARTS);
        let answer = Self {
            parts: RefCell::new(parts),
            sequence: RefCell::default(),
            head_received: Cell::new(false),
            dropped: dropped.clone(),
        };
        (capnp_rpc::new_client(answer), queue)
    }

    /// Queues a part; waits while the queue is full.
    async fn enqueue(&self, part: Part) -> capnp::Result<()> {
        let mut parts = self.parts.borrow().clone();
        parts
            .send(part)
            .await
            .map_err(|_| capnp::Error::disconnected("the caller left".to_owned()))
    }
}

impl answer::Server for Receiver {
    async fn head(
        self: Rc<Self>,
        params: answer::HeadParams,
        _: answer::HeadResults,
    ) -> capnp::Result<()> {
        if self.head_received.replace(true) {
            self.dropped.with_label_values(&["duplicate"]).inc();
            return Ok(());
        }
        let params = params.get()?;
        let part = Part::Head {
            status: params.get_status(),
            content_type: text(params.get_content_type())?.to_owned(),
        };
        self.enqueue(part).await
    }

    async fn chunk(
        self: Rc<Self>,
        params: answer::ChunkParams,
        _: answer::ChunkResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let position = self.sequence.borrow_mut().accept(params.get_sequence());
        match position {
            Position::Next => {
                let data = Bytes::copy_from_slice(params.get_data()?);
                self.enqueue(Part::Chunk { data }).await
            }
            Position::Duplicate => {
                self.dropped.with_label_values(&[position.name()]).inc();
                Ok(())
            }
            Position::Gap => {
                self.dropped.with_label_values(&[position.name()]).inc();
                Err(capnp::Error::failed("a chunk is missing".to_owned()))
            }
        }
    }
}
