#include "StandIns/caller/CallerOptions.h"

#include "base/Error.h"

#include <charconv>

namespace Tarragon {

EntryAddress parseEntryAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    EntryAddress entry;
    if (colon != std::string::npos) {
        entry.address = text.substr(0, colon);
        std::from_chars(text.data() + colon + 1, text.data() + text.size(), entry.port);
    }
    if (entry.address.empty() || entry.port == 0) {
        throw Error("found \"" + text + "\", expected ADDRESS:PORT");
    }
    return entry;
}

} // namespace Tarragon
