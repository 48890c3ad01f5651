@0xb3f1c5d2a4e60711;
# Records that figlug writes to the log, and the log service's reply to a read.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("figlug::wire::schema");

struct Endpoint {
  host @0 :Text;
  port @1 :UInt16;
}

struct MemberInfo {
  id @0 :UInt64;
  service @1 :Text;
  profile @2 :Text;
  target @3 :Text;
  region @4 :Text;
  domain @5 :Text;
  peer @6 :Endpoint;
  http @7 :Endpoint;
  targetBornMs @8 :Int64;
  slots @9 :UInt32;
  sliceCount @10 :UInt32 = 1024;
  logLeaseUs @11 :Int64;
}

struct Profile {
  name @0 :Text;
  homeRegions @1 :List(Text);
  keyed @2 :Bool;
  repeatable @3 :Bool;
  maxAttempts @4 :UInt32;
  retryPercent @5 :UInt32;
  hedgePercent @6 :UInt32;
  deadlineUs @7 :Int64;
  queueWaitUs @8 :Int64;
  queueLength @9 :UInt32;
  warmUpUs @10 :Int64;
  coldLimit @11 :UInt32;
  maxLimit @12 :UInt32;
  takeoverWaitUs @13 :Int64;
  isPublic @14 :Bool;
}

struct Tenant {
  name @0 :Text;
  credentials @1 :List(Text);
  hasPriority @2 :Bool;
  priority @3 :UInt32;
  rate @4 :Float64;
  burst @5 :Float64;
  homeRegions @6 :List(Text);
}

struct VersionedTenant {
  tenant @0 :Tenant;
  version @1 :UInt64;
}

struct Member {
  info @0 :MemberInfo;
  generation @1 :UInt32;
  watchers @2 :List(UInt64);
  votes @3 :List(UInt64);
  weight @4 :UInt32;
  draining @5 :Bool;
  hasSubstitute @6 :Bool;
  suspectedAt @7 :UInt64;
}

struct PriorHolder {
  member @0 :UInt64;
  takenAt @1 :UInt64;
}

struct Slice {
  owner @0 :UInt64;
  epoch @1 :UInt64;
  lostAt @2 :UInt64;
  priors @3 :List(PriorHolder);
  # Number of identical consecutive slices that this entry stands for.
  count @4 :UInt32 = 1;
}

struct Service {
  name @0 :Text;
  profile @1 :Text;
  slices @2 :List(Slice);
}

struct VersionedProfile {
  profile @0 :Profile;
  version @1 :UInt64;
}

struct Exclusion {
  kind @0 :UInt8;
  name @1 :Text;
}

struct ControlState {
  next @0 :UInt64;
  members @1 :List(Member);
  services @2 :List(Service);
  profiles @3 :List(VersionedProfile);
  exclusions @4 :List(Exclusion);
  exclusionsVersion @5 :UInt64;
  recentAppends @6 :List(UInt64);
  goneWatchers @7 :List(UInt64);
  era @8 :UInt32;
  isEraUnsettled @9 :Bool;
  departedTargets @10 :List(DepartedTarget);
  tenants @11 :List(VersionedTenant);
}

struct DepartedTarget {
  id @0 :Text;
  startMs @1 :Int64;
}

struct Record {
  appendId @0 :UInt64;
  union {
    join :group {
      info @1 :MemberInfo;
      watchers @2 :List(UInt64);
    }
    watchers :group {
      member @3 :UInt64;
      generation @4 :UInt32;
      watchers @5 :List(UInt64);
    }
    vote :group {
      voter @6 :UInt64;
      subject @7 :UInt64;
      generation @8 :UInt32;
      isSubstitute @25 :Bool;
    }
    weight :group {
      member @9 :UInt64;
      weight @10 :UInt32;
    }
    drain @11 :UInt64;
    leave @12 :UInt64;
    release :group {
      member @13 :UInt64;
      folded @14 :UInt64;
      slices @15 :List(UInt32);
    }
    profile :group {
      profile @16 :Profile;
      expectedVersion @17 :UInt64;
    }
    exclusion :group {
      kind @18 :UInt8;
      name @19 :Text;
      out @20 :Bool;
      expectedVersion @21 :UInt64;
    }
    forceDown @22 :UInt64;
    checkpoint :group {
      next @23 :UInt64;
      state @24 :ControlState;
    }
    move :group {
      from @26 :UInt64;
      to @27 :UInt64;
      folded @28 :UInt64;
      slices @29 :List(UInt32);
    }
    era @30 :UInt32;
    eraSettled @31 :UInt32;
    departure @32 :UInt64;
    tenant :group {
      tenant @33 :Tenant;
      isRemoved @34 :Bool;
      expectedVersion @35 :UInt64;
    }
    suspicion @36 :UInt64;
    refutation :group {
      member @37 :UInt64;
      suspectedAt @38 :UInt64;
    }
    removal :group {
      member @39 :UInt64;
      suspectedAt @40 :UInt64;
    }
  }
}

struct RawEntry {
  offset @0 :UInt64;
  data @1 :Data;
}

struct ReadReply {
  # Reply of the log service to a read.
  firstOffset @0 :UInt64;
  nextOffset @1 :UInt64;
  entries @2 :List(RawEntry);
  # Number of times that the log has been restored from a copy.
  era @3 :UInt32;
}
