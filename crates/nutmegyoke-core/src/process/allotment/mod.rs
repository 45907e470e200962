//! Keeps the requests of a tenant within its allotment, over all gateways together.
//!
//! One gateway, the owner of the tenant, holds a token bucket in its [`Ledger`]. The others borrow
//! units from it, and hold what they have not used yet in a [`Balance`] for a short time.

mod askers;
pub mod balance;
mod expiry;
mod history;
pub mod ledger;
mod tolerance;

pub use balance::{Balance, Lease};
pub use expiry::Expiry;
pub use ledger::{Ask, Ledger, Loan, Standing};
pub use tolerance::Tolerance;
