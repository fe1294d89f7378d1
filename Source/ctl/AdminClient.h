#pragma once

#include "base/Units.h"
#include "ctl/Command.h"
#include "document/Topology.h"

#include <string>
#include <vector>

namespace Tarragon {

/// A response of the administration API.
struct AdminReply
{
    int status = 0;
    std::string body;
    /// Whether the response of a server tried earlier was lost, so that the request may already
    /// have taken effect.
    bool isRepeated = false;
};

/// Calls the administration API of the first server that responds.
class AdminClient
{
public:
    AdminClient(std::vector<Endpoint> servers, milliseconds timeout, std::string token);

    /// Sends the request to one server after the other and returns the first response. Servers that
    /// cannot be reached or respond with status 503 are skipped. Requests may be sent to several
    /// servers, as all requests of the API are idempotent. Throws UnreachableError if no server is
    /// left.
    AdminReply call(const std::string &method, const std::string &uri,
                    const std::string &body = {}) const;

private:
    std::vector<Endpoint> m_servers;
    milliseconds m_timeout;
    std::string m_token;
};

/// Creates a client from the options --server, --timeout and --token-file and the environment
/// variables TARRAGON_SERVER and TARRAGON_TOKEN. Throws UsageError if a needed value is missing or
/// invalid.
AdminClient makeAdminClient(const cxxopts::ParseResult &arguments, bool needsToken);

/// Adds the option --token-file, for commands that need a token.
void addTokenOptions(cxxopts::OptionAdder &options);

} // namespace Tarragon
