//! A group of replicas over a fake network and fake disks, on a fake clock.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegyoke_core::process::Machine;
use nutmegyoke_core::process::control::replica::{
    Batch, Command, Content, Entry, Event, Id, Membership, Message, Recovered, Replica, Roster,
    Seed, Setup, State, Vote,
};

pub const ELECTION: Duration = Duration::from_secs(1);

/// What a fake VM has synced.
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

pub struct Vm<S: State> {
    pub id: Id,
    pub disk: Disk<S>,
    pub replica: Option<Replica<S>>,
    flight: Option<(Instant, Batch<S>)>,
    pub full: bool,
    lives: u64,
}

/// How the fake network treats messages, in percent and milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Weather {
    pub loss: u32,
    pub twice: u32,
    pub delay: u64,
}

pub struct Simulation<S: State> {
    pub now: Instant,
    pub vms: Vec<Vm<S>>,
    pub weather: Weather,
    /// VMs that are cut off from the others.
    pub cut: BTreeSet<usize>,
    /// Outcomes by call.
    pub outcomes: BTreeMap<u64, S::Outcome>,
    pub lost: BTreeSet<u64>,
    random: fastrand::Rng,
    seeds: Vec<Seed>,
    /// Whether any VM may join by way of the first three.
    open: bool,
    mail: Vec<(Instant, SocketAddr, Message<S>)>,
    /// The committed log as first seen, which must never change.
    pub committed: BTreeMap<u64, (u64, String)>,
    pub membership: Membership,
    leaders: BTreeMap<u64, Id>,
}

fn address(vm: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, u16::try_from(vm).unwrap() + 1))
}

impl<S: State + 'static> Simulation<S> {
    pub fn open(count: usize, seed: u64, weather: Weather) -> Self {
        let observer = |_| false;
        Self::launch(count, seed, weather, observer, false)
    }

    /// VMs that know only the first three, and of which some only observe.
    pub fn open_roster(
        count: usize,
        seed: u64,
        weather: Weather,
        observer: impl Fn(usize) -> bool,
    ) -> Self {
        Self::launch(count, seed, weather, observer, true)
    }

    fn launch(
        count: usize,
        seed: u64,
        weather: Weather,
        observer: impl Fn(usize) -> bool,
        open: bool,
    ) -> Self {
        let seeds = (0..count).map(|vm| Seed {
            name: format!("control-{vm}"),
            address: address(vm),
            observer: observer(vm),
        });
        let mut simulation = Self {
            now: Instant::now(),
            vms: Vec::new(),
            weather,
            cut: BTreeSet::new(),
            outcomes: BTreeMap::new(),
            lost: BTreeSet::new(),
            random: fastrand::Rng::with_seed(seed),
            seeds: seeds.collect(),
            open,
            mail: Vec::new(),
            committed: BTreeMap::new(),
            membership: Membership::default(),
            leaders: BTreeMap::new(),
        };
        for vm in 0..count {
            simulation.vms.push(Vm {
                id: Id(vm as u64 + 1),
                disk: Disk::open(),
                replica: None,
                flight: None,
                full: false,
                lives: 0,
            });
            simulation.start(vm);
        }
        simulation
    }

    /// Where a VM is reached.
    pub fn address(&self, vm: usize) -> SocketAddr {
        self.seeds[vm].address
    }

    /// Starts a VM's process with what its disk holds.
    pub fn start(&mut self, vm: usize) {
        if self.vms[vm].replica.is_some() {
            return;
        }
        let setup = Setup {
            id: self.vms[vm].id,
            seed: self.seeds[vm].clone(),
            roster: self.roster(),
            election_timeout: ELECTION,
            random_seed: self.random.u64(..),
        };
        let disk = self.vms[vm].disk.clone();
        let recovered = Recovered {
            vote: disk.vote,
            snapshot: disk.snapshot,
            entries: disk.entries,
        };
        self.vms[vm].replica = Some(Replica::open(self.now, setup, recovered));
    }

    fn roster(&self) -> Roster {
        if self.open {
            let contacts = self.seeds.iter().take(3).map(|seed| seed.address);
            Roster::Open {
                contacts: contacts.collect(),
                bootstrap: true,
            }
        } else {
            Roster::Listed {
                seeds: self.seeds.clone(),
            }
        }
    }

    /// Kills a VM's process; the batch in flight may or may not have reached the disk.
    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].replica = None;
        if let Some((_, batch)) = self.vms[vm].flight.take()
            && self.random.bool()
        {
            self.vms[vm].disk.write(&batch);
        }
    }

    /// Whether a VM may lose its disk without more than one copy being gone:
    /// the disks of all others vote, and no lost disk does.
    pub fn may_wipe(&self, vm: usize) -> bool {
        let live = |id: Id| self.vms.iter().any(|vm| vm.id == id);
        let others = (0..self.vms.len()).filter(|&other| other != vm);
        others
            .map(|other| self.vms[other].id)
            .all(|id| self.membership.is_voter(id))
            && self.membership.voters().all(|peer| live(peer.id))
    }

    /// Kills a VM and gives it an empty disk.
    pub fn wipe(&mut self, vm: usize) {
        self.vms[vm].replica = None;
        self.vms[vm].flight = None;
        self.vms[vm].disk = Disk::open();
        self.vms[vm].lives += 1;
        let lives = self.vms[vm].lives;
        self.vms[vm].id = Id(vm as u64 + 1 + 100 * lives);
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |vm: &Vm<S>| vm.replica.as_ref().is_some_and(Replica::is_leader);
        let vms = (0..self.vms.len()).filter(|&vm| leads(&self.vms[vm]));
        vms.max_by_key(|&vm| self.vms[vm].replica.as_ref().map(Replica::term))
    }

    pub fn feed(&mut self, vm: usize, event: Event<'_, S>) {
        let mut out = Vec::new();
        let Some(replica) = &mut self.vms[vm].replica else {
            return;
        };
        replica.handle(self.now, event, &mut out);
        for command in out {
            self.obey(vm, command);
        }
        self.observe(vm);
    }

    fn obey(&mut self, vm: usize, command: Command<S>) {
        match command {
            Command::Send { address, message } => self.post(vm, address, &message),
            Command::Persist { batch } => {
                let at = self.now + Duration::from_millis(self.random.u64(1..20));
                self.vms[vm].flight = Some((at, batch));
            }
            Command::Outcome { call, outcome } => {
                self.outcomes.insert(call, outcome);
            }
            Command::MembershipChanged { .. } => {}
            Command::Redirect { call } => {
                self.lost.insert(call);
            }
        }
    }

    fn post(&mut self, vm: usize, to: SocketAddr, message: &Message<S>) {
        let other = usize::from(to.port()) - 1;
        if self.cut.contains(&vm) != self.cut.contains(&other) {
            return;
        }
        if self.random.u32(..100) < self.weather.loss {
            return;
        }
        let copies = 1 + usize::from(self.random.u32(..100) < self.weather.twice);
        for _ in 0..copies {
            let delay = Duration::from_millis(self.random.u64(..=self.weather.delay));
            self.mail.push((self.now + delay, to, message.clone()));
        }
    }

    /// Runs for `time`, a millisecond a step.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(1);
            self.deliver();
            for vm in 0..self.vms.len() {
                self.sync(vm);
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
        let due = self.mail.extract_if(.., |(at, ..)| *at <= now);
        let mut due: Vec<_> = due.collect();
        self.random.shuffle(&mut due);
        for (_, to, message) in due {
            let vm = usize::from(to.port()) - 1;
            self.feed(vm, Event::Received { message: &message });
        }
    }

    fn sync(&mut self, vm: usize) {
        let now = self.now;
        let Some((_, batch)) = self.vms[vm].flight.take_if(|(at, _)| *at <= now) else {
            return;
        };
        if self.vms[vm].full {
            self.vms[vm].flight = Some((now + Duration::from_millis(100), batch));
            self.feed(vm, Event::DiskFull);
            return;
        }
        self.vms[vm].disk.write(&batch);
        let ticket = batch.ticket;
        self.feed(vm, Event::Synced { ticket });
    }

    /// Asserts what must hold after every event.
    fn observe(&mut self, vm: usize) {
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
            let seen = (entry.position.term, format!("{:?}", entry.content));
            let first = self.committed.entry(index).or_insert_with(|| seen.clone());
            assert_eq!(*first, seen, "committed entry {index} changed");
            if let Content::Membership(membership) = &entry.content
                && self.committed.range(index + 1..).next().is_none()
            {
                self.membership = membership.clone();
            }
        }
        let reached = self.committed.keys().next_back().copied().unwrap_or(0);
        assert!(
            replica.commit_index() <= reached,
            "committed beyond what was seen"
        );
    }
}
