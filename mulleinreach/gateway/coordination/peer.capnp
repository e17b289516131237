# Messages between a node and the coordinator. Each is sent over TCP as a 4-byte
# big-endian length and one packed message, compressed. Each message contains the
# complete current state, except for list changes, which are sent once, in order.
@0xc7e1f2a98b3d4406;

struct Load {
  upstream @0 :Text;
  running @1 :UInt16;        # requests in flight
  pendingTokens @2 :UInt32;  # prompt tokens of requests without an event yet
  silentMs @3 :UInt32;       # time since the last byte of any response
  oldestMs @4 :UInt32;       # age of the oldest request in flight
  standingBack @5 :UInt16;   # requests without an event yet that yield to all others
  fixed @6 :UInt16;          # requests that may not be sent to another upstream
}

# A node's observation of one run of a request.
struct Sighting {
  id @0 :UInt64;             # random, chosen by the observing node
  content @1 :UInt64;        # digest of the request
  upstream @2 :Text;
  hall @3 :Text;             # of the upstream
  outcome @4 :UInt8;         # 1 ended, 2 ended after start, 3 served, 4 ended after part of the response
  agoMs @5 :UInt32;
  parts @6 :List(UInt64);    # digests of shared parts of the prompt; if served, of suspected ones
  gaveMs @7 :UInt32;         # for how long the run had sent parts of the response
}

# The rate limit over all nodes that an upstream announced last.
struct NamedLimit {
  upstream @0 :Text;
  perS @1 :Float64;          # requests per second; infinite if the limit ended
  agoMs @2 :UInt32;
}

# Permits for requests to an upstream with a rate limit.
struct PermitCount {
  upstream @0 :Text;
  count @1 :UInt16;
}

struct NodeReport {
  node @0 :Text;
  loads @1 :List(Load);
  stopping @2 :Bool;
  secret @3 :Text;           # secret of the lease, which the coordinator requires
  seq @4 :UInt64;            # sequence number, increases with each report of a node
  listRevision @5 :UInt64;   # of the node's list of upstreams
  configVersion @6 :UInt64;  # of the configuration in force at the node
  successor @7 :Holder;      # sent by a new coordinator to the one that it replaces
  hall @8 :Text;
  sightings @9 :List(Sighting);
  limits @10 :List(NamedLimit);  # limits that the coordinator hasn't reported
  wanted @11 :List(PermitCount); # requested in addition to the permits held
  tunnelAddress @12 :Text;   # where the node opens tunnels to upstreams; empty if it can't
  served @13 :UInt32;        # requests with prompt parts that the node has served since its start
  knownSuspects @14 :List(UInt64);  # suspected prompt parts of requests that the node has served
  incarnation @15 :UInt64;   # random, chosen at each start of the process
  heldShare @16 :Float64;    # its unexpired share of bounds on all nodes together
  shareNumber @17 :UInt64;   # number of the lease of that share
  usedShare @18 :Float64;    # the part of these bounds that it may have used in the current window
  shareReleased @19 :Bool;   # whether it uses no share any more
  wantedShare @20 :Float64;  # the part of these bounds that it lacks
}

# The holder of the coordinator's lease.
struct Holder {
  token @0 :UInt64;          # fencing token; 0 if no holder is given
  address @1 :Text;
  secret @2 :Text;           # required in reports to this holder
}

struct OpenHead {
  upstream @0 :Text;
  group @1 :Text;
  epoch @2 :UInt64;
  model @3 :Text;
  pace @4 :Float32;          # how many times longer than usual its requests take
}

# The part of a report that is the same for all nodes; encoded once for all.
struct Totals {
  token @0 :UInt64;          # fencing token of the lease
  nodes @1 :UInt16;          # nodes that report, the coordinator included
  loads @2 :List(Load);      # summed over all nodes
  hasHeads @3 :Bool;         # false if unchanged since last sent
  heads @4 :List(OpenHead);
  lost @5 :List(Text);       # upstreams that don't respond
  configVersion @6 :UInt64;
  configAgeMs @7 :UInt32;    # time since the coordinator verified that it is the newest
  listRevision @8 :UInt64;
  listAgeMs @9 :UInt32;
  resigned @10 :Bool;        # the coordinator gives no orders until it renews its lease
  renewal @11 :UInt64;       # renewal count of the lease when it resigned
  retiring @12 :List(Text);  # heads that finish their requests and accept no new ones
  storeAway @13 :Bool;       # no node appears to be able to read the store
  successor @14 :Holder;     # the coordinator that has replaced the sender, if any
  keepsRemoved @15 :Bool;    # keep upstreams missing from the store, which was unavailable
  evacuated @16 :List(Text); # halls that operators have ordered to be emptied
  operatorRevision @17 :UInt64;  # store revision up to which evacuated is known
  numbers @18 :UInt16;       # one above the highest node number; 0 if not valid
  hasHeld @19 :Bool;         # false if unchanged since last sent
  held @20 :List(UInt64);    # digests of requests and prompt parts that are not sent any more
  heldForMs @21 :List(UInt32);  # remaining time for each of them
  hasLimits @22 :Bool;       # false if unchanged since last sent
  limits @23 :List(NamedLimit);
  hasSuspects @24 :Bool;     # false if unchanged since last sent
  suspects @25 :List(UInt64);  # prompt parts of which nodes report that they served them
  vacating @26 :List(Text);  # retiring heads whose requests move at once where they can
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
  domain @8 :Text;           # fabric domain; empty for plain services
  group @9 :Text;            # empty without a group
  epoch @10 :UInt64;
  rank @11 :UInt16;
  state @12 :Text;
  coldMs @13 :UInt32;        # remaining time for which it counts as cold
}

struct ListChange {
  revision @0 :UInt64;
  upstreams @1 :List(Upstream);
  removed @2 :List(Text);
}

struct CoordinatorReport {
  echoedSeq @0 :UInt64;      # sequence number of the node's report that this answers
  totals @1 :Data;
  changes @2 :List(ListChange);
  listUnknown @3 :Bool;      # the node has to read the list from the store
  configuration @4 :Data;    # the newest one, if the node lacks it
  wholeList @5 :Data;        # a ListChange with all upstreams, if the node has no list
  number @6 :UInt16;         # number of the receiving node
  permits @7 :List(PermitCount); # newly granted permits
  hasTunnelServers @8 :Bool; # false if unchanged since last sent
  tunnelServers @9 :List(Text);  # addresses of nodes that open tunnels for the receiver
  hasShare @10 :Bool;        # false if no share is leased by this report
  share @11 :Float64;        # the receiver's share of bounds on all nodes together
  shareNumber @12 :UInt64;   # rises with each lease of another share
}
