#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "document/Finding.h"
#include "document/Topology.h"

#include <optional>
#include <string>
#include <vector>

namespace Tarragon {

/// Another entry instance that can be asked before a document is known.
struct PeerAddress
{
    InstanceId instance;
    Endpoint rpc;
};

/// Settings of one daemon, read from its YAML file.
struct Settings
{
    InstanceId instance;
    FailureDomainId domain;
    RegionId region;
    int seat = 0;
    /// Where callers, operators and other entries send HTTP requests.
    Endpoint http;
    /// Where other entries send RPC.
    Endpoint rpc;
    /// The platform's object store.
    Endpoint store;
    std::vector<PeerAddress> peers;
    /// Document that seeds an empty store; empty: none.
    std::string documentFile;
    std::string logLevel = "INFO";
    /// Largest request body that is held, in bytes.
    ByteCount maxBody{ 1024 * 1024 };
    /// Largest part of a response that is buffered for a slow caller, in bytes.
    ByteCount responseBuffer{ 256 * 1024 };
    /// Time that running requests get after SIGTERM.
    seconds stopDeadline{ 60 };
    /// Time that a call to the store may take.
    milliseconds storeTimeout{ 1'000 };
};

/// Parses the text of a settings file. Returns nothing and adds all findings if there is any
/// fault; unknown keys are faults.
std::optional<Settings> parseSettings(const std::string &text, const std::string &file,
                                      Findings &findings);

/// Reads and parses a settings file. A file that cannot be read is a finding.
std::optional<Settings> readSettings(const std::string &file, Findings &findings);

} // namespace Tarragon
