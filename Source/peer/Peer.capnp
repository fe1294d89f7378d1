# Calls between the entry instances of one deployment.
#
# Every text that names something (instance, failure domain, region, service, target, section) is
# the id used in the document. Versions only increase; 0 means none. Durations are measured on the
# local clock of the instance that uses them and never compared between instances.

@0xb7d1c2e5a90f4e63;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Tarragon::PeerRpc");

enum InstanceState {
  # The instance has no configuration yet.
  starting @0;
  serving @1;
  # The instance accepts no new requests. Final for an incarnation.
  leaving @2;
  finished @3;
}

enum Verdict {
  notRun @0;
  mayHaveRun @1;
  ran @2;
}

struct InstanceRef {
  # An instance and the incarnation of its process.
  instance @0 :Text;
  incarnation @1 :UInt64;
}

struct ServiceLoad {
  service @0 :Text;
  requestsInProgress @1 :UInt32;
  requestsQueued @2 :UInt32;
  # Request rate over the last few seconds, in thousandths of a request per second.
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
  # Generation of the configuration in force.
  generation @3 :UInt64;
  # Version of the plan in force.
  planVersion @4 :UInt64;
  # Whether the sender's last call to the store succeeded.
  storeReachable @5 :Bool;
  load @6 :List(ServiceLoad);
  # Version of the weights that the sender applies; increased by every change.
  weightsVersion @7 :UInt64;
  # Left out if the receiver has acknowledged weightsVersion on this connection.
  weights @8 :List(AppliedWeights);
  # weightsVersion of the receiver's weights that the sender has received; 0 requests the weights.
  weightsVersionSeen @9 :UInt64;
  # Version of the plan whose steps the sender has applied. A planner waits for this
  # acknowledgement before the next step.
  planVersionApplied @10 :UInt64;
  # Null in heartbeats to entries of other failure domains.
  shares @11 :ShareReport;
}

struct Status {
  sender @0 :InstanceRef;
  failureDomain @1 :Text;
  state @2 :InstanceState;
  generation @3 :UInt64;
  planVersion @4 :UInt64;
  # JSON for operators; other instances do not evaluate it.
  detail @5 :Text;
}

struct SlotRequest {
  # GrantRequest of the slot ledger.
  sender @0 :InstanceRef;
  receiver @1 :InstanceRef;
  sequence @2 :UInt64;
  # Targets of which the sender requests a slot, one element per slot.
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
  # Duration of the grants. The borrower measures it from a time before it sent the request.
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
  # Null if no response is stored.
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
  # A message of the at-most-once registry, as in Source/steering/RegistryMessages.h. Replies are
  # separate messages, because some are sent long after the message that they reply to.
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
  # Membership state of an entry as known to the sender, which may be that entry itself.
  instance @0 :Text;
  incarnation @1 :UInt64;
  # Heartbeat counter, incremented by the instance itself in every gossip round.
  beat @2 :UInt64;
  # Whether the instance accepts requests of callers.
  serving @3 :Bool;
  # Time since the instance incremented the counter, as far as it was spent at instances.
  ageMs @4 :UInt64;
}

struct KindPosition {
  # Revision up to which the sender has the objects of a kind of the platform's store.
  kind @0 :Text;
  revision @1 :UInt64;
  # Number of objects in the list call that returned exactly this revision. Null if the sender has
  # applied changes since that list.
  list @2 :ListedObjects;
  # Era of the revision.
  era @3 :UInt64;
}

struct ListedObjects {
  count @0 :UInt64;
}

struct StoredChange {
  name @0 :Text;
  revision @1 :UInt64;
  removed @2 :Bool;
  # JSON; empty for a removed object.
  spec @3 :Text;
}

enum NewsCoverage {
  # The reply contains all changes after the sender's revision.
  complete @0;
  # The receiver does not have all changes after the sender's revision, or they are too long for a
  # message. The sender of the call reads the store instead.
  readStore @1;
  # The reply contains the first changes after the sender's revision; the next calls return the
  # others.
  partial @2;
}

struct KindNews {
  kind @0 :Text;
  coverage @1 :NewsCoverage;
  # Revision up to which the reply contains the changes.
  revision @2 :UInt64;
  changes @3 :List(StoredChange);
  # Time since the sender's objects were last known to be complete.
  ageMs @4 :UInt64;
  # Era of the store that the sender knows. The revisions of the changes are of this era.
  era @5 :UInt64;
}

struct TargetLimit {
  # What an entry knows about the limit that a target has stated for the requests of all entries.
  # Counts the changes of the limit; the higher version wins.
  version @0 :UInt64;
  # False if the target states no limit any more.
  limited @1 :Bool;
  perSecond @2 :Float64;
}

struct TargetLimitItem {
  target @0 :Text;
  limit @1 :TargetLimit;
}

struct SuspectItem {
  # What an entry knows about a request that was at targets when these ended.
  fingerprint @0 :UInt64;
  # Counts how often the request was cleared; the higher number wins.
  clearances @1 :UInt64;
  # Hashes of the targets' processes that ended; lists with the same number of clearances add up.
  endings @2 :List(UInt64);
  # Trials permitted after the third ending; the higher number wins.
  lateTrials @3 :UInt32;
}

struct UsageRequest {
  # Asks for tokens of one workspace, each of which permits one request to run.
  workspace @0 :Text;
  # The workspace's cap in the sender's route table, and the version of that table.
  perSecond @1 :Float64;
  burst @2 :Float64;
  version @3 :UInt64;
  # Tokens for requests that are waiting, and for those that are expected.
  needed @4 :UInt32;
  expected @5 :UInt32;
  # Unused tokens of earlier replies.
  returned @6 :UInt32;
}

struct UsageReply {
  workspace @0 :Text;
  # False if the receiver does not issue the workspace's tokens by its own view.
  issuer @1 :Bool;
  granted @2 :UInt32;
  # Time after which callers without a token may send again.
  retryAfterMs @3 :UInt32;
  # Time after which the sender may ask again; 0 if it got all tokens that it needed.
  askAgainAfterMs @4 :UInt32;
  # Recently granted tokens as a fraction of the cap.
  utilization @5 :Float64;
}

interface Peer {
  # Sends the caller's state and returns the receiver's. An instance that receives a higher version
  # than its own fetches that version.
  heartbeat @0 (mine :Heartbeat) -> (theirs :Heartbeat);

  # Returns the head in JSON if its generation is above newerThan; otherwise an empty text.
  fetchHead @1 (newerThan :UInt64) -> (generation :UInt64, head :Text);

  # Returns the text of a section if the receiver has it with this SHA-256 digest.
  fetchSection @2 (name :Text, digest :Text) -> (found :Bool, text :Text);

  # Returns the plan in JSON if its version is above newerThan; otherwise an empty text.
  fetchPlan @3 (newerThan :UInt64) -> (planVersion :UInt64, plan :Text);

  # Announces the versions that the sender has in force. The receiver fetches versions higher than
  # its own and then offers them within its failure domain.
  offer @4 (sender :InstanceRef, generation :UInt64, planVersion :UInt64) -> ();

  # Borrows idle slots of targets from an entry of the same failure domain; renews and returns them.
  requestSlots @5 (request :SlotRequest) -> (response :SlotResponse);

  # Delivers messages of the at-most-once registry. The reply confirms only their receipt.
  registry @6 (messages :List(RegistryMessage)) -> ();

  status @7 () -> (status :Status);

  # Exchanges the membership states of all entries that the caller and the receiver know, the limits
  # of targets that have changed lately, and what is known about requests under suspicion: changes
  # of late, and all that lasts if the digests of the caller and the receiver differ.
  gossip @8 (mine :List(RosterItem), limits :List(TargetLimitItem), suspects :List(SuspectItem),
             suspectDigest :UInt64)
      -> (theirs :List(RosterItem), limits :List(TargetLimitItem), suspects :List(SuspectItem));

  # Requests the changes after the given revisions from an entry that watches the store. watching
  # is false if the receiver's own calls to the store fail. sinceStoreReturnMs is the time since the
  # end of the store's last outage; the largest value if there was none.
  relay @9 (positions :List(KindPosition))
      -> (watching :Bool, sinceStoreReturnMs :UInt64, news :List(KindNews));

  # Requests a permit for one request to a limited or cold target, from the entry that issues the
  # permits of all entries. limit is what the caller and the receiver know, coldPerSecond the rate
  # that the target tolerates while it is cold, 0 if it is warm. If no permit is granted, one may be
  # available after retryAfterMs.
  requestPermit @10 (target :Text, failureDomain :Text, limit :TargetLimit, coldPerSecond :Float64)
      -> (granted :Bool, retryAfterMs :UInt64, limit :TargetLimit);

  # Tells the receiver what the sender has learned about requests under suspicion.
  shareSuspects @11 (sender :Text, suspects :List(SuspectItem)) -> ();

  # Requests a permit to run a request under suspicion, from the entry that permits such trials of
  # the service's requests. If none is granted, one may be available after retryAfterMs.
  requestTrial @12 (service :Text, suspect :SuspectItem, durationMs :UInt64)
      -> (granted :Bool, retryAfterMs :UInt64, suspect :SuspectItem);

  # Tells the receiver that a trial that it permitted has ended, and what is known since.
  endTrial @13 (suspect :SuspectItem) -> ();

  # Requests tokens of workspaces with caps from the entry that issues those of all entries.
  requestUsage @14 (requests :List(UsageRequest)) -> (replies :List(UsageReply));
}
