#include "steering/EntryState.h"

namespace Tarragon {

std::string_view toString(EntryState state)
{
    switch (state) {
    case EntryState::Live:
        return "live";
    case EntryState::Leaving:
        return "leaving";
    case EntryState::Unreachable:
        break;
    }
    return "unreachable";
}

} // namespace Tarragon
