//! Encodings that live as long as a process.

pub mod announcement;
pub mod claims;
pub mod directory;
pub mod ini;
pub mod member;
pub mod news;
pub mod record;
pub mod replica;
pub mod settings;
pub mod status;
pub mod withdrawal;

pub use announcement::Announcement;
pub use settings::Settings;
pub use status::Status;
pub use withdrawal::Withdrawal;
