#pragma once

#include "base/Units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Tarragon {

/// Address and port of an entry.
struct EntryAddress
{
    std::string address;
    std::uint16_t port = 0;
};

/// Parses "ADDRESS:PORT". Throws Error if the text has another form.
EntryAddress parseEntryAddress(const std::string &text);

/// Options of a run of the load tool.
struct CallerOptions
{
    /// Entries that lookups are sent to.
    std::vector<EntryAddress> entries;
    std::string service;
    /// Address of the caller, as given in lookups and requests.
    std::string callerAddress;
    std::string method = "GET";
    /// Path and query that follow the service's name in the URI.
    std::string path = "/";
    /// Expected length of the response body in bytes; 0: only its first line, which names the
    /// request.
    std::size_t expectedBytes = 0;
    std::string body;
    std::uint64_t requests = 1;
    /// Requests per second; 0: limited only by the concurrency.
    double rate = 0;
    std::uint64_t concurrency = 1;
    int attempts = 6;
    milliseconds deadline{ 10'000 };
    /// Part of the request ids that distinguishes this run from other runs.
    std::string idPrefix = "c";
    /// Maximum rate of reading a response, in bytes per second; 0: no limit.
    std::size_t readRate = 0;
};

} // namespace Tarragon
