#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "base/Versions.h"
#include "steering/EntryState.h"
#include "steering/LookupDecision.h"

#include <string>
#include <vector>

namespace Tarragon {

/// All inputs of a lookup and the decision made from them, for the command "why".
struct LookupExplanation
{
    /// A region with a weight in the row of the caller's region.
    struct Candidate
    {
        RegionId region;
        Share weight;
        /// Rendezvous score; the candidate with the lowest score becomes the serving region.
        double score = 0;
    };

    /// An entry of the serving region, or an alternative in another region.
    struct EntryInput
    {
        InstanceId id;
        FailureDomainId domain;
        RegionId region;
        EntryState state = EntryState::Live;
        /// Position in the list that the caller receives, counted from 1; 0 if the entry is not in
        /// the list.
        std::size_t position = 0;
    };

    Generation generation;
    PlanVersion plan;
    ServiceId service;
    LookupOutcome outcome = LookupOutcome::UnknownService;
    /// Client block such as "10.1.0.0/16"; empty if no block contains the address.
    std::string block;
    RegionId callerRegion;
    /// Whether weights are applied to the caller region; otherwise its own or nearest region
    /// serves.
    bool fromPlan = false;
    std::vector<Candidate> candidates;
    RegionId servingRegion;
    std::vector<EntryInput> entries;
};

/// Returns the explanation as lines of text.
std::string toString(const LookupExplanation &explanation);

} // namespace Tarragon
