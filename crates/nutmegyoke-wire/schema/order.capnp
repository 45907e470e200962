@0xb6a4f1d09c3e7725;
# What agents report of their engines, and what control's leader orders in answer.

struct Fence {
  term @0 :UInt64;
  sequence @1 :UInt64;
}

struct Weights {
  kind @0 :Text;
  name @1 :Text;
  version @2 :UInt32;
}

struct Order {
  endpoint @0 :Text;
  fence @1 :Fence;
  union {
    load :group {
      weights @2 :Weights;
      bytes @3 :UInt64;
    }
    unload @4 :Weights;
    turn @5 :Text;  # stage
  }
}

struct Reservation {
  weights @0 :Weights;
  bytes @1 :UInt64;
  state @2 :Text;
}

struct Demand {
  name @0 :Text;
  requests @1 :UInt64;
}

struct Report {
  endpoint @0 :Text;
  bytes @1 :UInt64;
  fence @2 :Fence;
  settled @3 :Bool;
  stage @4 :Text;
  reservations @5 :List(Reservation);  # null: those of the report before
  demand @6 :List(Demand);
}

interface Scheduler {
  # `leader` is false where another process leads; nothing is ordered then.
  # `whole` asks for a report that leaves nothing out.
  report @0 (vm :Text, dataCentre :Text, reports :List(Report)) -> (leader :Bool, seal :Fence, orders :List(Order), whole :Bool);
}
