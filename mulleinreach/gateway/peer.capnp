# Messages between a node and the coordinator. Each goes over TCP as a 4-byte
# big-endian length and one packed message. Both kinds are whole statements of
# the present: a lost one is made good by the next, a doubled one changes nothing.
@0xc7e1f2a98b3d4406;

struct Load {
  upstream @0 :Text;
  running @1 :UInt16;        # requests in flight
  pendingTokens @2 :UInt32;  # prompt tokens of requests that had no event yet
  silentMs @3 :UInt32;       # since the last byte of any answer
  oldestMs @4 :UInt32;       # age of the oldest request in flight
}

struct NodeReport {
  node @0 :Text;
  loads @1 :List(Load);
  stopping @2 :Bool;
  secret @3 :Text;           # of the lease: shows that the node has read the store
}

struct OpenHead {
  upstream @0 :Text;
  group @1 :Text;
  epoch @2 :UInt64;
  model @3 :Text;
  pace @4 :Float32;          # how many times longer than usual its work takes
}

struct CoordinatorReport {
  token @0 :UInt64;          # of the lease
  nodes @1 :UInt16;          # nodes that report, the coordinator included
  loads @2 :List(Load);      # of all nodes but the receiver
  heads @3 :List(OpenHead);
  lost @4 :List(Text);       # upstreams that give no answer
}
