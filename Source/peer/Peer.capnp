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
  # Null outside the failure domain.
  shares @11 :ShareReport;
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

struct SlotRequest {
  # GrantRequest of the slot ledger.
  sender @0 :InstanceRef;
  receiver @1 :InstanceRef;
  sequence @2 :UInt64;
  # One new slot is wanted for each element.
  wanted @3 :List(Text);
  renewals @4 :List(UInt64);
  returns @5 :List(UInt64);
}

struct SlotGrant {
  grant @0 :UInt64;
  target @1 :Text;
}

struct SlotResponse {
  # GrantResponse of the slot ledger.
  sender @0 :InstanceRef;
  receiver @1 :InstanceRef;
  sequence @2 :UInt64;
  # The borrower measures it from before it sent the request.
  durationUs @3 :UInt64;
  granted @4 :List(SlotGrant);
  renewed @5 :List(UInt64);
}

struct ShareReport {
  sequence @0 :UInt64;
  adopted @1 :UInt64;
  settled @2 :UInt64;
  closed @3 :UInt64;
  echoedIncarnation @4 :UInt64;
  echoedSequence @5 :UInt64;
}

struct HeaderField {
  name @0 :Text;
  value @1 :Text;
}

struct FinishedResponse {
  status @0 :UInt16;
  headers @1 :List(HeaderField);
  body @2 :Data;
}

struct ClaimKey {
  runner @0 :InstanceRef;
  sequence @1 :UInt64;
}

struct ClaimRequest {
  id @0 :Text;
  claim @1 :ClaimKey;
  attempt @2 :UInt32;
}

enum ClaimOutcome {
  permitted @0;
  inProgress @1;
  confirmed @2;
  finished @3;
  again @4;
  askBackup @5;
  stale @6;
  superseded @7;
  full @8;
  noBackup @9;
}

struct ClaimAnswer {
  id @0 :Text;
  claim @1 :ClaimKey;
  outcome @2 :ClaimOutcome;
  fromBackup @3 :Bool;
  holder @4 :ClaimKey;
  verdict @5 :Verdict;
  # Null if none was kept.
  response @6 :FinishedResponse;
}

struct OutcomeReport {
  id @0 :Text;
  claim @1 :ClaimKey;
  verdict @2 :Verdict;
  response @3 :FinishedResponse;
}

struct ConfirmRequest {
  id @0 :Text;
  claim @1 :ClaimKey;
  attempt @2 :UInt32;
  sequence @3 :UInt64;
  oldestServed @4 :UInt64;
}

enum ConfirmOutcome {
  confirmed @0;
  takenOver @1;
  superseded @2;
  full @3;
  stale @4;
}

struct ConfirmAnswer {
  id @0 :Text;
  sequence @1 :UInt64;
  outcome @2 :ConfirmOutcome;
}

struct OutcomeCopy {
  id @0 :Text;
  sequence @1 :UInt64;
  verdict @2 :Verdict;
  response @3 :FinishedResponse;
}

struct BackupRegistration {
  primary @0 :InstanceRef;
  backup @1 :InstanceRef;
  from @2 :UInt64;
  current @3 :UInt64;
  oldestServed @4 :UInt64;
}

struct RegistrationAnswer {
  backup @0 :InstanceRef;
  primary @1 :InstanceRef;
  from @2 :UInt64;
  accepted @3 :Bool;
}

struct RegistryMessage {
  # A message of the at-most-once registry, as in Source/steering/RegistryMessages.h. Answers are
  # messages of their own, because some come long after the message that they answer.
  union {
    claim @0 :ClaimRequest;
    settle @1 :ClaimRequest;
    claimAnswer @2 :ClaimAnswer;
    recordOutcome @3 :OutcomeReport;
    confirm @4 :ConfirmRequest;
    confirmAnswer @5 :ConfirmAnswer;
    outcomeCopy @6 :OutcomeCopy;
    registration @7 :BackupRegistration;
    registrationAnswer @8 :RegistrationAnswer;
  }
}

struct RosterItem {
  # What an entry knows of the life of another, or of itself.
  instance @0 :Text;
  incarnation @1 :UInt64;
  # Raised by the instance itself in every round.
  beat @2 :UInt64;
  # Whether the instance takes callers.
  serving @3 :Bool;
}

struct KindPosition {
  # How far the sender knows the objects of a kind of the platform's store.
  kind @0 :Text;
  revision @1 :UInt64;
  # Objects that a list of exactly this revision had. Null if changes have come since.
  list @2 :ListedObjects;
}

struct ListedObjects {
  count @0 :UInt64;
}

struct StoredChange {
  name @0 :Text;
  revision @1 :UInt64;
  removed @2 :Bool;
  # JSON; empty of a removed object.
  spec @3 :Text;
}

enum NewsCoverage {
  # All changes behind the sender's revision are there.
  complete @0;
  # The receiver does not know them all, or they are too long: the sender reads the store.
  readStore @1;
  # The first of the changes behind the sender's revision; the others follow.
  partial @2;
}

struct KindNews {
  kind @0 :Text;
  coverage @1 :NewsCoverage;
  # Up to which the changes go.
  revision @2 :UInt64;
  changes @3 :List(StoredChange);
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

  # Tells that the sender has these versions in force. The receiver fetches what it misses and
  # then offers it within its failure domain.
  offer @4 (sender :InstanceRef, generation :UInt64, planVersion :UInt64) -> ();

  # Borrows idle slots of targets from an entry of the same failure domain, and returns them.
  requestSlots @5 (request :SlotRequest) -> (response :SlotResponse);

  # Carries messages of the at-most-once registry. The answer says only that they have arrived.
  registry @6 (messages :List(RegistryMessage)) -> ();

  status @7 () -> (status :Status);

  # Exchanges what both know of the life of all entries.
  gossip @8 (mine :List(RosterItem)) -> (theirs :List(RosterItem));

  # Asks an entry that watches the store for what has changed. It is not watching if its own calls
  # to the store fail. Times since the store's return count from the end of its last outage.
  relay @9 (positions :List(KindPosition))
      -> (watching :Bool, sinceStoreReturnMs :UInt64, news :List(KindNews));
}
