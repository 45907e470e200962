//! When the state of tenants may be dropped.

use std::collections::BTreeSet;
use std::time::Instant;

/// The tenants by the time at which their state may be dropped. A tenant that is used later stays at
/// the time that was entered, and is entered again when that has come. So neither its use nor a look
/// for what has expired goes through other tenants.
#[derive(Debug, Default)]
pub struct Expiry {
    tenants: BTreeSet<(Instant, String)>,
}

impl Expiry {
    /// Enters a tenant whose state may be dropped at `at`, unless it is used until then.
    pub fn enter(&mut self, at: Instant, tenant: &str) {
        self.tenants.insert((at, tenant.to_owned()));
    }

    /// Removes a tenant whose time has come.
    pub fn next(&mut self, now: Instant) -> Option<String> {
        let &(at, _) = self.tenants.first()?;
        if now < at {
            return None;
        }
        self.tenants.pop_first().map(|(_, tenant)| tenant)
    }
}
