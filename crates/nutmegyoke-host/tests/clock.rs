//! The clock of the operating system, with a machine that is suspended.

use std::cell::Cell;
use std::time::{Duration, Instant};

use nutmegyoke_core::process::Clock;
use nutmegyoke_host::process::clock::{Kernel, System, Uptime};

/// A machine whose uptime the test sets.
struct Machine<'a>(&'a Cell<Duration>);

impl Uptime for Machine<'_> {
    fn uptime(&self) -> Duration {
        self.0.get()
    }
}

/// A process whose machine was suspended took leases and deadlines that had ended for valid.
#[test]
fn time_goes_on_while_the_machine_is_suspended() {
    let uptime = Cell::new(Duration::from_secs(1000));
    let clock = System::open(Machine(&uptime));
    let lease_end = clock.now() + Duration::from_secs(1);
    uptime.set(uptime.get() + Duration::from_secs(5));
    assert!(clock.now() > lease_end);
}

#[test]
fn time_does_not_go_backwards() {
    let clock = System::open(Kernel);
    let times: Vec<Instant> = (0..1000).map(|_| clock.now()).collect();
    assert!(times.is_sorted());
    std::thread::sleep(Duration::from_millis(20));
    assert!(clock.now() >= times[999] + Duration::from_millis(20));
}
