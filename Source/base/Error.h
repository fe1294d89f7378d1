#pragma once

#include <stdexcept>
#include <string>

namespace Tarragon {

/// Base of all errors that this project throws. The text says what was found, where, and what was
/// expected.
class Error : public std::runtime_error
{
public:
    explicit Error(const std::string &text)
        : std::runtime_error(text)
    {}
};

} // namespace Tarragon
