#pragma once

#include "base/Error.h"

namespace Tarragon {

/// The command line, or a file that it names, cannot be used.
class UsageError : public Error
{
public:
    using Error::Error;
};

} // namespace Tarragon
