//! A group of replicas on a simulated network, simulated disks and a simulated clock.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegyoke_core::process::Machine;
use nutmegyoke_core::process::control::replica::{
    Batch, Body, Command, Content, Entry, Event, Id, Membership, Message, Recovered, Replica,
    Roster, Seed, Setup, State, Vote,
};

/// The minimum time without a leader before a replica campaigns.
pub const ELECTION_TIMEOUT: Duration = Duration::from_secs(1);

/// The data that a VM has synced to its disk.
#[derive(Clone)]
pub struct Disk<S: State> {
    pub vote: Vote,
    pub snapshot: Option<Rc<nutmegyoke_core::process::control::replica::Snapshot<S>>>,
    pub entries: Vec<Entry<S::Change>>,
}

impl<S: State> Disk<S> {
    fn open() -> Self {
        Self {
            vote: Vote::default(),
            snapshot: None,
            entries: Vec::new(),
        }
    }

    fn write(&mut self, batch: &Batch<S>) {
        self.vote = batch.vote;
        if let Some(snapshot) = &batch.snapshot {
            self.snapshot = Some(Rc::clone(snapshot));
            self.entries.clear();
        }
        if let Some(first) = batch.entries.first() {
            let index = first.position.index;
            self.entries.retain(|entry| entry.position.index < index);
        }
        self.entries.extend(batch.entries.iter().cloned());
    }
}

/// A simulated VM.
pub struct Vm<S: State> {
    /// The id of the replica, new with each disk.
    pub id: Id,
    pub disk: Disk<S>,
    /// The running process; `None` while it is down.
    pub replica: Option<Replica<S>>,
    /// The batch in flight to the disk, with the time at which it is synced.
    syncing: Option<(Instant, Batch<S>)>,
    pub disk_full: bool,
    /// How often the VM's disk was wiped.
    wipes: u64,
    /// The index up to which the contents of this process's committed entries were compared.
    compared: u64,
}

/// The quality of the links between VMs.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    /// Share of messages that are lost, in percent.
    pub loss_percent: u32,
    /// Share of messages that arrive twice, in percent.
    pub duplicate_percent: u32,
    /// Maximum delay of a message, in milliseconds. Messages overtake each other.
    pub max_delay_ms: u64,
}

/// A group of VMs, one replica each.
pub struct Simulation<S: State> {
    pub now: Instant,
    pub vms: Vec<Vm<S>>,
    pub link: Link,
    /// VMs that are partitioned from the others, but not from each other.
    pub isolated: BTreeSet<usize>,
    /// VMs that stand still. Messages to them wait until they go on.
    pub frozen: BTreeSet<usize>,
    /// How many entries of the log were sent to each VM.
    pub entries_sent: BTreeMap<usize, usize>,
    /// The bytes of the entries and snapshots that were sent to each VM.
    pub bytes_sent: BTreeMap<usize, usize>,
    /// How many snapshots were sent to each VM.
    pub snapshots_sent: BTreeMap<usize, usize>,
    /// The size from which on messages are held back, and whether they are then lost.
    pub held_bytes: Option<(usize, bool)>,
    /// The first VM to which messages are held back.
    pub held_from: usize,
    /// The messages that are held back.
    held: Vec<(SocketAddr, Message<S>)>,
    /// The bytes that were not acknowledged to leaders that lost their leases.
    pub lost_leases: Vec<usize>,
    /// How many voters were replaced without a leader.
    pub reseats: usize,
    /// How many requests to join were sent.
    pub joins_sent: usize,
    /// The outcomes of committed changes, by call.
    pub outcomes: BTreeMap<u64, S::Outcome>,
    /// Calls that were redirected to the leader.
    pub redirected: BTreeSet<u64>,
    random: fastrand::Rng,
    seeds: Vec<Seed>,
    /// Whether any VM may join, with the first three as contacts, instead of a fixed list of
    /// voters.
    open_roster: bool,
    /// The tolerated losses in the settings of VMs that start.
    pub tolerated_losses: Option<usize>,
    /// Messages with their time of arrival and their destination.
    in_flight: Vec<(Instant, SocketAddr, Message<S>)>,
    /// The terms and contents of committed entries by index, as first seen. They must
    /// never change.
    pub committed: BTreeMap<u64, (u64, String)>,
    /// The last committed membership.
    pub membership: Membership,
    /// The leader of each term.
    leaders: BTreeMap<u64, Id>,
}

fn address(vm: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, u16::try_from(vm).unwrap() + 1))
}

impl<S: State + 'static> Simulation<S> {
    /// Starts `count` VMs, all of them voters that know each other.
    pub fn open(count: usize, seed: u64, link: Link) -> Self {
        let observer = |_| false;
        Self::launch(count, seed, link, observer, false)
    }

    /// Starts `count` VMs that know only the first three as contacts. Those for which
    /// `observer` returns true never vote.
    pub fn open_with_contacts(
        count: usize,
        seed: u64,
        link: Link,
        observer: impl Fn(usize) -> bool,
    ) -> Self {
        Self::launch(count, seed, link, observer, true)
    }

    fn launch(
        count: usize,
        seed: u64,
        link: Link,
        observer: impl Fn(usize) -> bool,
        open_roster: bool,
    ) -> Self {
        let seeds = (0..count).map(|vm| Seed {
            name: format!("control-{vm}"),
            address: address(vm),
            observer: observer(vm),
        });
        let mut simulation = Self {
            now: Instant::now(),
            vms: Vec::new(),
            link,
            isolated: BTreeSet::new(),
            frozen: BTreeSet::new(),
            entries_sent: BTreeMap::new(),
            bytes_sent: BTreeMap::new(),
            snapshots_sent: BTreeMap::new(),
            held_bytes: None,
            held_from: 0,
            held: Vec::new(),
            lost_leases: Vec::new(),
            reseats: 0,
            joins_sent: 0,
            outcomes: BTreeMap::new(),
            redirected: BTreeSet::new(),
            random: fastrand::Rng::with_seed(seed),
            seeds: seeds.collect(),
            open_roster,
            tolerated_losses: None,
            in_flight: Vec::new(),
            committed: BTreeMap::new(),
            membership: Membership::default(),
            leaders: BTreeMap::new(),
        };
        for vm in 0..count {
            simulation.vms.push(Vm {
                id: Id(vm as u64 + 1),
                disk: Disk::open(),
                replica: None,
                syncing: None,
                disk_full: false,
                wipes: 0,
                compared: 0,
            });
            simulation.start(vm);
        }
        simulation
    }

    /// The address of a VM.
    pub fn address(&self, vm: usize) -> SocketAddr {
        self.seeds[vm].address
    }

    /// Starts a VM's process with the data on its disk, unless it runs already.
    pub fn start(&mut self, vm: usize) {
        if self.vms[vm].replica.is_some() {
            return;
        }
        let setup = Setup {
            id: self.vms[vm].id,
            seed: self.seeds[vm].clone(),
            roster: self.roster(self.vms[vm].wipes == 0),
            election_timeout: ELECTION_TIMEOUT,
            tolerated_losses: self.tolerated_losses,
            random_seed: self.random.u64(..),
        };
        let disk = self.vms[vm].disk.clone();
        let recovered = Recovered {
            vote: disk.vote,
            snapshot: disk.snapshot,
            entries: disk.entries,
        };
        self.vms[vm].replica = Some(Replica::open(self.now, setup, recovered));
        self.vms[vm].compared = 0;
    }

    /// The roster of a VM; with an open one only a VM with its first disk may bootstrap.
    fn roster(&self, first_disk: bool) -> Roster {
        if self.open_roster {
            let contacts = self.seeds.iter().take(3).map(|seed| seed.address);
            Roster::Open {
                contacts: contacts.collect(),
                bootstrap: first_disk,
            }
        } else {
            Roster::Listed {
                seeds: self.seeds.clone(),
            }
        }
    }

    /// Kills a VM's process. At random, the batch in flight to the disk is
    /// written or lost.
    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].replica = None;
        if let Some((_, batch)) = self.vms[vm].syncing.take()
            && self.random.bool()
        {
            self.vms[vm].disk.write(&batch);
        }
    }

    /// Whether a VM's disk may be wiped without the loss of committed entries: all other VMs
    /// vote, and no voter is a replica whose disk was wiped before.
    pub fn may_wipe(&self, vm: usize) -> bool {
        let live = |id: Id| self.vms.iter().any(|vm| vm.id == id);
        let others = (0..self.vms.len()).filter(|&other| other != vm);
        others
            .map(|other| self.vms[other].id)
            .all(|id| self.membership.is_voter(id))
            && self.membership.voters().all(|peer| live(peer.id))
    }

    /// Kills a VM's process and replaces its disk by an empty one.
    pub fn wipe(&mut self, vm: usize) {
        self.vms[vm].replica = None;
        self.vms[vm].syncing = None;
        self.vms[vm].disk = Disk::open();
        self.vms[vm].wipes += 1;
        let wipes = self.vms[vm].wipes;
        self.vms[vm].id = Id(vm as u64 + 1 + 100 * wipes);
    }

    /// The leader with the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |vm: &Vm<S>| vm.replica.as_ref().is_some_and(Replica::is_leader);
        let vms = (0..self.vms.len()).filter(|&vm| leads(&self.vms[vm]));
        vms.max_by_key(|&vm| self.vms[vm].replica.as_ref().map(Replica::term))
    }

    /// The leader with the highest term; there must be one.
    pub fn expect_leader(&self) -> usize {
        self.leader().expect("no replica leads")
    }

    /// The replica of a VM, which must run.
    pub fn replica(&self, vm: usize) -> &Replica<S> {
        let replica = self.vms[vm].replica.as_ref();
        replica.unwrap_or_else(|| panic!("VM {vm} is down"))
    }

    /// Feeds an event to the replica of a VM, if it runs, and carries out its commands.
    pub fn feed(&mut self, vm: usize, event: Event<'_, S>) {
        let mut out = Vec::new();
        let Some(replica) = &mut self.vms[vm].replica else {
            return;
        };
        replica.handle(self.now, event, &mut out);
        for command in out {
            self.execute(vm, command);
        }
        self.check_invariants(vm);
    }

    fn execute(&mut self, vm: usize, command: Command<S>) {
        match command {
            Command::Send { address, message } => self.send(vm, address, &message),
            Command::Persist { batch } => {
                let at = self.now + Duration::from_millis(self.random.u64(1..20));
                self.vms[vm].syncing = Some((at, batch));
            }
            Command::Outcome { call, outcome } => {
                self.outcomes.insert(call, outcome);
            }
            Command::MembershipChanged { .. } => {}
            Command::Reseated { .. } => self.reseats += 1,
            Command::LeaseLost {
                unacknowledged_bytes,
                ..
            } => self.lost_leases.push(unacknowledged_bytes),
            Command::Redirect { call } => {
                self.redirected.insert(call);
            }
        }
    }

    fn send(&mut self, vm: usize, to: SocketAddr, message: &Message<S>) {
        let other = usize::from(to.port()) - 1;
        *self.bytes_sent.entry(other).or_default() += message.size();
        match &message.body {
            Body::Append { entries, .. } => {
                *self.entries_sent.entry(other).or_default() += entries.len();
            }
            Body::Install { .. } => *self.snapshots_sent.entry(other).or_default() += 1,
            Body::Join { .. } => self.joins_sent += 1,
            _ => {}
        }
        if self.isolated.contains(&vm) != self.isolated.contains(&other) {
            return;
        }
        if self.random.u32(..100) < self.link.loss_percent {
            return;
        }
        let held_bytes = self.held_bytes.filter(|_| other >= self.held_from);
        match held_bytes {
            Some((size, true)) if message.size() >= size => return,
            Some((size, false)) if message.size() >= size => {
                self.held.push((to, message.clone()));
                return;
            }
            _ => {}
        }
        let copies = 1 + usize::from(self.random.u32(..100) < self.link.duplicate_percent);
        for _ in 0..copies {
            let delay = Duration::from_millis(self.random.u64(..=self.link.max_delay_ms));
            self.in_flight.push((self.now + delay, to, message.clone()));
        }
    }

    /// Runs for `time` in steps of one millisecond.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(1);
            self.deliver();
            for vm in 0..self.vms.len() {
                if self.frozen.contains(&vm) {
                    continue;
                }
                self.sync_disk(vm);
                let replica = self.vms[vm].replica.as_ref();
                let due = replica.and_then(Machine::deadline);
                if due.is_some_and(|due| due <= self.now) {
                    self.feed(vm, Event::Ticked);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        if self.held_bytes.is_none() {
            let held = self.held.drain(..);
            self.in_flight
                .extend(held.map(|(to, message)| (now, to, message)));
        }
        let due = self.in_flight.extract_if(.., |(at, to, _)| {
            *at <= now && !self.frozen.contains(&(usize::from(to.port()) - 1))
        });
        let mut due: Vec<_> = due.collect();
        self.random.shuffle(&mut due);
        for (_, to, message) in due {
            let vm = usize::from(to.port()) - 1;
            self.feed(vm, Event::Received { message: &message });
        }
    }

    fn sync_disk(&mut self, vm: usize) {
        let now = self.now;
        let Some((_, batch)) = self.vms[vm].syncing.take_if(|(at, _)| *at <= now) else {
            return;
        };
        if self.vms[vm].disk_full {
            self.vms[vm].syncing = Some((now + Duration::from_millis(100), batch));
            self.feed(vm, Event::DiskFull);
            return;
        }
        self.vms[vm].disk.write(&batch);
        let ticket = batch.ticket;
        self.feed(vm, Event::Synced { ticket });
    }

    /// Asserts that a term has only one leader and that committed entries never change: the content
    /// of each is compared once for each process, as an entry's content never changes in place, and
    /// its term each time.
    fn check_invariants(&mut self, vm: usize) {
        let Some(replica) = &self.vms[vm].replica else {
            return;
        };
        if replica.is_leader() {
            let id = self.vms[vm].id;
            let leader = *self.leaders.entry(replica.term()).or_insert(id);
            assert_eq!(leader, id, "two leaders in term {}", replica.term());
        }
        let log = replica.log();
        for entry in log.entries_from(log.base().index + 1) {
            let index = entry.position.index;
            if index > replica.commit_index() {
                break;
            }
            if index <= self.vms[vm].compared
                && let Some((term, _)) = self.committed.get(&index)
            {
                let seen = entry.position.term;
                assert_eq!(*term, seen, "committed entry {index} changed its term");
                continue;
            }
            let seen = (entry.position.term, format!("{:?}", entry.content));
            let first = self.committed.entry(index).or_insert_with(|| seen.clone());
            assert_eq!(*first, seen, "committed entry {index} changed");
            if let Content::Membership(membership) = &entry.content
                && self.committed.range(index + 1..).next().is_none()
            {
                self.membership = membership.clone();
            }
        }
        let last_committed = self.committed.keys().next_back().copied().unwrap_or(0);
        assert!(
            replica.commit_index() <= last_committed,
            "the commit index is beyond the last entry seen as committed"
        );
        self.vms[vm].compared = replica.commit_index();
    }
}
