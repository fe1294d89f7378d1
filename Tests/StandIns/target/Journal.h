#pragma once

#include <cstdio>
#include <string>

namespace Tarragon {

/// Event of a request at a target.
enum class JournalEvent { Start, End, Cancel, Expire };

/// Append-only record of every request that the targets of this process ran, one JSON object a
/// line. Each line is flushed at once, so that a killed process loses none.
class Journal
{
public:
    /// Appends to the file; an empty path keeps no record. Throws Error if it cannot be opened.
    explicit Journal(const std::string &path);
    ~Journal();
    Journal(const Journal &) = delete;
    Journal &operator=(const Journal &) = delete;

    void record(JournalEvent event, const std::string &target, const std::string &requestId,
                const std::string &method, const std::string &path, int running);

private:
    std::FILE *m_file = nullptr;
};

} // namespace Tarragon
