# Messages between currantspar nodes. The generated code is committed beside the sources that use it; to make
# it anew: capnp compile -oc++:src/currantspar/io --src-prefix=schema schema/peer.capnp
@0xb3f1c2a97d5e4a61;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("currantspar::io::wire");

# What every probe and its answer carry about their sender.
struct Summary {
  dataCentre @0 :Text;
  revision @1 :UInt64;
  applied @2 :UInt64;
  stateHash @3 :UInt64;
  hashedAt @4 :UInt64;
  stopping @5 :Bool;
  version @6 :Text;
}

struct Probe {
  sequence @0 :UInt64;
  target @1 :Text;
  sender @2 :Summary;
}

struct ProbeAnswer {
  sequence @0 :UInt64;
  target @1 :Text;
  alive @2 :Bool;
  sender @3 :Summary;
}

struct Pool {
  service @0 :Text;
  dataCentre @1 :Text;
}

struct RoutingView {
  pool @0 :Pool;
  fence @1 :UInt64;
  version @2 :UInt64;
  validForUs @3 :Int64;
  closed @4 :List(Text);
}

struct RoutingViewAck {
  pool @0 :Pool;
  fence @1 :UInt64;
  version @2 :UInt64;
}

struct Load {
  model @0 :Text;
  adapter @1 :Text;
  version @2 :Text;
}

struct Report {
  engine @0 :Text;
  takenAtUs @1 :Int64;
  condition @2 :UInt8;
  role @3 :UInt8;
  load @4 :Load;
  running @5 :UInt32;
  queued @6 :UInt32;
  prefillTokensLeft @7 :UInt64;
  piecesUsed @8 :UInt32;
  piecesTotal @9 :UInt32;
  prefillTokensTotal @10 :UInt64;
  decodeTokensTotal @11 :UInt64;
  ageUs @12 :Int64;
}

struct SentWork {
  engine @0 :Text;
  running @1 :UInt32;
  prefillTokens @2 :UInt64;
  pieces @3 :UInt32;
  prefilling @4 :UInt32;
}

struct Usage {
  organisation @0 :Text;
  requestsPerSecond @1 :Float64;
  concurrent @2 :UInt32;
}

struct Demand {
  service @0 :Text;
  requestsPerSecond @1 :Float64;
  prefillTokensPerSecond @2 :Float64;
  decodeTokensPerSecond @3 :Float64;
}

struct CacheEvents {
  engine @0 :Text;
  firstSequence @1 :UInt64;
  pieces @2 :List(UInt64);
  cached @3 :List(Bool);
}

struct Digest {
  reports @0 :List(Report);
  node @1 :Text;
  engines @2 :List(SentWork);
  organisations @3 :List(Usage);
  cacheEvents @4 :List(CacheEvents);
  services @5 :List(Demand);
  partial @6 :Bool;
}

# Records as they stand in the log.
struct Records {
  records @0 :List(Data);
}

struct Message {
  from @0 :Text;
  process @1 :UInt64;
  counter @2 :UInt64;
  union {
    probe @3 :Probe;
    probeAnswer @4 :ProbeAnswer;
    routingView @5 :RoutingView;
    routingViewAck @6 :RoutingViewAck;
    digest @7 :Digest;
    checkpointRequest @8 :Void;
    checkpointAnswer @9 :Records;
    keyRelay @10 :Records;
  }
}

interface Peer {
  # Returns when the receiver has taken the message.
  deliver @0 (message :Message) -> ();
}
