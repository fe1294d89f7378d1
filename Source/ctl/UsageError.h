#pragma once

#include "base/Error.h"

namespace Tarragon {

/// Thrown if the command line is invalid or a file named there cannot be used.
class UsageError : public Error
{
public:
    using Error::Error;
};

} // namespace Tarragon
