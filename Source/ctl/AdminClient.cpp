#include "ctl/AdminClient.h"

#include "ctl/UnreachableError.h"
#include "ctl/UsageError.h"
#include "document/AdminMessages.h"
#include "document/TextFile.h"
#include "document/ValueFormats.h"
#include "net/HttpClient.h"

#include <cstdlib>
#include <optional>
#include <sstream>
#include <utility>

namespace Tarragon {

namespace {

constexpr milliseconds ConnectTimeout{ 1'000 };
// Fits a document of 64 services with texts of the maximum size, escaped as JSON.
constexpr ByteCount MaxBody{ 256UL * 1024 * 1024 };
constexpr int ServiceUnavailable = 503;

/// Outcome of a call to one server: its response, or the reason of the failure.
struct Attempt
{
    std::optional<AdminReply> reply;
    std::string failure;
    /// Whether the server may have accepted the change although no response arrived.
    bool mayBeAccepted = false;
};

Attempt callServer(const HttpRequest &request)
{
    EventLoop loop;
    HttpClient client(loop);
    Attempt attempt;
    const HttpCallPtr call = client.fetch(
            request, MaxBody,
            [&](const HttpResponse &response) {
                attempt.reply = AdminReply{ response.head.status, response.body, false };
                loop.stop();
            },
            [&](const HttpFailure &failure) {
                attempt.failure = failure.reason;
                attempt.mayBeAccepted =
                        request.method != "GET" && failure.stage != HttpStage::Connect;
                loop.stop();
            });
    loop.run();
    return attempt;
}

/// Turns a response with status 503 into a failure, as another server may be available.
void convertUnavailableToFailure(Attempt &attempt)
{
    if (!attempt.reply || attempt.reply->status != ServiceUnavailable) {
        return;
    }
    attempt.failure = "unavailable";
    try {
        const AdminError error = parseAdminError(attempt.reply->body);
        attempt.failure += ": " + error.detail;
        attempt.mayBeAccepted = error.mayBeAccepted;
    } catch (const Error &) {
        // The body is not an error of the administration API, for example one of a proxy. The
        // status is sufficient.
    }
    attempt.reply.reset();
}

std::vector<Endpoint> parseServers(std::vector<std::string> texts)
{
    if (texts.empty()) {
        const char *variable = std::getenv("TARRAGON_SERVER");
        std::istringstream in(variable != nullptr ? variable : "");
        std::string text;
        while (std::getline(in, text, ',')) {
            texts.push_back(text);
        }
    }
    if (texts.empty()) {
        throw UsageError("found no server address, expected --server or TARRAGON_SERVER");
    }
    std::vector<Endpoint> servers;
    for (const std::string &it : texts) {
        const EndpointFormat format;
        const std::optional<Endpoint> server = format(it);
        if (!server) {
            throw UsageError("found server \"" + it + "\", expected " + format.expected());
        }
        servers.push_back(*server);
    }
    return servers;
}

std::string readToken(const cxxopts::ParseResult &arguments)
{
    const std::string file = textOption(arguments, "token-file");
    const char *variable = std::getenv("TARRAGON_TOKEN");
    std::string token = variable != nullptr ? variable : "";
    if (!file.empty()) {
        try {
            token = readTextFile(file);
        } catch (const Error &e) {
            throw UsageError(e.what());
        }
    }
    token.erase(token.find_last_not_of(" \t\r\n") + 1);
    if (token.empty()) {
        throw UsageError("found no token, expected --token-file or TARRAGON_TOKEN");
    }
    return token;
}

} // namespace

AdminClient::AdminClient(std::vector<Endpoint> servers, milliseconds timeout, std::string token)
    : m_servers(std::move(servers))
    , m_timeout(timeout)
    , m_token(std::move(token))
{}

AdminReply AdminClient::call(const std::string &method, const std::string &uri,
                             const std::string &body) const
{
    HttpRequest request;
    request.method = method;
    request.uri = uri;
    request.body = body;
    request.connectTimeout = ConnectTimeout;
    request.timeout = m_timeout;
    if (!m_token.empty()) {
        request.headers.set("Authorization", "Bearer " + m_token);
    }
    if (!body.empty()) {
        request.headers.set("Content-Type", "application/json");
    }
    std::string failures;
    bool mayBeAccepted = false;
    for (const Endpoint &it : m_servers) {
        request.address = it.address;
        request.port = it.port;
        Attempt attempt = callServer(request);
        convertUnavailableToFailure(attempt);
        if (attempt.reply) {
            attempt.reply->isRepeated = mayBeAccepted;
            return *attempt.reply;
        }
        mayBeAccepted = mayBeAccepted || attempt.mayBeAccepted;
        failures += (failures.empty() ? "server " : "; server ") + it.address + ":"
                    + std::to_string(it.port) + ": " + attempt.failure;
    }
    throw UnreachableError(failures
                           + (mayBeAccepted ? ". The change may have been accepted; run the same "
                                              "command again to find out. It is not applied twice"
                                            : ""));
}

AdminClient makeAdminClient(const cxxopts::ParseResult &arguments, bool needsToken)
{
    static constexpr int MaxTimeoutSeconds = 3'600;
    const int timeout = arguments["timeout"].as<int>();
    if (timeout < 1 || timeout > MaxTimeoutSeconds) {
        throw UsageError("found timeout " + std::to_string(timeout) + ", expected 1 to "
                         + std::to_string(MaxTimeoutSeconds) + " seconds");
    }
    return AdminClient(parseServers(listOption(arguments, "server")), seconds(timeout),
                       needsToken ? readToken(arguments) : std::string());
}

void addTokenOptions(cxxopts::OptionAdder &options)
{
    options("token-file", "File with the team's token. Default: the token in TARRAGON_TOKEN",
            cxxopts::value<std::string>(), "FILE");
}

} // namespace Tarragon
