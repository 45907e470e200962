//! Which build of a service's software began each stream.
//!
//! What two builds write does not fit together, so a client may take a stream up again only at the
//! build that began it. Gateways and stewards keep this for each other: no process knows by itself
//! what others began.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use rapidhash::v3::rapidhash_v3;

use super::registry::Announcement;

/// How long the build of a stream is kept: several times the longest time that clients wait for an
/// answer with all its interruptions.
const RETENTION: Duration = Duration::from_mins(1);

/// The most streams that are kept, in 3 MB. It is beyond what a process gets to know in
/// [`RETENTION`] at the target size, but clients choose the ids of their requests.
const MAX_STREAMS: usize = 65_536;

/// The key of a build of a service's software, by which processes tell it to each other. It is
/// never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Build(pub u64);

/// The key of a stream, by the id of the request that began it. It is never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Stream(pub u64);

impl Build {
    /// The build that an endpoint announces.
    #[must_use]
    pub fn of(announcement: &Announcement) -> Self {
        let (service, build) = (announcement.service.as_str(), &announcement.build);
        // No service has a line end in its name.
        Self(rapidhash_v3(format!("{service}\n{build}").as_bytes()).max(1))
    }
}

impl Stream {
    /// The stream that the request with this id began.
    #[must_use]
    pub fn of(request: &str) -> Self {
        Self(rapidhash_v3(request.as_bytes()).max(1))
    }
}

/// The builds that began streams, as far as they were told.
#[derive(Debug, Default)]
pub struct Origins {
    builds: HashMap<Stream, (Build, Instant)>,
    /// When each of them was told, the earliest first. One that was told again is in it twice.
    told: VecDeque<(Instant, Stream)>,
}

impl Origins {
    /// Records the build that began a stream, or went on with it. The first one that was told
    /// stays.
    pub fn record(&mut self, now: Instant, stream: Stream, build: Build) {
        self.expire(now);
        self.builds.entry(stream).or_insert((build, now)).1 = now;
        self.told.push_back((now, stream));
    }

    /// The build that began a stream; `None` if it was not told, or too long ago.
    #[must_use]
    pub fn build(&self, now: Instant, stream: Stream) -> Option<Build> {
        let &(build, at) = self.builds.get(&stream)?;
        (now < at + RETENTION).then_some(build)
    }

    /// The number of streams that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.builds.len()
    }

    /// Whether no stream is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.builds.is_empty()
    }

    /// Drops what is too old, and the oldest if there are too many.
    fn expire(&mut self, now: Instant) {
        while let Some(&(at, stream)) = self.told.front() {
            if now < at + RETENTION && self.told.len() < MAX_STREAMS {
                return;
            }
            self.told.pop_front();
            let latest = self.builds.get(&stream).map(|&(_, at)| at);
            if latest == Some(at) {
                self.builds.remove(&stream);
            }
        }
    }
}
