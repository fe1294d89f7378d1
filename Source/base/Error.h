#pragma once

#include <stdexcept>
#include <string>

namespace Tarragon {

/// Base class of all exceptions of this project. The text states the value found, where it was
/// found and what was expected.
class Error : public std::runtime_error
{
public:
    explicit Error(const std::string &text)
        : std::runtime_error(text)
    {}
};

} // namespace Tarragon
