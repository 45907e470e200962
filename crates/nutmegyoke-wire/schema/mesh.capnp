@0xc9d21f6e4a8b3d17;
# What gateways tell each other of endpoints, and ask of stewards.

struct Stamp {
  born @0 :UInt64;
  sequence @1 :UInt64;
}

struct Announcement {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  dataCentre @3 :Text;
  stamp @4 :Stamp;
  slots @5 :UInt32;
  draining @6 :Bool;
  warmingMs @7 :UInt64;
  leavesInMs @8 :UInt64;  # counted from 1; 0: not told
  models @9 :List(Text);
  warm @10 :List(Text);
  adapters @11 :List(Text);  # as MODEL/NAME
  build @12 :Text;  # the version of its software
}

struct Rumor {
  ageMs @0 :UInt64;
  union {
    told @1 :Announcement;
    left @2 :Announcement;
    # A heartbeat whose adapters changed, or the remaining time of the warm-up.
    adapted :group {
      start @3 :UInt64;  # key of endpoint and start
      sequence @4 :UInt32;  # the lower half
      warmingMs @5 :UInt32;
      adapters @6 :List(Text);  # as MODEL/NAME
    }
  }
}

# Heartbeats without changes, as lists of equal length: 14 bytes for each instead of 72.
struct Renewals {
  starts @0 :List(UInt64);  # keys of endpoint and start
  sequences @1 :List(UInt32);  # the lower half
  agesMs @2 :List(UInt16);
}

struct Demand {
  model @0 :Text;
  tokensPerSecond @1 :Float64;
}

# The requests of a gateway at endpoints, as lists of equal length: 14 bytes for each instead of 48.
# A larger number is sent as the largest one that fits.
struct Backlogs {
  endpoints @0 :List(UInt64);  # keys of their ids
  ahead @1 :List(UInt32);
  inFlight @2 :List(UInt16);
}

# The rate of requests that an endpoint takes from all gateways together.
struct Limit {
  endpoint @0 :Text;
  born @1 :UInt64;
  ageMs @2 :UInt64;
  union {
    ended @3 :Void;
    requestsPerSecond @4 :Float64;
  }
}

struct Work {
  models @0 :List(Demand);
  backlogs @1 :Backlogs;
  limits @2 :List(Limit);
}

# The work of the gateways of a data centre, as its relay sums it up.
struct Summary {
  dataCentre @0 :Text;
  ageMs @1 :UInt64;
  members @2 :List(UInt64);  # the runs of the gateways
  work @3 :Work;
}

struct Size {
  model @0 :Text;
  megabytes @1 :Float64;
}

struct Directive {
  endpoint @0 :Text;
  unload @1 :List(Text);
  load @2 :Text;
  memoryMb @3 :Float64;
  sizes @4 :List(Size);
}

# An endpoint that crashed, and for each request that may have caused it the shared prompt parts
# and, in `requests`, its fingerprint; 0: cleared.
struct Crash {
  endpoint @0 :Text;
  born @1 :UInt64;
  ageMs @2 :UInt64;
  suspects @3 :List(List(UInt64));
  requests @4 :List(UInt64);
}

# A prompt part, or the fingerprint of a request, that was suspect before a request with it
# succeeded.
struct Clearance {
  part @0 :UInt64;
  ageMs @1 :UInt64;
  isRequest @2 :Bool;
}

struct Evidence {
  crashes @0 :List(Crash);
  clearances @1 :List(Clearance);
}

interface Gateway {
  # `from` and `run` identify the runs of the processes that ask and answer, `address` is where the
  # one that asks receives gossip. `document` is the number of the routing document that each of
  # them has in force; 0: none. `dataCentre` is told where it may not be known.
  # `digest` is of the endpoints that the one which answers knows then, and `missed` are the keys of
  # the starts whose heartbeats it misses.
  spread @0 (from :UInt64, rumors :List(Rumor), work :Work, evidence :Evidence, address :Text, document :UInt64, renewals :Renewals, dataCentre :Text, summaries :List(Summary)) -> (run :UInt64, document :UInt64, digest :UInt64, missed :List(UInt64));
  # Asks the owner of an endpoint to admit a request within the wait. `waitMs` of the answer is
  # the wait if it is granted, or the time until a request would be.
  admit @1 (endpoint :Text, requestsPerSecond :Float64, waitMs :UInt64) -> (granted :Bool, waitMs :UInt64);
  # Asks the owner of a tenant's allotment for units of it: `units` that a request needs, and `extra` ones
  # for those that are expected soon. The rate and burst are those that the borrower knows; 0 granted
  # units are a refusal, after which there is room in `retryAfterMs`. With 0 `units` it asks whether the
  # receiver takes `from` for the owner; it does if `granted` is 1.
  borrow @2 (tenant :Text, units :UInt64, extra :UInt64, unitsPerSecond :Float64, burst :Float64, from :Text) -> (granted :UInt64, retryAfterMs :UInt64);
  # Notes which build began a resumable stream; both are given by their keys.
  noteOrigin @3 (stream :UInt64, build :UInt64) -> ();
  # Asks which build began a stream, and for the one build that `service` had in the last
  # `horizonMs`; 0: unknown, or several.
  recallOrigin @4 (stream :UInt64, service :Text, horizonMs :UInt64) -> (build :UInt64, sole :UInt64);
}

interface Steward {
  # Answers once the engine holds the adapter, or when it can't.
  prepare @0 (endpoint :Text, model :Text, adapter :Text, slots :UInt32) -> (adapters :List(Text));
  # `term` is that of the leader that orders; an older one is refused.
  order @1 (term :UInt64, directive :Directive) -> (accepted :Bool);
  # Asks whether a request may be sent to the engine now. `uncached` prompt tokens have to be prefilled;
  # `tokens` are those of the whole prompt and of the longest answer. It is admitted if it is expected to start
  # within `limitMs`, in the order of `dueMs`, by which it has to start to meet its objective; 0: it can't. `gapMs` is the longest pause between the events of its answer; 0: any. `slots` is
  # the number of requests that may be at the engine with it. Requests of one priority are admitted to the `tenant`
  # that holds the least in proportion to those that wait; empty: none. It fails if the steward is beside another endpoint than
  # `endpoint`, or a later start than the one at `startedMs`. The answer tells the expected start and the engine's load: prompt tokens that
  # are ahead, and the requests that run and wait.
  admit @2 (endpoint :Text, request :Text, priority :UInt8, uncached :UInt32, tokens :UInt32, limitMs :UInt64, gapMs :UInt64, slots :UInt32, dueMs :UInt64, startedMs :UInt64, tenant :Text) -> (admitted :Bool, startMs :UInt64, ahead :UInt64, running :UInt32, waiting :UInt32);
  # As with gateways. A steward does not know all builds of a service.
  noteOrigin @3 (stream :UInt64, build :UInt64) -> ();
  recallOrigin @4 (stream :UInt64) -> (build :UInt64);
}
