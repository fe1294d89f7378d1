#include "steering/LookupDecision.h"

namespace Tarragon {

std::string_view toString(LookupOutcome outcome)
{
    switch (outcome) {
    case LookupOutcome::Decided:
        return "decided";
    case LookupOutcome::UnknownService:
        return "unknown-service";
    case LookupOutcome::NoUsableEntry:
        break;
    }
    return "no-usable-entry";
}

} // namespace Tarragon
