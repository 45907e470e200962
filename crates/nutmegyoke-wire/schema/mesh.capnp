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
}

struct Rumor {
  ageMs @0 :UInt64;
  union {
    told @1 :Announcement;
    renewed :group {
      id @2 :Text;
      stamp @3 :Stamp;
    }
    left :group {
      id @4 :Text;
      stamp @5 :Stamp;
    }
  }
}

interface Gateway {
  # `run` identifies the run of the process that answers.
  spread @0 (rumors :List(Rumor)) -> (run :UInt64);
}

interface Steward {
  # Answers once the engine holds the adapter, or when it can't.
  prepare @0 (endpoint :Text, model :Text, adapter :Text, slots :UInt32) -> (adapters :List(Text));
}
