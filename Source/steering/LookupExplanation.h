#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "base/Versions.h"
#include "steering/EntryState.h"
#include "steering/LookupDecision.h"

#include <string>
#include <vector>

namespace Tarragon {

/// Every input of a lookup and what followed from it, for the command "why".
struct LookupExplanation
{
    /// A region that the caller's weights name.
    struct Candidate
    {
        RegionId region;
        Share weight;
        /// The lowest score wins.
        double score = 0;
    };

    /// An entry of the serving region, or an alternative in another region.
    struct EntryInput
    {
        InstanceId id;
        FailureDomainId domain;
        RegionId region;
        EntryState state = EntryState::Live;
        /// Position in the list, counted from 1; 0 if it is not on the list.
        std::size_t position = 0;
    };

    Generation generation;
    PlanVersion plan;
    ServiceId service;
    LookupOutcome outcome = LookupOutcome::UnknownService;
    /// Such as "10.1.0.0/16"; empty if no block holds the address.
    std::string block;
    RegionId callerRegion;
    /// Whether the weights come from the plan; otherwise the caller's own or nearest region serves.
    bool fromPlan = false;
    std::vector<Candidate> candidates;
    RegionId servingRegion;
    std::vector<EntryInput> entries;
};

/// The explanation as lines of text.
std::string toString(const LookupExplanation &explanation);

} // namespace Tarragon
