//! Estimates which prompt prefixes an engine has in its cache, from the requests that this
//! gateway sent to it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rapidhash::v3::rapidhash_v3;

use crate::process::endpoint::Target;
use crate::request::passthrough::Part;

/// How long a prefix is expected to stay in the cache after its last use.
const RETENTION: Duration = Duration::from_secs(45);

/// The most prefixes that are remembered for an engine. Beyond this, expired prefixes are
/// dropped, or all of them if too many are left.
const MAX_PREFIXES: usize = 2048;

/// The most parts of a prompt that are told apart as causes of crashes.
const MAX_SHARED_PARTS: usize = 16;

/// The prefixes of one request's prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The hash of each prefix, with model and adapter, and its length in tokens.
    prefixes: Vec<(u64, u32)>,
    /// The identifiers of the parts that other requests may have, too.
    shared_parts: Vec<u64>,
    /// The length of the whole prompt, in tokens.
    pub tokens: u32,
}

impl Prompt {
    /// Hashes the prefixes that the parts of a prompt make up.
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
        let shared = parts.len().saturating_sub(1).min(MAX_SHARED_PARTS);
        let shared_parts = parts.iter().take(shared).map(|part| part.id).collect();
        Self {
            prefixes,
            shared_parts,
            tokens,
        }
    }

    /// The identifiers of the parts that other requests may have, too: all but the last, and
    /// [`MAX_SHARED_PARTS`] at most.
    #[must_use]
    pub fn shared_parts(&self) -> &[u64] {
        &self.shared_parts
    }

    /// The hash of the longest prefix that other requests may share: all but the last part,
    /// or the only part. 0 if the prompt has no parts.
    #[must_use]
    pub fn shared_prefix(&self) -> u64 {
        let second_last = self.prefixes.len().checked_sub(2);
        let shared = second_last.and_then(|index| self.prefixes.get(index));
        shared.or(self.prefixes.first()).map_or(0, |row| row.0)
    }

    /// The length of the longest prefix that other requests are likely to share: all but the last
    /// part; 0 if there is only one part.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        let second_last = self.prefixes.len().checked_sub(2);
        let shared = second_last.and_then(|index| self.prefixes.get(index));
        shared.map_or(0, |row| row.1)
    }
}

/// The prefixes in one engine's cache, from the requests that were sent to it.
#[derive(Debug, Default)]
pub struct Cache {
    /// When each prefix was last sent to the engine, by its hash.
    last_used: HashMap<u64, Instant>,
}

impl Cache {
    /// The number of tokens at the beginning of `prompt` that the engine need not prefill.
    #[must_use]
    pub fn cached_tokens(&self, now: Instant, prompt: &Prompt) -> u32 {
        self.cached(now, prompt).map_or(0, |(tokens, _)| tokens)
    }

    /// The number of tokens at the beginning of `prompt` that the engine need not prefill, and the
    /// time since the longest such prefix was used.
    #[must_use]
    pub fn cached(&self, now: Instant, prompt: &Prompt) -> Option<(u32, Duration)> {
        let cached = prompt.prefixes.iter().map_while(|&(hash, tokens)| {
            let age = now.saturating_duration_since(*self.last_used.get(&hash)?);
            (age < RETENTION).then_some((tokens, age))
        });
        cached.last()
    }

    /// Records that `prompt` is sent to the engine, which prefills and caches it.
    pub fn record(&mut self, now: Instant, prompt: &Prompt) {
        for &(hash, _) in &prompt.prefixes {
            self.last_used.insert(hash, now);
        }
        if self.last_used.len() > MAX_PREFIXES {
            self.last_used.retain(|_, &mut at| now < at + RETENTION);
        }
        if self.last_used.len() > MAX_PREFIXES {
            self.last_used.clear();
        }
    }

    /// Forgets all prefixes, because the engine restarted.
    pub fn clear(&mut self) {
        self.last_used.clear();
    }
}
