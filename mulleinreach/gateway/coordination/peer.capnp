# Messages between a node and the coordinator. Each goes over TCP as a 4-byte
# big-endian length and one packed message. All of them are whole statements of
# the present, but for the changes of the list, which are sent once, in order.
@0xc7e1f2a98b3d4406;

struct Load {
  upstream @0 :Text;
  running @1 :UInt16;        # requests in flight
  pendingTokens @2 :UInt32;  # prompt tokens of requests that had no event yet
  silentMs @3 :UInt32;       # since the last byte of any answer
  oldestMs @4 :UInt32;       # age of the oldest request in flight
  standingBack @5 :UInt16;   # without an event yet, and to be let in after all others
}

# What a node saw of one run of a request.
struct Sighting {
  id @0 :UInt64;             # drawn by the node that saw it
  content @1 :UInt64;        # digest of the request
  upstream @2 :Text;
  hall @3 :Text;             # of the upstream
  outcome @4 :UInt8;         # 1 ended, 2 after it had begun, 4 after it had given a part; 3 served
  agoMs @5 :UInt32;
}

# What an upstream named last of the requests that it takes from all nodes together.
struct NamedLimit {
  upstream @0 :Text;
  perS @1 :Float64;          # infinite if it names no limit any more
  agoMs @2 :UInt32;
}

# Permits for requests to an upstream with a limit.
struct PermitCount {
  upstream @0 :Text;
  count @1 :UInt16;
}

struct NodeReport {
  node @0 :Text;
  loads @1 :List(Load);
  stopping @2 :Bool;
  secret @3 :Text;           # of the lease: shows that the node has read the store
  seq @4 :UInt64;            # rises with each report of a node
  listRevision @5 :UInt64;   # of the node's list of upstreams
  configVersion @6 :UInt64;  # of the configuration in force at the node
  successor @7 :Holder;      # told by a new coordinator to the one that it replaces
  hall @8 :Text;
  sightings @9 :List(Sighting);
  limits @10 :List(NamedLimit);  # what the coordinator hasn't told
  wanted @11 :List(PermitCount); # beside the permits that the node holds
}

# Who holds the lease of the coordinator.
struct Holder {
  token @0 :UInt64;          # 0 if nobody is told
  address @1 :Text;
  secret @2 :Text;           # reports have to show it
}

struct OpenHead {
  upstream @0 :Text;
  group @1 :Text;
  epoch @2 :UInt64;
  model @3 :Text;
  pace @4 :Float32;          # how many times longer than usual its work takes
}

# The same for all nodes at one moment; encoded once.
struct Totals {
  token @0 :UInt64;          # of the lease
  nodes @1 :UInt16;          # nodes that report, the coordinator included
  loads @2 :List(Load);      # of all nodes together
  hasHeads @3 :Bool;         # else they are as they were told last
  heads @4 :List(OpenHead);
  lost @5 :List(Text);       # upstreams that give no answer
  configVersion @6 :UInt64;
  configAgeMs @7 :UInt32;    # of the coordinator's evidence that it is the newest
  listRevision @8 :UInt64;
  listAgeMs @9 :UInt32;
  resigned @10 :Bool;        # the coordinator gives no orders unless it renews its lease
  renewal @11 :UInt64;       # of the lease, when it resigned
  retiring @12 :List(Text);  # heads that finish their work and take nothing new
  storeAway @13 :Bool;       # no node can read the store, as far as the coordinator can tell
  successor @14 :Holder;     # who has replaced the coordinator that tells this
  keepsRemoved @15 :Bool;    # the store was away: upstreams off the list may be back soon
  evacuated @16 :List(Text); # halls that are to be empty
  operatorRevision @17 :UInt64;  # of the store, up to which that is known
  numbers @18 :UInt16;       # one above the highest number that a node has
  hasHeld @19 :Bool;         # else nothing is told of them
  held @20 :List(UInt64);    # digests of requests that are not sent any more
  heldForMs @21 :List(UInt32);  # for how much longer each of them is not
  hasLimits @22 :Bool;       # else they are as they were told last
  limits @23 :List(NamedLimit);
}

struct Upstream {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  hall @3 :Text;
  draining @4 :Bool;
  slots @5 :UInt16;
  models @6 :List(Text);
  staged @7 :List(Text);
  domain @8 :Text;           # empty for plain services
  group @9 :Text;            # empty without a group
  epoch @10 :UInt64;
  rank @11 :UInt16;
  state @12 :Text;
  coldMs @13 :UInt32;        # for how much longer it is cold
}

struct ListChange {
  revision @0 :UInt64;
  upstreams @1 :List(Upstream);
  removed @2 :List(Text);
}

struct CoordinatorReport {
  echoedSeq @0 :UInt64;      # of the node's latest report; dates what is told
  totals @1 :Data;
  changes @2 :List(ListChange);
  listUnknown @3 :Bool;      # the node has to read the list itself
  configuration @4 :Data;    # the newest one, if the node lacks it
  wholeList @5 :Data;        # a ListChange with all upstreams, if the node has no list
  number @6 :UInt16;         # of the node that is told, among all that report
  permits @7 :List(PermitCount); # each report gives out others
}
