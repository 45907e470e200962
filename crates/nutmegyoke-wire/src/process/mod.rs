//! Encodings of what processes exchange, store and are configured with.

pub mod announcement;
pub mod claims;
pub mod directory;
pub mod engine;
pub mod evidence;
pub mod gossip;
pub mod ini;
pub mod listing;
pub mod member;
pub mod order;
pub mod planner;
pub mod preview;
pub mod record;
pub mod replica;
pub mod report;
pub mod rumor;
pub mod settings;
pub mod status;
pub mod update;
pub mod withdrawal;
pub mod work;

pub use announcement::Announcement;
pub use planner::Planner;
pub use settings::Settings;
pub use status::Status;
pub use withdrawal::Withdrawal;
