//! The whole path, each part its own process.

mod support;

use std::time::Duration;

use nutmegyoke_standin::{Desk, announcer};
use support::fleet::Fleet;

/// Tries before a fleet counts as not serving, a period apart.
const TRIES: usize = 100;
const PERIOD: Duration = Duration::from_millis(100);

async fn book(fleet: &Fleet) -> (u16, String) {
    let client = cyper::Client::new().unwrap();
    let url = format!("http://{}/services/desk/bookings", fleet.callers);
    let request = client.post(url).unwrap().bearer_auth("demo-key").unwrap();
    let response = request.send().await.unwrap();
    (response.status().as_u16(), response.text().await.unwrap())
}

async fn book_once_served(fleet: &Fleet) -> (u16, String) {
    for _ in 0..TRIES {
        let (status, text) = book(fleet).await;
        if status == 200 {
            return (status, text);
        }
        assert!(text.contains(r#""ran":"no""#), "{text}");
        compio::time::sleep(PERIOD).await;
    }
    panic!("the fleet never served");
}

#[test]
fn booking_crosses_entry_agent_and_service() {
    let fleet = Fleet::spawn();
    assert!(fleet.apply(1).status.success());
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let desk = Desk::bind().await.unwrap();
        announcer::spawn(&desk, fleet.announce);
        let answered = book_once_served(&fleet).await;
        assert_eq!(answered, (200, r#"{"booking":1}"#.to_owned()));
        assert_eq!(desk.bookings(), 1);
    });
}

#[test]
fn apply_is_compare_and_set() {
    let fleet = Fleet::spawn();
    assert_eq!(fleet.apply(2).status.code(), Some(0));
    assert_eq!(fleet.apply(2).status.code(), Some(0));
    assert_eq!(fleet.apply(1).status.code(), Some(3));
}

/// How long control is gone: longer than its leases and a heartbeat's timeout.
const OUTAGE: Duration = Duration::from_secs(5);

#[test]
fn entries_serve_from_their_last_directory_without_control() {
    let mut fleet = Fleet::spawn();
    assert!(fleet.apply(1).status.success());
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let desk = Desk::bind().await.unwrap();
        announcer::spawn(&desk, fleet.announce);
        book_once_served(&fleet).await;
        fleet.control.kill();
        compio::time::sleep(OUTAGE).await;
        let answered = book(&fleet).await;
        assert_eq!(answered, (200, r#"{"booking":2}"#.to_owned()));
    });
}
