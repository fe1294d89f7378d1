#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "document/Finding.h"
#include "document/Topology.h"
#include "net/MemoryBudget.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Tarragon {

/// Address of another entry, which can be asked for the document while this entry has none.
struct PeerAddress
{
    InstanceId instance;
    Endpoint rpc;
};

/// The settings of one daemon, read from its YAML file.
struct Settings
{
    InstanceId instance;
    FailureDomainId domain;
    RegionId region;
    int seat = 0;
    /// Address on which HTTP requests of callers, operators and other entries are accepted.
    Endpoint http;
    /// Address on which RPC calls of other entries are accepted.
    Endpoint rpc;
    /// Address of the object store of the platform.
    Endpoint store;
    std::vector<PeerAddress> peers;
    /// File with the document to write to an empty store; empty: none.
    std::string documentFile;
    std::string logLevel = "INFO";
    /// Largest accepted request body, in bytes.
    ByteCount maxBody{ 1024 * 1024 };
    /// Amount of a response that may be buffered for a slow caller before reading from the target
    /// is paused, in bytes.
    ByteCount responseBuffer{ 256 * 1024 };
    /// Memory of the machine in megabytes; the requests of all clients may hold a part of it.
    std::uint64_t memoryMegabytes = MemoryBudget::DefaultMemoryMegabytes;
    /// Number of file descriptors that the process may open.
    std::uint64_t maxDescriptors = MemoryBudget::DefaultMaxDescriptors;
    /// Time that requests in progress may still take after SIGTERM or a planned stop.
    seconds stopDeadline{ 60 };
    /// Timeout of a call to the object store.
    milliseconds storeTimeout{ 1'000 };
};

/// Parses the text of a settings file. If it has any fault, adds a finding for each and returns
/// nothing; unknown keys are faults.
std::optional<Settings> parseSettings(const std::string &text, const std::string &file,
                                      Findings &findings);

/// Reads and parses a settings file. A file that cannot be read is a finding.
std::optional<Settings> readSettings(const std::string &file, Findings &findings);

} // namespace Tarragon
