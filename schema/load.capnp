# The generated code is committed beside the sources that use it; to make it anew:
# capnp compile -oc++:src/currantspar/gateway --src-prefix=schema schema/load.capnp
@0xb7f3c1a09d5e2468;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("currantspar::gateway::wire");

# What one gateway node tells the others, in one datagram.
struct LoadDigest {
  sender @0 :Text;            # the node's peer address, IP:port
  sequence @1 :UInt64;        # grows with each digest of the sender's process
  whole @2 :Bool;             # names all engines at which the sender has work; otherwise only those that changed
  engines @3 :List(EngineLoad);
  parts @4 :List(CachedPart); # prompt parts that the sender has had read since its last digest
  configuration @5 :UInt64;   # version in force at the sender; 0: none
  dataCentre @6 :Text;        # of the sender
  servers @7 :ServersStatement; # null: the sender doesn't read the shared store, or has nothing to tell now
  speeds @8 :List(EngineSpeed); # in whole digests: what the sender has measured
  lost @9 :List(LostRequest); # requests lost in crashes of engines, seen by the sender
  completed @10 :List(CompletedSegment);
  quarantined @11 :List(QuarantinedSegment);
  limits @12 :List(ServerLimit);
  incarnation @13 :UInt64;    # of the sender's process; its sequence numbers start anew with each; 0: unknown
  wallClock @14 :Int64;       # the sender's time of day in milliseconds since 1970; 0: not told
  storeEra @15 :UInt64;       # that `servers` is of
  reportedWindow @16 :UInt64; # all usage windows up to this one have been reported; 0: none
  usage @17 :List(WindowUsage); # to the collectors of usage only
  demand @18 :List(ServiceDemand); # to the collectors of usage only
}

# Requests of one organisation that servers began for the sender's process in one window, so far.
struct WindowUsage {
  window @0 :UInt64;
  organisation @1 :Text;
  requests @2 :UInt64;
}

# Work that the sender's callers ask of a service's servers.
struct ServiceDemand {
  service @0 :Text;
  work @1 :Float64;           # milliseconds of a server's time a second
}

# What a server last said of the requests that it accepts.
struct ServerLimit {
  server @0 :Text;
  started @1 :Int64;          # milliseconds of the server's wall clock; tells its incarnations apart
  perSecond @2 :Float64;      # from all nodes together; negative: it has no limit any more
  ageMs @3 :UInt32;           # since it said so
}

# A request that an engine had when it crashed.
struct LostRequest {
  request @0 :Text;
  engine @1 :Text;
  engineStarted @2 :Int64;    # milliseconds of the engine's wall clock
  sentAgeMs @3 :UInt32;       # since it was sent to the engine
  crashAgeMs @4 :UInt32;      # since the crash
  segments @5 :List(UInt64);
}

# The last time that a request with this segment was answered completely.
struct CompletedSegment {
  segment @0 :UInt64;
  ageMs @1 :UInt32;
}

# Requests with this segment are refused.
struct QuarantinedSegment {
  segment @0 :UInt64;
  trials @1 :UInt8;            # number of trials so far
  ageMs @2 :UInt32;
  remainingMs @3 :UInt32;     # until the next trial
}

# What the sender read from the shared store of the servers' list.
struct ServersStatement {
  from @0 :UInt64;            # all changes from this offset on are named
  to @1 :UInt64;              # up to this offset, which isn't covered
  ageMs @2 :UInt32;           # of the sender's knowledge
  changes @3 :List(ServerChange);
}

struct ServerChange {
  offset @0 :UInt64;
  id @1 :Text;
  removed @2 :Bool;           # the fields below are empty
  service @3 :Text;
  address @4 :Text;
  dataCentre @5 :Text;
  slots @6 :UInt32;
  draining @7 :Bool;
  role @8 :UInt8;             # 0: no engine; otherwise one more than the place in engine_role
  started @9 :Int64;          # milliseconds of its own wall clock
  reclaimable @10 :Bool;      # its data centre may take it back at short notice
}

struct CachedPart {
  engine @0 :UInt64;          # hash of the engine's name
  part @1 :UInt64;
}

struct EngineLoad {
  engine @0 :UInt64;          # hash of the engine's name
  readMs @1 :UInt32;          # prompts sent and not read yet, in milliseconds of the engine's time
  running @2 :UInt32;         # requests sent and not ended
  tokens @3 :UInt64;          # of these requests
}

struct EngineSpeed {
  service @0 :Text;
  logFactor @1 :Float64;      # natural logarithm of the speed relative to the nominal cost model
  weight @2 :Float64;         # number of samples, bounded
}
