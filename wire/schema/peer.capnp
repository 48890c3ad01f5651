@0xd9a7e1c0b5f24836;
# Messages between figlug processes.

using Cxx = import "/capnp/c++.capnp";
using Log = import "log.capnp";
$Cxx.namespace("figlug::wire::schema");

struct Datagram {
  union {
    heartbeat :group {
      member @0 :UInt64;
      generation @1 :UInt32;
      proposed @2 :UInt32;
      sentAtUs @3 :Int64;
      next @4 :UInt64;
      operatorsNext @12 :UInt64;
      configuration @16 :UInt64;
    }
    ack :group {
      watcher @5 :UInt64;
      member @6 :UInt64;
      generation @7 :UInt32;
      proposed @8 :UInt32;
      sentAtUs @9 :Int64;
      next @10 :UInt64;
      isPledge @11 :Bool;
      operatorsNext @13 :UInt64;
      configuration @17 :UInt64;
      configurationAgeUs @19 :Int64 = -1;
      # Rounded up; 0 where it is not known.
      logAgeMs @39 :UInt32;
    }
    readReport :group {
      reader @14 :UInt64;
      operatorsNext @15 :UInt64;
      configuration @18 :UInt64;
    }
    tokenRequest :group {
      member @20 :UInt64;
      tenant @21 :UInt64;
      wanted @22 :UInt32;
      waiting @23 :UInt32;
      sentAtUs @24 :Int64;
      # IPv4 address and port; 0 for none.
      replyAddress @37 :UInt32;
      replyPort @38 :UInt16;
    }
    tokenGrant :group {
      tenant @25 :UInt64;
      granted @26 :UInt32;
      sentAtUs @27 :Int64;
      retryAfterUs @28 :Int64;
      isSettled @29 :Bool;
    }
    ledgerQuery :group {
      from @30 :UInt64;
      to @31 :UInt64;
      group @32 :UInt32;
      position @33 :UInt64;
    }
    ledgerRelease :group {
      from @34 :UInt64;
      group @35 :UInt32;
      position @36 :UInt64;
    }
    livenessProbe :group {
      from @40 :UInt64;
      to @41 :UInt64;
    }
    livenessReply @42 :UInt64;
  }
}

struct RequestId {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct AttemptHead {
  service @0 :Text;
  slice @1 :UInt32;
  requestId @2 :RequestId;
  hasCallerId @3 :Bool;
  timeLeftUs @4 :Int64;
  priority @5 :UInt32;
  patienceUs @6 :Int64;
  targetLatencyUs @7 :Int64;
  targetLatencyLeftUs @8 :Int64;
}

struct GateLoad {
  running @0 :UInt32;
  queued @1 :UInt32;
  slots @2 :UInt32;
  serviceUs @3 :Int64;
  ownServiceUs @4 :Int64;
  linkWaitUs @5 :Int64;
}

struct ReleasedSlice {
  slice @0 :UInt32;
  lostAt @1 :UInt64;
  unknownBeforeMs @2 :Int64;
  ids @3 :List(RequestId);
  handover @4 :Text;
  wasExclusive @5 :Bool;
}

struct Frame {
  # Header of a frame on a peer connection; a body may follow it.
  union {
    attempt :group {
      attempt @0 :UInt64;
      head @1 :AttemptHead;
      method @2 :Text;
      path @3 :Text;
      headers @4 :List(Header);
    }
    reply :group {
      attempt @5 :UInt64;
      outcome @6 :UInt8;
      reason @7 :UInt8;
      status @8 :UInt16;
      headers @9 :List(Header);
      load @19 :GateLoad;
    }
    cancel @10 :UInt64;
    releaseQuery :group {
      from @11 :UInt64;
      slices @12 :List(UInt32);
    }
    release :group {
      from @13 :UInt64;
      folded @14 :UInt64;
      slices @15 :List(ReleasedSlice);
    }
    recordsQuery :group {
      from @16 :UInt64;
      next @17 :UInt64;
    }
    records :group {
      entries @18 :List(Log.RawEntry);
      era @26 :UInt32;
    }
    operatorNewsQuery @20 :UInt64;
    operatorNews :group {
      next @21 :UInt64;
      configuration @22 :Data;
      domainsOut @23 :List(Text);
      version @27 :UInt64;
    }
    # Ask whether the connection still carries data, and the answer.
    probe @24 :Void;
    probeReply @25 :Void;
    # A part of a large frame, prefix included; the bytes are the body. The parts
    # of a transfer arrive in order, those of different ones in turns.
    fragment :group {
      transfer @28 :UInt64;
      isLast @29 :Bool;
    }
    # The receiver has the oldest fragment not yet acknowledged.
    fragmentAck @30 :Void;
    # The rest of a transfer will not be sent.
    fragmentAbort @31 :UInt64;
  }
}
