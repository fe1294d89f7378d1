#include "steering/LookupExplanation.h"

#include <sstream>

namespace Tarragon {

std::string toString(const LookupExplanation &explanation)
{
    std::ostringstream out;
    out << "service " << explanation.service << ", generation " << explanation.generation
        << ", plan " << explanation.plan << ": " << toString(explanation.outcome) << '\n';
    if (explanation.outcome == LookupOutcome::UnknownService) {
        return out.str();
    }
    out << "caller region " << explanation.callerRegion << ", from "
        << (explanation.block.empty() ? "the default region" : "block " + explanation.block)
        << '\n';
    for (const LookupExplanation::Candidate &it : explanation.candidates) {
        out << "region " << it.region << ": weight " << it.weight.ratio() << ", score " << it.score
            << (it.region == explanation.servingRegion ? ", chosen" : "") << '\n';
    }
    if (!explanation.fromPlan) {
        out << "no weights for this caller region, so its own or nearest region serves\n";
    }
    for (const LookupExplanation::EntryInput &it : explanation.entries) {
        out << "entry " << it.id << " in " << it.domain << ", " << it.region << ": "
            << toString(it.state);
        if (it.position > 0) {
            out << ", position " << it.position;
        }
        out << '\n';
    }
    return out.str();
}

} // namespace Tarragon
