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
  borrower @0 :InstanceRef;
  service @1 :Text;
  target @2 :Text;
  count @3 :UInt32;
  # Grant to renew, or 0 for a new one.
  renewGrant @4 :UInt64;
}

struct SlotGrant {
  # Number of the grant; 0 if nothing was granted.
  grant @0 :UInt64;
  lender @1 :InstanceRef;
  count @2 :UInt32;
  # The borrower measures it from before it sent the request, the lender from its answer.
  durationMs @3 :UInt32;
}

struct SlotReturn {
  borrower @0 :InstanceRef;
  service @1 :Text;
  target @2 :Text;
  grant @3 :UInt64;
  count @4 :UInt32;
}

struct StoredResponse {
  # First response of a request that has run.
  status @0 :UInt16;
  # Header fields as they were sent, each "name: value" on a line of its own.
  headers @1 :Text;
  body @2 :Data;
  # Whether the body was too long to keep; then only the verdict is known.
  bodyDropped @3 :Bool;
}

struct ClaimRequest {
  # Whole request id: the lookup's seed and the caller's own part.
  requestId @0 :Text;
  service @1 :Text;
  claimant @2 :InstanceRef;
  # Whether the caller says that this is its first attempt.
  firstAttempt @3 :Bool;
}

enum ClaimDecision {
  # The claimant may start the request within validMs.
  start @0;
  # The id is settled; verdict and response say how.
  settled @1;
  # The id is being run by another claimant.
  inProgress @2;
  # The id's incarnation or seed generation is no longer served.
  rejected @3;
  # The backup did not confirm in time; nothing was started.
  unconfirmed @4;
}

struct ClaimResult {
  decision @0 :ClaimDecision;
  verdict @1 :Verdict;
  # Names the permission in recordOutcome.
  claim @2 :UInt64;
  # Measured by the claimant from before it sent the claim.
  validMs @3 :UInt32;
  response @4 :StoredResponse;
}

struct ConfirmRequest {
  # From the primary to the backup of the id.
  requestId @0 :Text;
  primary @1 :InstanceRef;
  claimant @2 :InstanceRef;
  claim @3 :UInt64;
}

struct ConfirmResult {
  confirmed @0 :Bool;
  # Verdict if the id was settled without the primary.
  verdict @1 :Verdict;
  # Measured by the primary from before it asked.
  validMs @2 :UInt32;
}

struct SettleRequest {
  # To the backup, when the primary of the id cannot be reached.
  requestId @0 :Text;
  asker @1 :InstanceRef;
  firstAttempt @2 :Bool;
}

struct SettleResult {
  verdict @0 :Verdict;
  # Whether the backup has taken the id over and its answer is final.
  final @1 :Bool;
  response @2 :StoredResponse;
}

struct OutcomeRecord {
  requestId @0 :Text;
  claim @1 :UInt64;
  recorder @2 :InstanceRef;
  verdict @3 :Verdict;
  response @4 :StoredResponse;
}

struct RecordLookup {
  known @0 :Bool;
  # Whether the request has ended.
  settled @1 :Bool;
  verdict @2 :Verdict;
  response @3 :StoredResponse;
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

  # Borrows idle slots of a target from an entry of the same failure domain.
  requestSlots @5 (request :SlotRequest) -> (grant :SlotGrant);
  returnSlots @6 (returned :SlotReturn) -> ();

  # At most once: see "At most once" in docs/design.md.
  claim @7 (request :ClaimRequest) -> (result :ClaimResult);
  confirm @8 (request :ConfirmRequest) -> (result :ConfirmResult);
  settle @9 (request :SettleRequest) -> (result :SettleResult);
  recordOutcome @10 (record :OutcomeRecord) -> (recorded :Bool);
  lookupRecord @11 (requestId :Text) -> (record :RecordLookup);

  status @12 () -> (status :Status);
}
