#pragma once

#include <string>

namespace Tarragon {

/// An instance as the platform's list names it.
struct ListedInstance
{
    std::string id;
    bool leaving = false;
    /// Whether it is a target; otherwise an entry.
    bool isTarget = false;
};

} // namespace Tarragon
