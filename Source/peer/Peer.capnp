# Calls between the entry instances of one deployment.
#
# Every text that names something (instance, failure domain, region, service, target, section) is
# the id used in the document. Versions only grow; 0 means none. Durations are measured on the
# clock of whoever uses them, never compared between instances.

@0xb7d1c2e5a90f4e63;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Tarragon::PeerRpc");

enum InstanceState {
  # The instance has no configuration yet.
  starting @0;
  serving @1;
  # Takes no new work. Final for an incarnation.
  leaving @2;
  finished @3;
}

enum Verdict {
  notRun @0;
  mayHaveRun @1;
  ran @2;
}

struct InstanceRef {
  # An instance and the run of its process.
  instance @0 :Text;
  incarnation @1 :UInt64;
}

struct ServiceLoad {
  service @0 :Text;
  requestsInProgress @1 :UInt32;
  requestsQueued @2 :UInt32;
  # Requests a second over the last few seconds, in thousandths.
  milliRequestsPerSecond @3 :UInt32;
  slotsInUse @4 :UInt32;
  slotsTotal @5 :UInt32;
}

struct RegionWeight {
  region @0 :Text;
  partsPerMillion @1 :UInt32;
}

struct AppliedWeights {
  # Weights over the serving regions that the sender applies to callers of one region.
  service @0 :Text;
  callerRegion @1 :Text;
  weights @2 :List(RegionWeight);
}

struct Heartbeat {
  sender @0 :InstanceRef;
  failureDomain @1 :Text;
  state @2 :InstanceState;
  # Configuration in force.
  generation @3 :UInt64;
  # Plan in force.
  planVersion @4 :UInt64;
  # Whether the sender watches the store for its failure domain, and its watch is answered.
  storeReachable @5 :Bool;
  load @6 :List(ServiceLoad);
  # Number of the sender's applied weights; every change raises it.
  weightsVersion @7 :UInt64;
  # Left out if the receiver has acknowledged weightsVersion on this connection.
  weights @8 :List(AppliedWeights);
  # weightsVersion of the receiver that the sender has; 0 asks for the weights.
  weightsVersionSeen @9 :UInt64;
  # Acknowledged steps of the plan, which a planner needs before the next step.
  planVersionApplied @10 :UInt64;
  # Null between failure domains.
  shareReport @11 :ShareReport;
}

struct Status {
  sender @0 :InstanceRef;
  failureDomain @1 :Text;
  state @2 :InstanceState;
  generation @3 :UInt64;
  planVersion @4 :UInt64;
  # JSON for operators; not evaluated by other instances.
  detail @5 :Text;
}

struct ShareReport {
  # Which document the sender's use of slots fits; see SlotLedger. Only within a failure domain.
  sender @0 :InstanceRef;
  sequence @1 :UInt64;
  adopted @2 :UInt64;
  settled @3 :UInt64;
  closed @4 :UInt64;
  echoedIncarnation @5 :UInt64;
  echoedSequence @6 :UInt64;
}

struct GrantRequest {
  # From a borrower of slots to a neighbour.
  sender @0 :InstanceRef;
  receiver @1 :InstanceRef;
  sequence @2 :UInt64;
  # One new slot is wanted for each target named.
  wanted @3 :List(Text);
  renewals @4 :List(UInt64);
  returns @5 :List(UInt64);
}

struct SlotGrant {
  id @0 :UInt64;
  target @1 :Text;
}

struct GrantResponse {
  sender @0 :InstanceRef;
  receiver @1 :InstanceRef;
  sequence @2 :UInt64;
  # The borrower measures it from before it sent the request, the lender from its answer.
  durationMicroseconds @3 :Int64;
  granted @4 :List(SlotGrant);
  renewed @5 :List(UInt64);
}

struct ClaimKey {
  runner @0 :InstanceRef;
  sequence @1 :UInt64;
}

struct HeaderField {
  name @0 :Text;
  value @1 :Text;
}

struct FinishedResponse {
  status @0 :Int32;
  headers @1 :List(HeaderField);
  body @2 :Data;
}

struct RegistryMessage {
  # A message between the records of non-idempotent requests; see AtMostOnceRegistry. Enumerations
  # are numbered as in RegistryMessages.h.
  union {
    claim :group {
      requestId @0 :Text;
      key @1 :ClaimKey;
      attempt @2 :Int32;
      settle @3 :Bool;
    }
    claimAnswer :group {
      requestId @4 :Text;
      key @5 :ClaimKey;
      outcome @6 :UInt8;
      fromBackup @7 :Bool;
      holder @8 :ClaimKey;
      verdict @9 :Verdict;
      # Null if there is none.
      response @10 :FinishedResponse;
    }
    outcome :group {
      requestId @11 :Text;
      key @12 :ClaimKey;
      verdict @13 :Verdict;
      response @14 :FinishedResponse;
    }
    confirm :group {
      requestId @15 :Text;
      key @16 :ClaimKey;
      attempt @17 :Int32;
      sequence @18 :UInt64;
      oldestServed @19 :UInt64;
    }
    confirmAnswer :group {
      requestId @20 :Text;
      sequence @21 :UInt64;
      outcome @22 :UInt8;
    }
    outcomeCopy :group {
      requestId @23 :Text;
      sequence @24 :UInt64;
      verdict @25 :Verdict;
      response @26 :FinishedResponse;
    }
    registration :group {
      primary @27 :InstanceRef;
      backup @28 :InstanceRef;
      from @29 :UInt64;
      current @30 :UInt64;
      oldestServed @31 :UInt64;
    }
    registrationAnswer :group {
      primary @32 :InstanceRef;
      backup @33 :InstanceRef;
      from @34 :UInt64;
      accepted @35 :Bool;
    }
  }
}

interface Peer {
  # Sends the caller's state and returns the receiver's. A version above the receiver's own makes
  # it fetch what it misses.
  heartbeat @0 (mine :Heartbeat) -> (theirs :Heartbeat);

  # Head in JSON if its generation is above newerThan; otherwise empty.
  fetchHead @1 (newerThan :UInt64) -> (generation :UInt64, head :Text);

  # Text of a section by its SHA-256 digest.
  fetchSection @2 (name :Text, digest :Text) -> (found :Bool, text :Text);

  # Plan in JSON if its version is above newerThan; otherwise empty.
  fetchPlan @3 (newerThan :UInt64) -> (planVersion :UInt64, plan :Text);

  # Tells that the sender has these versions in force. The receiver fetches what it misses, and
  # passes it on within its failure domain if relay is set.
  offer @4 (sender :InstanceRef, generation :UInt64, planVersion :UInt64, relay :Bool) -> ();

  # Borrows, renews and returns slots of targets of the same failure domain.
  exchangeSlots @5 (request :GrantRequest) -> (response :GrantResponse);

  # Hands over messages of the at-most-once records; answers come as messages of their own.
  deliver @6 (messages :List(RegistryMessage)) -> ();

  status @7 () -> (status :Status);
}
