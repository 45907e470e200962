//! Takes the answer to one submission from an agent.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::SinkExt;
use nutmegyoke_core::connection::Sequence;
use nutmegyoke_core::connection::sequence::Order;
use nutmegyoke_wire::connection::link::text;
use nutmegyoke_wire::connection::link_capnp::answer;

/// Parts of an answer that wait for the caller at most.
const MAX_QUEUED_PARTS: usize = 16;

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// Comes first, once.
    Head { status: u16, content_type: String },
    /// The next bytes of the body.
    Chunk { data: Bytes },
}

/// Receives the parts in order; foreign, late and duplicate ones are dropped.
#[derive(Debug)]
pub struct Answer {
    parts: RefCell<mpsc::Sender<Part>>,
    sequence: RefCell<Sequence>,
    head_received: Cell<bool>,
    dropped: prometheus::IntCounterVec,
}

impl Answer {
    /// Opens an answer and the queue of its parts.
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

    async fn enqueue(&self, part: Part) -> capnp::Result<()> {
        let mut parts = self.parts.borrow().clone();
        parts
            .send(part)
            .await
            .map_err(|_| capnp::Error::disconnected("the caller left".to_owned()))
    }
}

impl answer::Server for Answer {
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
        let order = self.sequence.borrow_mut().accept(params.get_sequence());
        match order {
            Order::Next => {
                let data = Bytes::copy_from_slice(params.get_data()?);
                self.enqueue(Part::Chunk { data }).await
            }
            Order::Duplicate => {
                self.dropped.with_label_values(&[order.name()]).inc();
                Ok(())
            }
            Order::Gap => {
                self.dropped.with_label_values(&[order.name()]).inc();
                Err(capnp::Error::failed("a chunk is missing".to_owned()))
            }
        }
    }
}
