@0xd5f1b0a3c6e94721;
# Calls between instances. All of them carry hints, or commands whose safety
# rests on conditional writes; none of them is an agreement by itself.

struct Member {
  id @0 :UInt64;              # unique for each start of a process
  peer @1 :Text;              # address of this interface
  http @2 :Text;              # address for callers
  dataCentre @3 :Text;
  incarnation @4 :UInt64;     # raised by the member itself to refute a suspicion
  state @5 :State;
  generation @6 :UInt64;      # configuration in force there

  enum State {
    alive @0;
    suspect @1;
    leaving @2;
    dead @3;
  }
}

struct Note {
  union {
    member @0 :Member;
    leaving @1 :Leaving;      # a target that leaves or came back
    cancel @2 :Text;          # a job that was cancelled
    work @3 :Work;            # a shard that has a new job
    generation @4 :UInt64;    # a generation that is in force somewhere
  }
}

struct Work {
  shard @0 :UInt32;
  at @1 :UInt64;              # Unix milliseconds of its acceptance
}

struct Leaving {
  target @0 :Text;
  since @1 :UInt64;           # Unix milliseconds at the source; higher wins
  leaving @2 :Bool;
  witness @3 :Witness;        # whose word this is

  enum Witness {
    target @0;
    platform @1;
    operator @2;
    controller @3;
  }
}

interface Peer {
  ping @0 (from :Member, notes :List(Note)) -> (self :Member, notes :List(Note));
  command @1 (shard :UInt32, body :Data) -> (body :Data);
  entries @2 (after :UInt64) -> (head :UInt64, entries :List(Data), document :Data);
  pressure @3 (from :UInt64, target :Text, online :UInt32) -> ();
  members @4 () -> (members :List(Member));
  ask @5 (body :Data) -> (body :Data);   # a message of the gateway, in its own codec
}
