//! Orders of the control leader to engines, as sent to their agents.

use nutmegyoke_core::process::order::{Action, Fence, Order, Weights};

use crate::connection::convert::{parse, text};
use crate::connection::order_capnp::{fence, order, weights};

/// Reads a fencing token.
#[must_use]
pub fn read_fence(reader: fence::Reader<'_>) -> Fence {
    Fence {
        term: reader.get_term(),
        sequence: reader.get_sequence(),
    }
}

/// Writes a fencing token.
pub fn write_fence(fence: Fence, mut builder: fence::Builder<'_>) {
    builder.set_term(fence.term);
    builder.set_sequence(fence.sequence);
}

/// Reads the identity of weights.
///
/// # Errors
///
/// The message is malformed.
pub fn read_weights(reader: weights::Reader<'_>) -> capnp::Result<Weights> {
    Ok(Weights {
        kind: parse(reader.get_kind())?,
        name: text(reader.get_name())?.to_owned(),
        version: reader.get_version(),
    })
}

/// Writes the identity of weights.
pub fn write_weights(weights: &Weights, mut builder: weights::Builder<'_>) {
    builder.set_kind(weights.kind.to_string());
    builder.set_name(&weights.name);
    builder.set_version(weights.version);
}

/// Reads an order.
///
/// # Errors
///
/// The message is malformed.
pub fn read(reader: order::Reader<'_>) -> capnp::Result<Order> {
    let action = match reader.which()? {
        order::Load(group) => Action::Load {
            weights: read_weights(group.get_weights()?)?,
            bytes: group.get_bytes(),
        },
        order::Unload(weights) => Action::Unload {
            weights: read_weights(weights?)?,
        },
        order::Turn(stage) => Action::Turn {
            stage: parse(stage)?,
        },
    };
    Ok(Order {
        endpoint: text(reader.get_endpoint())?.to_owned(),
        fence: read_fence(reader.get_fence()?),
        action,
    })
}

/// Writes an order.
pub fn write(order: &Order, mut builder: order::Builder<'_>) {
    builder.set_endpoint(&order.endpoint);
    write_fence(order.fence, builder.reborrow().init_fence());
    match &order.action {
        Action::Load { weights, bytes } => {
            let mut group = builder.init_load();
            group.set_bytes(*bytes);
            write_weights(weights, group.init_weights());
        }
        Action::Unload { weights } => write_weights(weights, builder.init_unload()),
        Action::Turn { stage } => builder.set_turn(stage.to_string()),
    }
}
