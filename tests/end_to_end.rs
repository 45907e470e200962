//! Requests from callers to endpoints, through one control process, one agent and one entry.

mod support;

use std::time::Duration;

use nutmegyoke_standin::{Desk, announcer};
use support::fleet::Fleet;

/// The number of polls, [`POLL_INTERVAL`] apart, after which a wait for the fleet fails.
const MAX_POLLS: usize = 100;
const POLL_INTERVAL: Duration = Duration::from_millis(100);

async fn book(fleet: &Fleet) -> (u16, String) {
    let client = cyper::Client::new().unwrap();
    let url = format!("http://{}/services/desk/bookings", fleet.callers);
    let request = client.post(url).unwrap().bearer_auth("demo-key").unwrap();
    let response = request.send().await.unwrap();
    (response.status().as_u16(), response.text().await.unwrap())
}

/// Books until the fleet serves. Until then it must report that the booking did not run.
async fn book_when_served(fleet: &Fleet) -> (u16, String) {
    for _ in 0..MAX_POLLS {
        let (status, text) = book(fleet).await;
        if status == 200 {
            return (status, text);
        }
        assert!(text.contains(r#""ran":"no""#), "{text}");
        compio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the fleet did not start to serve in time");
}

#[test]
fn booking_passes_through_entry_agent_and_service() {
    let fleet = Fleet::spawn();
    assert!(fleet.apply(1).status.success());
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let desk = Desk::bind().await.unwrap();
        announcer::spawn(&desk, fleet.agent_operators);
        let answer = book_when_served(&fleet).await;
        assert_eq!(answer, (200, r#"{"booking":1}"#.to_owned()));
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

/// The time without a control process, longer than its leases and the timeout of a
/// heartbeat.
const CONTROL_OUTAGE: Duration = Duration::from_secs(5);

#[test]
fn entries_serve_from_their_last_directory_without_control() {
    let mut fleet = Fleet::spawn();
    assert!(fleet.apply(1).status.success());
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let desk = Desk::bind().await.unwrap();
        announcer::spawn(&desk, fleet.agent_operators);
        book_when_served(&fleet).await;
        fleet.control.kill();
        compio::time::sleep(CONTROL_OUTAGE).await;
        let answer = book(&fleet).await;
        assert_eq!(answer, (200, r#"{"booking":2}"#.to_owned()));
    });
}
