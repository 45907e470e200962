@0xd2c7a5e1f0b34a96;
# Messages between nutmegyoke's own processes.
# src/connection/link_capnp.rs is generated from this file and committed;
# DEVELOPERS.md gives the command.

using Order = import "order.capnp";

struct Id {
  entry @0 :UInt64;
  number @1 :UInt64;
}

struct Destination {
  union {
    model :group {
      model @0 :Text;
      adapter @1 :Text;  # empty: the model itself
    }
    service @2 :Text;
  }
}

struct Submission {
  id @0 :Id;
  attempt @1 :UInt32;
  customer @2 :Text;
  priority @3 :UInt8;
  endpoint @4 :Text;
  destination @5 :Destination;
  once @6 :Bool;
  remainingMs @7 :UInt64;
  configuration @8 :UInt64;
  incarnation @9 :UInt64;
  keyed @10 :Bool;
  firstTokenMs @11 :UInt64 = 0xffffffffffffffff;  # this value: none is expected
  tokens @12 :UInt64;
}

# What the endpoint receives, passed on as the caller sent it.
struct Payload {
  method @0 :Text;
  path @1 :Text;
  contentType @2 :Text;
  body @3 :Data;
}

struct Verdict {
  union {
    ran @0 :Void;
    notRun @1 :Text;      # reason
    mayHaveRun @2 :Text;  # reason
  }
}

# Takes the answer to one submission, in order.
interface Answer {
  head @0 (status :UInt16, contentType :Text);
  chunk @1 (sequence :UInt64, data :Data);
}

interface Agent {
  # Returns when the attempt ended; `chunks` is how many were sent, `load` the requests
  # queued and running at the endpoint then.
  submit @0 (submission :Submission, payload :Payload, answer :Answer) -> (verdict :Verdict, chunks :UInt64, load :UInt32, retryAfterMs :UInt64);

  # Sends the kept answer to a keyed request that ran; `found` is whether it was still kept.
  recall @1 (id :Id, answer :Answer) -> (found :Bool, chunks :UInt64);

  # Withdraws an endpoint, or all when the name is empty; `known` tells whether there is such a one.
  withdraw @2 (endpoint :Text, withdrawn :Bool) -> (known :Bool);
}

struct Vm {
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct Endpoint {
  name @0 :Text;
  slots @1 :UInt32;
  draining @2 :Bool;
  union {
    engine :group {
      models @3 :List(Text);
      adapters @4 :List(Text);
    }
    service @5 :Text;
  }
}

struct Member {
  vm @0 :Vm;
  role @1 :Text;
  dataCentre @2 :Text;
  address @3 :Text;
  endpoints @4 :List(Endpoint);
  configuration @5 :UInt64;
}

struct Mark {
  epoch @0 :UInt64;
  revision @1 :UInt64;
}

struct Known {
  configuration @0 :UInt64;
  directory @1 :Mark;
}

struct Plan {
  name @0 :Text;
  customer @1 :Text;
  key @2 :Text;
  requestsPerSecond @3 :UInt32;
  concurrency @4 :UInt32;
  tokensPerMinute @5 :UInt64;
  priority @6 :UInt8;
  firstTokenMs @7 :UInt64;
  betweenTokensMs @8 :UInt64;
  deadlineMs @9 :UInt64;
}

struct Call {
  method @0 :Text;
  prefix @1 :Text;
  once @2 :Bool;
}

struct Grant {
  plans @0 :List(Text);
  union {
    model :group {
      name @1 :Text;
      bytes @2 :UInt64;
    }
    adapter :group {
      name @3 :Text;
      model @4 :Text;
      bytes @5 :UInt64;
    }
    service :group {
      name @6 :Text;
      calls @7 :List(Call);
    }
  }
}

struct Lists {
  number @0 :UInt64;
  plans @1 :List(Plan);
  grants @2 :List(Grant);
}

struct EndpointChange {
  vm @0 :Text;
  endpoints @1 :List(Endpoint);
}

# A step of an edited list: rows that stay, or a new row.
struct PlanStep {
  start @0 :UInt32;
  count @1 :UInt32;  # 0: the new row counts
  row @2 :Plan;
}

struct GrantStep {
  start @0 :UInt32;
  count @1 :UInt32;  # 0: the new row counts
  row @2 :Grant;
}

# What leads from one configuration to the next.
struct Diff {
  from @0 :UInt64;
  fromDigest @1 :UInt64;
  number @2 :UInt64;
  digest @3 :UInt64;
  plans @4 :List(PlanStep);
  grants @5 :List(GrantStep);
}

struct Delta {
  mark @0 :Mark;
  snapshot @1 :Bool;
  members @2 :List(Member);
  gone @3 :List(Text);
  base @4 :UInt64;
  changes @5 :List(EndpointChange);
}

struct News {
  configuration @0 :Lists;  # null: nothing newer
  directory @1 :Delta;
  changes @2 :List(Diff);  # in order, in place of the configuration
}

struct ClaimName {
  customer @0 :Text;
  key @1 :Text;
}

struct Claim {
  holder @0 :Id;
  digest @1 :UInt64;
  verdict @2 :Verdict;  # null: may be running
  vm @3 :Text;
}

struct ClaimOutcome {
  union {
    granted @0 :Void;
    held @1 :Claim;
    mismatch @2 :Void;
    expired @3 :Void;
    full @4 :Void;
  }
}

interface Control extends(Order.Scheduler) {
  exchange @0 (member :Member, known :Known) -> (news :News);
  claim @1 (name :ClaimName, holder :Id, digest :UInt64) -> (outcome :ClaimOutcome);
  conclude @2 (name :ClaimName, holder :Id, verdict :Verdict, vm :Text) -> ();
}
