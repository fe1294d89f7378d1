#include "document/TextFile.h"

#include "base/Error.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace Tarragon {

std::string readTextFile(const std::string &path)
{
    errno = 0;
    std::ifstream in(path, std::ios::binary);
    std::ostringstream out;
    // Inserting an empty stream buffer sets the failure bit, so an empty file is detected before.
    const bool isEmpty =
            in.peek() == std::ifstream::traits_type::eof() && in.is_open() && !in.bad();
    if (!isEmpty && (!in || !(out << in.rdbuf()))) {
        throw Error("cannot read file " + path + ": " + std::strerror(errno));
    }
    return out.str();
}

} // namespace Tarragon
