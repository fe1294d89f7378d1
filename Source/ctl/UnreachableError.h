#pragma once

#include "base/Error.h"

namespace Tarragon {

/// Thrown if no server returned a usable response.
class UnreachableError : public Error
{
public:
    using Error::Error;
};

} // namespace Tarragon
