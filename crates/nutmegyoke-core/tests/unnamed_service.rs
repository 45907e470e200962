//! Heartbeats of endpoints whose service the routing document does not name: those of another
//! system, and those that are earlier than the document.

mod fleet;

use std::time::Duration;

use fleet::gateways::{Fate, Fleet};
use fleet::{ENGINES, draft, engine};
use nutmegyoke_cases::cases;
use nutmegyoke_core::process::gateway::Event;
use nutmegyoke_core::process::registry::{Announcement, Stamp};
use nutmegyoke_core::version::Routing;
use nutmegyoke_core::version::routing::Draft;

/// Longer than the interval between gossip messages.
const GOSSIP_TIME: Duration = Duration::from_secs(3);

fn sound() -> Announcement {
    engine(1, &["grade"])
}

/// The heartbeat of another system at the address of the sound engine, with a later start.
fn odd() -> Announcement {
    Announcement {
        id: "odd-1".to_owned(),
        service: "inventory".into(),
        stamp: Stamp {
            started_ms: 1_000,
            sequence: 1,
        },
        ..sound()
    }
}

/// The same under the identifier of the sound engine.
fn odd_with_the_same_id() -> Announcement {
    Announcement {
        id: sound().id,
        ..odd()
    }
}

fn announce(fleet: &mut Fleet, gateway: usize, announcement: &Announcement) {
    fleet.feed(gateway, Event::Announced { announcement });
    for _ in 0..2 {
        fleet.now += GOSSIP_TIME;
        for other in 0..fleet.gateways.len() {
            fleet.feed(other, Event::Ticked);
        }
        // Sound engines go on with their heartbeats.
        let announcement = &Announcement {
            stamp: Stamp {
                sequence: u64::MAX,
                ..sound().stamp
            },
            ..sound()
        };
        fleet.feed(gateway, Event::Announced { announcement });
    }
}

fn is_sent_to_the_sound_engine(fleet: &mut Fleet) {
    for gateway in 0..fleet.gateways.len() {
        match fleet.ask(gateway, &[1]) {
            Fate::Sent { endpoint, .. } => {
                assert_eq!(endpoint.id, sound().id);
                assert_eq!(endpoint.service, ENGINES.into());
            }
            Fate::Refused { reason, .. } => panic!("gateway {gateway}: {reason:?}"),
        }
    }
}

/// A heartbeat for a service that no document names signed off the sound engine at its address,
/// or took its place under its identifier, until the engine's next start.
fn odd_heartbeat_displaces_no_engine(odd: &Announcement, before: bool) {
    let mut fleet = Fleet::open(2, &[]);
    let heartbeats = if before {
        [odd.clone(), sound()]
    } else {
        [sound(), odd.clone()]
    };
    for announcement in &heartbeats {
        announce(&mut fleet, 0, announcement);
    }
    is_sent_to_the_sound_engine(&mut fleet);
}

cases!(odd_heartbeat_displaces_no_engine {
    later_at_its_address: (&odd(), false),
    earlier_at_its_address: (&odd(), true),
    later_under_its_id: (&odd_with_the_same_id(), false),
    earlier_under_its_id: (&odd_with_the_same_id(), true),
});

fn configure(fleet: &mut Fleet, draft: Draft) {
    let routing = &Routing::open(draft).unwrap();
    for gateway in 0..fleet.gateways.len() {
        fleet.feed(gateway, Event::Configured { routing });
    }
}

/// A document without the engines' service.
fn draft_without_engines() -> Draft {
    let mut draft = draft();
    draft.routes.retain(|route| route.prefix != "/chat/");
    draft.pools.retain(|pool| pool.service != ENGINES.into());
    draft
}

/// An engine is listed as soon as a document names its service, also where only gossip told
/// of it.
#[test]
fn engine_is_listed_with_the_document_that_names_its_service() {
    let mut fleet = Fleet::open(2, &[]);
    configure(&mut fleet, draft_without_engines());
    announce(&mut fleet, 0, &odd());
    announce(&mut fleet, 0, &sound());
    configure(&mut fleet, draft());
    is_sent_to_the_sound_engine(&mut fleet);
}

/// An engine that has signed off before a document names its service isn't listed.
#[test]
fn engine_that_signed_off_is_not_listed_with_a_later_document() {
    let mut fleet = Fleet::open(1, &[]);
    configure(&mut fleet, draft_without_engines());
    announce(&mut fleet, 0, &sound());
    let id = &sound().id;
    assert!(fleet.gateways[0].knows_endpoint(id));
    fleet.feed(0, Event::SignedOff { id });
    assert!(!fleet.gateways[0].knows_endpoint(id));
    configure(&mut fleet, draft());
    assert!(fleet.gateways[0].registry().row(id).is_none());
}

/// A sign-off reaches an endpoint that is listed also while no document names its service.
#[test]
fn sign_off_is_gossiped_for_a_dropped_service() {
    let mut fleet = Fleet::open(2, &[]);
    announce(&mut fleet, 0, &sound());
    configure(&mut fleet, draft_without_engines());
    let id = &sound().id;
    fleet.feed(0, Event::SignedOff { id });
    fleet.now += GOSSIP_TIME;
    fleet.feed(0, Event::Ticked);
    configure(&mut fleet, draft());
    for gateway in &fleet.gateways {
        assert!(!gateway.registry().row(id).unwrap().accepts_requests());
    }
}

/// An endpoint whose service a document has dropped keeps no other one from its address.
#[test]
fn endpoint_of_a_dropped_service_gives_up_its_address() {
    let mut fleet = Fleet::open(1, &[]);
    let mut with_inventory = draft();
    let mut pool = with_inventory.pools[0].clone();
    pool.service = odd().service;
    with_inventory.pools.push(pool);
    configure(&mut fleet, with_inventory);
    fleet.feed(
        0,
        Event::Announced {
            announcement: &odd(),
        },
    );
    configure(&mut fleet, draft());
    announce(&mut fleet, 0, &sound());
    is_sent_to_the_sound_engine(&mut fleet);
}
