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
    const std::ifstream in(path, std::ios::binary);
    std::ostringstream out;
    if (!in || !(out << in.rdbuf())) {
        throw Error("cannot read file " + path + ": "
                    + (errno != 0 ? std::strerror(errno) : "no content"));
    }
    return out.str();
}

} // namespace Tarragon
