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
