//! The queue in front of one endpoint.
//!
//! Between customers it is start-time fair queueing: each customer has a flow
//! with a virtual start tag, the flow with the lowest tag is served, and its tag
//! grows by the cost of the request over its weight. Within a customer the more
//! urgent priority comes first, then the earlier deadline. A priority is a share
//! between customers and a precedence within one, so that no burst starves
//! another customer.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

use crate::request::arrival::Destination;
use crate::version::Customer;

/// Requests that wait for one endpoint at most.
pub const MAX_REQUESTS: usize = 256;

/// Bodies that wait for one endpoint at most, in bytes.
pub const MAX_BYTES: usize = 16 * 1024 * 1024;

/// Flows remembered at most, the empty ones included.
const MAX_FLOWS: usize = 2 * MAX_REQUESTS;

/// Virtual time per unit of cost at weight 1; divisible by every weight.
const VIRTUAL_TIME_SCALE: u64 = 2520;

/// The highest cost of one request, in tokens.
pub const MAX_COST: u64 = 1 << 24;

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The call of the agent.
    pub call: u64,
    /// Whose request it is.
    pub customer: Customer,
    /// What the endpoint has to hold when it starts.
    pub destination: Destination,
    /// 0 is the most urgent, 9 the least.
    pub priority: u8,
    /// When the first token is due, if one is expected.
    pub first_token_due: Option<Instant>,
    /// When the caller gives up.
    pub deadline: Instant,
    /// The work it makes, in tokens, from 1 to [`COST`]; 1 for a call of a plain
    /// service.
    pub cost: u64,
    /// The length of its body.
    pub bytes: usize,
}

/// The waiting requests of one endpoint.
#[derive(Debug, Default)]
pub struct Queue {
    flows: BTreeMap<Customer, Flow>,
    calls: HashMap<u64, Position>,
    expiries: BTreeSet<(Instant, u64)>,
    /// The start tag of the request served last.
    virtual_time: u64,
    bytes: usize,
    cost: u64,
}

/// The waiting requests of one customer.
#[derive(Debug, Default)]
struct Flow {
    /// The virtual time at which the next request may start.
    start_tag: u64,
    items: BTreeMap<Rank, Item>,
    bytes: usize,
}

/// The order within a customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: u8,
    deadline: Instant,
    call: u64,
}

/// Where a call waits.
#[derive(Clone, Debug)]
struct Position {
    customer: Customer,
    rank: Rank,
}

impl Item {
    /// The share of its customer while this request is the next one: 10 for
    /// priority 0 down to 1 for priority 9.
    #[must_use]
    pub fn weight(&self) -> u64 {
        10 - u64::from(self.priority.min(9))
    }

    /// When waiting on is of no use.
    #[must_use]
    pub fn expiry(&self) -> Instant {
        self.first_token_due
            .map_or(self.deadline, |due| due.min(self.deadline))
    }

    /// What serving it adds to the virtual time of its flow.
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
    /// How many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// The bytes of the waiting bodies.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The work that waits, in tokens.
    #[must_use]
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// When the next request expires.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        self.expiries.first().map(|&(expiry, _)| expiry)
    }

    /// The work that would be served before `item`, in tokens.
    #[must_use]
    pub fn cost_ahead(&self, item: &Item) -> u64 {
        let own_flow = self.flows.get(&item.customer);
        let start = own_flow.map_or(0, |flow| flow.start_tag).max(self.virtual_time);
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

    /// Takes a request in, and returns those that are pushed out for it.
    ///
    /// A full queue pushes out the least urgent requests of the customer that
    /// takes the most room for its weight; `item` itself is returned when that is
    /// its own customer.
    pub fn push(&mut self, mut item: Item) -> Vec<Item> {
        item.cost = item.cost.clamp(1, MAX_COST);
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

    /// Takes the next request out.
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

    /// Takes a request out, because its caller left.
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

    /// Takes the requests out that have waited in vain.
    pub fn expire(&mut self, now: Instant) -> Vec<Item> {
        let mut expired = Vec::new();
        while let Some(&(expiry, call)) = self.expiries.first()
            && expiry <= now
        {
            expired.extend(self.remove(call));
        }
        expired
    }

    /// Takes every request out, in the order of service.
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

    /// The least urgent request of the customer that takes the most room for its weight.
    fn eviction_victim(&self) -> Option<u64> {
        let heaviest = self
            .flows
            .values()
            .max_by_key(|flow| flow.weighted_usage())?;
        Some(heaviest.items.values().next_back()?.call)
    }

    /// Forgets empty flows: those that are owed nothing, and the oldest past a bound.
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
    /// The work that is served before the virtual time reaches `tag`.
    fn cost_before(&self, tag: u64) -> u64 {
        let mut start = self.start_tag;
        let served = self.items.values().take_while(|item| {
            let before = start <= tag;
            start += item.virtual_cost();
            before
        });
        served.map(|item| item.cost).sum()
    }

    /// The room that the flow takes for its weight: requests and bytes, as
    /// shares of the bounds.
    fn weighted_usage(&self) -> u64 {
        let weight = self.items.values().next().map_or(1, Item::weight);
        let shares = self.items.len() * (MAX_BYTES / MAX_REQUESTS) + self.bytes;
        shares as u64 * VIRTUAL_TIME_SCALE / weight
    }
}
