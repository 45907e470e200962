@0xe1b46c0f7a9d2c53;
# Messages between the control replicas and records of their journal.

using Link = import "link.capnp";
using Mesh = import "mesh.capnp";

struct Seed {
  name @0 :Text;
  address @1 :Text;
  observer @2 :Bool;
}

struct Peer {
  id @0 :UInt64;
  seed @1 :Seed;
  voter @2 :Bool;
}

struct Membership {
  names @0 :List(Text);
  peers @1 :List(Peer);
  open @2 :Bool;
}

struct Position {
  term @0 :UInt64;
  index @1 :UInt64;
}

struct Key {
  high @0 :UInt64;
  low @1 :UInt64;
  born @2 :UInt64;  # 0: the key carries no time
}

struct Wish {
  key @0 :Key;
  holder @1 :Link.Id;
  digest @2 :UInt64;
  at @3 :UInt64;
}

struct Conclusion {
  key @0 :Key;
  holder @1 :Link.Id;
  verdict @2 :Link.Verdict;
  vm @3 :Text;
}

struct Document {
  number @0 :UInt64;
  source @1 :Data;
}

struct Entry {
  position @0 :Position;
  union {
    blank @1 :Void;
    membership @2 :Membership;
    configure @3 :Link.Lists;
    claim @4 :Wish;
    conclude @5 :Conclusion;
    publish @6 :Document;
    confirm @7 :Void;
    weigh @8 :List(Mesh.Demand);
  }
}

# Flat, because a snapshot holds hundreds of thousands.
struct ClaimRow {
  high @0 :UInt64;
  low @1 :UInt64;
  born @2 :UInt64;  # 0: the key carries no time
  entry @3 :UInt64;
  number @4 :UInt64;
  digest @5 :UInt64;
  at @6 :UInt64;
  vm @7 :UInt32;  # index into Snapshot.vms, counted from 1; 0: not told
  reason @8 :UInt16;  # index into Snapshot.reasons
  ended @9 :Ended;
}

enum Ended {
  running @0;
  ran @1;
  mayHaveRun @2;
  notRun @3;
}

struct Snapshot {
  position @0 :Position;
  membership @1 :Membership;
  configuration @2 :Link.Lists;
  time @3 :UInt64;
  claims @4 :List(ClaimRow);
  vms @5 :List(Text);
  reasons @6 :List(Text);
  document @7 :Document;  # null: none was published
  demand @8 :List(Mesh.Demand);
}

struct Message {
  from @0 :UInt64;
  reply @1 :Text;
  to @2 :UInt64;  # 0: whoever is reached
  term @3 :UInt64;
  union {
    poll @4 :Position;
    polled @5 :Bool;
    solicit :group {
      last @6 :Position;
      forced @7 :Bool;
    }
    voted @8 :Void;
    append :group {
      previous @9 :Position;
      entries @10 :List(Entry);
      commit @11 :UInt64;
      stamp @12 :UInt64;
    }
    appended :group {
      matched @13 :UInt64;
      stamp @14 :UInt64;
    }
    diverged :group {
      previous @15 :UInt64;
      last @16 :UInt64;
      stamp @17 :UInt64;
    }
    install :group {
      snapshot @18 :Snapshot;
      stamp @19 :UInt64;
    }
    handover @20 :Void;
    outdated @21 :Void;
    join @22 :Seed;
    probe @23 :Void;
    probed :group {
      name @24 :Text;
      fresh @25 :Bool;
      founder @26 :Bool;
    }
  }
}

# What the journal writes and syncs together.
struct Record {
  id @0 :UInt64;  # of the replica
  term @1 :UInt64;
  candidate @2 :UInt64;  # 0: none
  snapshot @3 :Snapshot;  # null: the record only appends
  entries @4 :List(Entry);
}

struct Acceptance {
  union {
    accepted :group {
      number @0 :UInt64;
      digest @1 :UInt64;
    }
    conflict :group {
      number @2 :UInt64;
      digest @3 :UInt64;
    }
    stale @4 :UInt64;
  }
}

# What a control process offers to the others, beside what it offers to all.
interface Replica extends(Link.Control) {
  deliver @0 (message :Message) -> ();
  apply @1 (lists :Link.Lists) -> (acceptance :Acceptance);
  wish @2 (name :Text, remove :Bool) -> ();
  status @3 () -> (json :Data);
  publish @4 (document :Document) -> (published :Bool, number :UInt64);
  read @5 () -> (published :Bool, number :UInt64);
  # Returns the committed document that this process has, if its number is above `above`.
  fetch @6 (above :UInt64) -> (document :Document);
}
