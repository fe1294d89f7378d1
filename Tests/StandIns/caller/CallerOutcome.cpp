#include "StandIns/caller/CallerOutcome.h"

namespace Tarragon {

std::string toString(CallerResult result)
{
    switch (result) {
    case CallerResult::Whole:
        return "whole";
    case CallerResult::NotRun:
        return "not-run";
    case CallerResult::Uncertain:
        return "uncertain";
    case CallerResult::Lost:
        return "lost";
    }
    return "lost";
}

} // namespace Tarragon
