#pragma once

#include "base/Units.h"
#include "document/Topology.h"

#include <cxxopts.hpp>

#include <string>
#include <vector>

namespace Tarragon {

/// An answer of the administration API.
struct AdminReply
{
    int status = 0;
    std::string body;
};

/// Calls the administration API of the first server that answers.
class AdminClient
{
public:
    AdminClient(std::vector<Endpoint> servers, milliseconds timeout, std::string token);

    /// Sends the request and waits for the answer. A server that cannot be reached, or that answers
    /// 503, is passed over. Every request of the API may be sent again, as a repeated edit changes
    /// nothing. Throws UnreachableError if no server is left.
    AdminReply call(const std::string &method, const std::string &uri,
                    const std::string &body = {}) const;

private:
    std::vector<Endpoint> m_servers;
    milliseconds m_timeout;
    std::string m_token;
};

/// Makes a client from the options --server, --timeout and --token-file. Throws UsageError.
AdminClient makeAdminClient(const cxxopts::ParseResult &arguments, bool needsToken);

/// Adds the options of commands that need a token.
void addTokenOptions(cxxopts::OptionAdder &options);

} // namespace Tarragon
