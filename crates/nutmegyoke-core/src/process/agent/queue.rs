//! The queue in front of one endpoint.
//!
//! Customers share the endpoint by start-time fair queueing: each customer has a
//! flow with a virtual start tag, the flow with the lowest tag is served next, and
//! its tag grows by the cost of the request divided by its weight. Within a customer
//! the more urgent priority is served first, then the earlier deadline. A priority is
//! thus a share between customers and an order within one, and a burst of one
//! customer does not starve another.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

use crate::request::arrival::Destination;
use crate::version::Customer;

/// Maximum number of requests waiting for one endpoint.
pub const MAX_REQUESTS: usize = 256;

/// Maximum total size of the bodies waiting for one endpoint, in bytes.
pub const MAX_BYTES: usize = 16 * 1024 * 1024;

/// Maximum number of flows, including empty ones.
const MAX_FLOWS: usize = 2 * MAX_REQUESTS;

/// Virtual time per token of cost at weight 1. Divisible by every weight from 1 to 10.
const VIRTUAL_TIME_SCALE: u64 = 2520;

/// Maximum cost of one request, in tokens.
pub const MAX_COST_TOKENS: u64 = 1 << 24;

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Identifies the call in the agent.
    pub call: u64,
    /// The customer that sent the request.
    pub customer: Customer,
    /// What the endpoint must hold when the request starts.
    pub destination: Destination,
    /// 0 is the most urgent, 9 the least.
    pub priority: u8,
    /// When the first token is due; `None` if none is expected.
    pub first_token_due: Option<Instant>,
    /// When the deadline of the request passes.
    pub deadline: Instant,
    /// The declared cost in tokens, from 1 to [`MAX_COST_TOKENS`]; 1 for a plain service.
    pub cost: u64,
    /// The length of the body, in bytes.
    pub bytes: usize,
}

/// The waiting requests of one endpoint.
#[derive(Debug, Default)]
pub struct Queue {
    flows: BTreeMap<Customer, Flow>,
    calls: HashMap<u64, Position>,
    expiries: BTreeSet<(Instant, u64)>,
    /// The start tag of the request that was served last.
    virtual_time: u64,
    bytes: usize,
    cost: u64,
}

/// The waiting requests of one customer.
#[derive(Debug, Default)]
struct Flow {
    /// The virtual time at which the next request of this customer may start.
    start_tag: u64,
    items: BTreeMap<Rank, Item>,
    bytes: usize,
}

/// The order of service within a customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: u8,
    deadline: Instant,
    call: u64,
}

/// The position of a call in the queue.
#[derive(Clone, Debug)]
struct Position {
    customer: Customer,
    rank: Rank,
}

impl Item {
    /// The weight of its customer while this request is next in the flow: 10 for
    /// priority 0 down to 1 for priority 9.
    #[must_use]
    pub fn weight(&self) -> u64 {
        10 - u64::from(self.priority.min(9))
    }

    /// When the request expires in the queue: its first token time or its deadline,
    /// whichever is earlier.
    #[must_use]
    pub fn expiry(&self) -> Instant {
        self.first_token_due
            .map_or(self.deadline, |due| due.min(self.deadline))
    }

    /// The amount by which serving it advances the start tag of its flow.
    fn virtual_cost(&self) -> u64 {
        self.cost * VIRTUAL_TIME_SCALE / self.weight()
    }

    fn rank(&self) -> Rank {
        Rank {
            priority: self.priority,
            deadline: self.deadline,
            call: self.call,
        }
    }
}

impl Queue {
    /// The number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// The total size of the waiting bodies, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The total cost of the waiting requests, in tokens.
    #[must_use]
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// The earliest expiry of a waiting request.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        self.expiries.first().map(|&(expiry, _)| expiry)
    }

    /// The cost of the waiting requests that would be served before `item`, in tokens.
    #[must_use]
    pub fn cost_ahead(&self, item: &Item) -> u64 {
        let own_flow = self.flows.get(&item.customer);
        let start = own_flow
            .map_or(0, |flow| flow.start_tag)
            .max(self.virtual_time);
        let before = own_flow.into_iter().flat_map(|flow| flow.items.values());
        let (mut tag, mut ahead) = (start, 0);
        for other in before.take_while(|other| other.rank() < item.rank()) {
            tag += other.virtual_cost();
            ahead += other.cost;
        }
        let others = self
            .flows
            .iter()
            .filter(|(name, _)| **name != item.customer);
        ahead + others.map(|(_, flow)| flow.cost_before(tag)).sum::<u64>()
    }

    /// Adds a request and returns those that are evicted for it.
    ///
    /// A full queue evicts the least urgent requests of the customer with the highest
    /// usage relative to its weight, which may be `item` itself. An item with more than
    /// [`MAX_BYTES`] is evicted at once.
    pub fn push(&mut self, mut item: Item) -> Vec<Item> {
        item.cost = item.cost.clamp(1, MAX_COST_TOKENS);
        let mut evicted = Vec::new();
        if item.bytes > MAX_BYTES {
            evicted.push(item);
            return evicted;
        }
        let call = item.call;
        self.insert(item);
        while self.len() > MAX_REQUESTS || self.bytes > MAX_BYTES {
            let Some(victim) = self.eviction_victim() else {
                break;
            };
            evicted.extend(self.remove(victim));
            if victim == call {
                break;
            }
        }
        evicted
    }

    /// Removes and returns the request to serve next.
    pub fn pop(&mut self) -> Option<Item> {
        let backlogged = self.flows.values().filter(|flow| !flow.items.is_empty());
        let flow = backlogged.min_by_key(|flow| flow.start_tag)?;
        let (start, call) = (flow.start_tag, flow.items.values().next()?.call);
        self.virtual_time = start;
        let item = self.remove(call)?;
        if let Some(flow) = self.flows.get_mut(&item.customer) {
            flow.start_tag = start + item.virtual_cost();
        }
        self.prune_flows();
        Some(item)
    }

    /// Removes a request before it is served.
    pub fn remove(&mut self, call: u64) -> Option<Item> {
        let position = self.calls.remove(&call)?;
        let flow = self.flows.get_mut(&position.customer)?;
        let item = flow.items.remove(&position.rank)?;
        flow.bytes -= item.bytes;
        self.cost -= item.cost;
        self.bytes -= item.bytes;
        self.expiries.remove(&(item.expiry(), call));
        Some(item)
    }

    /// Removes and returns the requests that have expired.
    pub fn expire(&mut self, now: Instant) -> Vec<Item> {
        let mut expired = Vec::new();
        while let Some(&(expiry, call)) = self.expiries.first()
            && expiry <= now
        {
            expired.extend(self.remove(call));
        }
        expired
    }

    /// Removes and returns every request, in the order of service.
    pub fn drain(&mut self) -> Vec<Item> {
        std::iter::from_fn(|| self.pop()).collect()
    }

    fn insert(&mut self, item: Item) {
        let flow = self.flows.entry(item.customer.clone()).or_default();
        if flow.items.is_empty() {
            flow.start_tag = flow.start_tag.max(self.virtual_time);
        }
        let position = Position {
            customer: item.customer.clone(),
            rank: item.rank(),
        };
        flow.bytes += item.bytes;
        self.cost += item.cost;
        self.bytes += item.bytes;
        self.expiries.insert((item.expiry(), item.call));
        self.calls.insert(item.call, position);
        flow.items.insert(item.rank(), item);
    }

    /// The least urgent request of the customer with the highest weighted usage.
    fn eviction_victim(&self) -> Option<u64> {
        let heaviest = self
            .flows
            .values()
            .max_by_key(|flow| flow.weighted_usage())?;
        Some(heaviest.items.values().next_back()?.call)
    }

    /// Drops empty flows: those whose start tag the virtual time has reached, and those
    /// with the lowest tags while there are more than [`MAX_FLOWS`].
    fn prune_flows(&mut self) {
        if self.calls.is_empty() {
            self.flows.clear();
            self.virtual_time = 0;
            return;
        }
        let now = self.virtual_time;
        self.flows
            .retain(|_, flow| !flow.items.is_empty() || flow.start_tag > now);
        while self.flows.len() > MAX_FLOWS {
            let empty = self.flows.iter().filter(|(_, flow)| flow.items.is_empty());
            let oldest = empty.min_by_key(|(_, flow)| flow.start_tag);
            let Some(name) = oldest.map(|(name, _)| name.clone()) else {
                return;
            };
            self.flows.remove(&name);
        }
    }
}

impl Flow {
    /// The cost of the requests that are served before the virtual time passes `tag`.
    fn cost_before(&self, tag: u64) -> u64 {
        let mut start = self.start_tag;
        let served = self.items.values().take_while(|item| {
            let before = start <= tag;
            start += item.virtual_cost();
            before
        });
        served.map(|item| item.cost).sum()
    }

    /// The requests and bytes of the flow as shares of their limits, divided by the
    /// weight of its next request.
    fn weighted_usage(&self) -> u64 {
        let weight = self.items.values().next().map_or(1, Item::weight);
        let shares = self.items.len() * (MAX_BYTES / MAX_REQUESTS) + self.bytes;
        shares as u64 * VIRTUAL_TIME_SCALE / weight
    }
}
