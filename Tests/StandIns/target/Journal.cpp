#include "StandIns/target/Journal.h"

#include "base/Error.h"

#include <nlohmann/json.hpp>

#include <cerrno>
#include <chrono>
#include <cstring>

namespace Tarragon {

namespace {

const char *toString(JournalEvent event)
{
    switch (event) {
    case JournalEvent::Start:
        return "start";
    case JournalEvent::End:
        return "end";
    case JournalEvent::Cancel:
        return "cancel";
    case JournalEvent::Expire:
        return "expire";
    }
    return "";
}

} // namespace

Journal::Journal(const std::string &path)
{
    if (path.empty()) {
        return;
    }
    m_file = std::fopen(path.c_str(), "ae");
    if (m_file == nullptr) {
        throw Error("cannot open the journal file \"" + path
                    + "\" for appending: " + std::strerror(errno));
    }
}

Journal::~Journal()
{
    if (m_file != nullptr) {
        static_cast<void>(std::fclose(m_file));
    }
}

void Journal::record(JournalEvent event, const std::string &target, const std::string &requestId,
                     const std::string &method, const std::string &path, int running)
{
    if (m_file == nullptr) {
        return;
    }
    const std::int64_t now = std::chrono::duration_cast<std::chrono::microseconds>(
                                     std::chrono::system_clock::now().time_since_epoch())
                                     .count();
    const nlohmann::json line{
        { "event", toString(event) }, { "target", target }, { "requestId", requestId },
        { "method", method },         { "path", path },     { "running", running },
        { "unixMicroseconds", now }
    };
    const std::string text = line.dump() + "\n";
    static_cast<void>(std::fwrite(text.data(), 1, text.size(), m_file));
    static_cast<void>(std::fflush(m_file));
}

} // namespace Tarragon
