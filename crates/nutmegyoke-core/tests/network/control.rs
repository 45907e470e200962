//! Control as a single replica whose disk syncs immediately.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use nutmegyoke_core::process::control::replica::{Id, Recovered, Roster, Seed, Setup};
use nutmegyoke_core::process::control::{Command, Event};
use nutmegyoke_core::process::{Control, Machine};

/// Opens control and runs it until it leads.
pub fn open() -> Control {
    let setup = Setup {
        id: Id(1),
        seed: Seed {
            name: "control-1".to_owned(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            observer: false,
        },
        roster: Roster::default(),
        election_timeout: Duration::from_secs(1),
        tolerated_losses: None,
        random_seed: 1,
    };
    let mut control = Control::open(Instant::now(), 1, setup, Recovered::default());
    while control.leading_term().is_none() {
        let now = control
            .deadline()
            .expect("control has no deadline, so it never becomes leader");
        feed(&mut control, now, Event::Ticked);
    }
    control
}

/// Feeds one event, reports every batch as synced, and returns the commands.
pub fn feed(control: &mut Control, now: Instant, event: Event<'_>) -> Vec<Command> {
    let mut commands = Vec::new();
    control.handle(now, event, &mut commands);
    let mut next = 0;
    while let Some(command) = commands.get(next) {
        if let Command::Persist { batch } = command {
            let ticket = batch.ticket;
            control.handle(now, Event::Synced { ticket }, &mut commands);
        }
        next += 1;
    }
    commands
}
