# Messages between nodes, sent over TCP as a 4-byte big-endian length and one
# packed message. docs/ARCHITECTURE.md describes the effect of stale, duplicate
# or missing messages.
@0xd1f7a3c2b8e64590;

struct Hello {
  node @0 :Text;
  incarnation @1 :Text;
  nonce @2 :Data;
}

struct Proof {
  keyId @0 :Text;
  digest @1 :Data;
}

struct Demand {
  organisation @0 :Text;
  rate @1 :Float32;       # requests/s from callers at the sender
  running @2 :Float32;    # requests in flight at the sender
}

struct Grant {
  organisation @0 :Text;
  rate @1 :Float32;       # requests/s lent to the receiver
  slots @2 :UInt16;       # concurrent requests lent to the receiver
}

# Reports of replicas, one column for each field. Each epoch is assigned once, so
# it identifies a group without the replica's name.
struct ReplicaReports {
  epoch @0 :List(UInt64);
  whole @1 :List(Bool);
  ageMs @2 :List(UInt32);   # age of the oldest evidence it is based on
  running @3 :List(UInt16);
  waiting @4 :List(UInt16);
  slots @5 :List(UInt16);
  sent @6 :List(UInt16);    # requests in flight from the reporting node
}

struct HostReports {
  host @0 :List(Text);
  incarnation @1 :List(UInt64);
  replica @2 :List(Text);
  epoch @3 :List(UInt64);
  state @4 :List(Text);
  lastOrder @5 :List(Text);
  ageMs @6 :List(UInt32);
  inFlight @7 :List(UInt16);  # requests running or waiting in the engine
}

struct Ping {
  seq @0 :UInt32;
  configVersion @1 :UInt32;
  demands @2 :List(Demand);
  wantsHosts @3 :Bool;
}

struct Pong {
  seq @0 :UInt32;
  configVersion @1 :UInt32;
  vouches @2 :Bool;
  replicas @3 :ReplicaReports;
  hosts @4 :HostReports;
  grants @5 :List(Grant);
  leaving @6 :Bool;       # the sender is shutting down
  leavingHosts @7 :List(Text);
}

struct Withdrawal {
  replica @0 :Text;
  epoch @1 :UInt64;
  reason @2 :Text;
}

struct ConfigPush {
  version @0 :UInt32;
  document @1 :Text;
}

struct Envelope {
  union {
    hello @0 :Hello;
    proof @1 :Proof;
    ping @2 :Ping;
    pong @3 :Pong;
    withdrawal @4 :Withdrawal;
    config @5 :ConfigPush;
  }
}
