#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "base/Versions.h"
#include "document/Configuration.h"

#include <vector>

namespace Tarragon {

/// A target with the number of requests that it can run at a time, its slots.
struct SlotTarget
{
    TargetId id;
    ServiceId service;
    SlotCount slots;
};

/// The part of a document that determines each entry's share of the slots of a failure domain's
/// targets. Seats number the entries of the domain; staticShare() divides the slots over the seats.
struct SlotShares
{
    /// Generation of the document, or of the last one before it that changed the topology or a
    /// service.
    Generation generation;
    /// Generation of the previous document that changed the topology or a service; 0 if unknown.
    /// Shows whether this entry has missed a document, under which neighbours may have used this
    /// entry's slots.
    Generation previous;
    /// Entry instances of the domain, in order of their seats.
    std::vector<InstanceId> seats;
    std::vector<SlotTarget> targets;
};

/// Returns the seats and targets of a failure domain in the document; both are empty for an unknown
/// domain. "previous" is 0, because a document does not name the previous one that changed the
/// shares.
SlotShares slotSharesOf(const Configuration &configuration, const FailureDomainId &domain);

/// Returns the number of slots of a target that belong to a seat. The shares of all seats add up to
/// the target's slots. The remainder of the division is given out starting at a seat that depends
/// on the target's id only, so that no seat gets the smaller share at every target, and a new
/// target does not change the shares of others.
SlotCount staticShare(const TargetId &target, SlotCount slots, int seat, int seats);

} // namespace Tarragon
