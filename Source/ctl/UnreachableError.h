#pragma once

#include "base/Error.h"

namespace Tarragon {

/// No server gave an answer that can be used.
class UnreachableError : public Error
{
public:
    using Error::Error;
};

} // namespace Tarragon
