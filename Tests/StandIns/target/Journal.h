#pragma once

#include <cstdio>
#include <string>

namespace Tarragon {

/// Event of a request at a target. Expire means that the deadline passed while the request ran.
enum class JournalEvent { Start, End, Cancel, Expire };

/// Append-only journal of the requests that the targets of this process ran, with one JSON object
/// per line. Each line is flushed when it is written, so that no line is lost if the process is
/// killed.
class Journal
{
public:
    /// Opens the file for appending; with an empty path, nothing is recorded. Throws Error if the
    /// file cannot be opened.
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
