//! Which parts of prompts an engine is likely to keep in its cache.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rapidhash::v3::rapidhash_v3;

use crate::process::endpoint::Target;
use crate::request::passthrough::Part;

/// How long a part is taken to be kept after its last use.
const RETENTION: Duration = Duration::from_secs(45);

/// The most prefixes remembered for an engine.
const PREFIXES: usize = 2048;

/// The prefixes of one request's prompt that other requests may share.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// A hash of each prefix with the model and adapter, and its length in tokens.
    prefixes: Vec<(u64, u32)>,
    /// The length of the whole prompt in tokens.
    pub tokens: u32,
}

impl Prompt {
    /// Reads the parts of a request's prompt.
    #[must_use]
    pub fn open(target: Option<Target<'_>>, parts: &[Part]) -> Self {
        let mut key = Vec::new();
        if let Some(Target::Model { model, adapter }) = target {
            key.extend_from_slice(model.as_bytes());
            key.push(b'/');
            key.extend_from_slice(adapter.unwrap_or_default().as_bytes());
        }
        let mut tokens = 0_u32;
        let mut prefixes = Vec::with_capacity(parts.len());
        for part in parts {
            key.extend_from_slice(&part.id.to_le_bytes());
            tokens = tokens.saturating_add(part.tokens);
            prefixes.push((rapidhash_v3(&key), tokens));
        }
        Self { prefixes, tokens }
    }

    /// Identifies the longest prefix that is not the request's own alone.
    #[must_use]
    pub fn shared(&self) -> u64 {
        let before_last = self.prefixes.len().checked_sub(2);
        let shared = before_last.and_then(|index| self.prefixes.get(index));
        shared.or(self.prefixes.first()).map_or(0, |row| row.0)
    }
}

/// The prefixes that requests to one engine had lately.
#[derive(Debug, Default)]
pub struct Cache {
    seen: HashMap<u64, Instant>,
}

impl Cache {
    /// Tokens at the beginning of `prompt` that the engine need not read again.
    #[must_use]
    pub fn kept(&self, now: Instant, prompt: &Prompt) -> u32 {
        let kept = prompt.prefixes.iter().take_while(|(hash, _)| {
            let seen = self.seen.get(hash);
            seen.is_some_and(|&at| now < at + RETENTION)
        });
        kept.last().map_or(0, |&(_, tokens)| tokens)
    }

    /// Notes that the engine reads `prompt`.
    pub fn note(&mut self, now: Instant, prompt: &Prompt) {
        for &(hash, _) in &prompt.prefixes {
            self.seen.insert(hash, now);
        }
        if self.seen.len() > PREFIXES {
            self.seen.retain(|_, &mut at| now < at + RETENTION);
        }
        if self.seen.len() > PREFIXES {
            self.seen.clear();
        }
    }

    /// Forgets everything, because the engine was started again.
    pub fn clear(&mut self) {
        self.seen.clear();
    }
}
