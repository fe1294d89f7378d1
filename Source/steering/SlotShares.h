#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "base/Versions.h"
#include "document/Configuration.h"

#include <vector>

namespace Tarragon {

/// A target as the slot ledger sees it.
struct SlotTarget
{
    TargetId id;
    ServiceId service;
    SlotCount slots;
};

/// The part of a document that decides who may use which slots of a failure domain.
struct SlotShares
{
    /// The document, or the last one before it that changed the topology or a service.
    Generation generation;
    /// The document before it that changed the topology or a service; 0 if unknown. Tells whether
    /// this entry has missed one, which may have given its slots to others for a while.
    Generation previous;
    /// Entry instances of the domain by seat.
    std::vector<InstanceId> seats;
    std::vector<SlotTarget> targets;
};

/// Takes the shares of a failure domain from the document. An unknown domain has none. "previous"
/// is left at 0, as a document does not tell which one before it changed the shares.
SlotShares slotSharesOf(const Configuration &configuration, const FailureDomainId &domain);

/// Slots of a target that belong to a seat. The shares of all seats add up to the target's slots.
/// The remainder of the division starts at a seat that depends on the target's id only, so that no
/// seat is short at every target and a new target does not move the remainder of others.
SlotCount staticShare(const TargetId &target, SlotCount slots, int seat, int seats);

} // namespace Tarragon
