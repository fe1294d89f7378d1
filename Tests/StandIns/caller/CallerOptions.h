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

/// What a run of the load tool sends.
struct CallerOptions
{
    /// Entries that are asked for the first lookup.
    std::vector<EntryAddress> entries;
    std::string service;
    /// Address that lookups name as the caller's.
    std::string callerAddress;
    std::string method = "GET";
    /// Path and query behind the service's name.
    std::string path = "/";
    /// Expected length of the response's body; 0: only the first line.
    std::size_t expectedBytes = 0;
    std::string body;
    std::uint64_t requests = 1;
    /// Requests a second; 0: as fast as the concurrency permits.
    double rate = 0;
    std::uint64_t concurrency = 1;
    int attempts = 6;
    milliseconds deadline{ 10'000 };
    /// Makes the request ids of this run distinct from those of others.
    std::string idPrefix = "c";
    /// Speed limit for reading a response, in bytes a second; 0: none.
    std::size_t readRate = 0;
};

} // namespace Tarragon
