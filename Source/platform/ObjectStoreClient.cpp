#include "platform/ObjectStoreClient.h"

#include "base/Error.h"

#include <event2/http.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <optional>
#include <unordered_map>

namespace Tarragon {

namespace {

using Json = nlohmann::json;

/// Values are up to a megabyte; a listing of keys may be longer.
constexpr ByteCount MaxBody{ 16'777'216 };

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int FirstClientError = 400;
constexpr int FirstServerError = 500;
constexpr int ServiceUnavailable = 503;

const log4cplus::Logger &logger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("platform");
    return instance;
}

std::string encoded(const std::string &text)
{
    char *result = evhttp_uriencode(text.data(), ev_ssize_t(text.size()), 0);
    if (result == nullptr) {
        throw Error("libevent could not encode an object key");
    }
    std::string copy(result);
    std::free(result);
    return copy;
}

/// Percent-encodes a key but for the slashes between its parts.
std::string encodedKey(const std::string &key)
{
    std::string result;
    std::size_t start = 0;
    while (true) {
        const std::size_t slash = key.find('/', start);
        result += encoded(key.substr(start, slash - start));
        if (slash == std::string::npos) {
            return result;
        }
        result += '/';
        start = slash + 1;
    }
}

std::optional<ObjectVersion> versionOf(const HttpResponseHead &head)
{
    const std::optional<std::string> text = head.headers.find("Object-Version");
    if (!text.has_value()) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const char *end = text->data() + text->size();
    const std::from_chars_result result = std::from_chars(text->data(), end, value);
    if (result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    return ObjectVersion(value);
}

/// A number of the listing. nlohmann-json would turn a negative one into a large one.
std::uint64_t unsignedNumber(const Json &json)
{
    if (!json.is_number_unsigned()) {
        throw Error("listing has the number " + json.dump() + ", expected a non-negative integer");
    }
    return json.get<std::uint64_t>();
}

/// What a failed call means for a write.
StoreOutcome outcomeOf(const HttpFailure &failure)
{
    return failure.stage == HttpStage::Connect || !failure.anySent ? StoreOutcome::NotApplied
                                                                   : StoreOutcome::Unknown;
}

/// What a status without a meaning of its own tells about a write.
StoreOutcome outcomeOf(int status)
{
    const bool refused = (status >= FirstClientError && status < FirstServerError)
                         || status == ServiceUnavailable;
    return refused ? StoreOutcome::NotApplied : StoreOutcome::Unknown;
}

StoredObject objectOf(const HttpResponse &response)
{
    StoredObject result;
    const std::optional<ObjectVersion> version = versionOf(response.head);
    if (response.head.status == Ok && version.has_value()) {
        result.outcome = StoreOutcome::Done;
        result.version = *version;
        result.value = response.body;
    } else if (response.head.status == NotFound) {
        result.outcome = StoreOutcome::NotFound;
    } else {
        result.outcome = outcomeOf(response.head.status);
    }
    return result;
}

StoreWrite writeOf(const HttpResponse &response)
{
    StoreWrite result;
    const std::optional<ObjectVersion> version = versionOf(response.head);
    result.version = version.value_or(ObjectVersion());
    if (response.head.status == Ok) {
        // Without a version the write has happened, but its result is not known.
        result.outcome = version.has_value() ? StoreOutcome::Done : StoreOutcome::Unknown;
    } else if (response.head.status == Conflict) {
        result.outcome = StoreOutcome::Conflict;
    } else {
        result.outcome = outcomeOf(response.head.status);
    }
    return result;
}

ObjectListing listingOf(const HttpResponse &response)
{
    ObjectListing result;
    if (response.head.status != Ok) {
        result.outcome = outcomeOf(response.head.status);
        return result;
    }
    const Json json = Json::parse(response.body);
    result.revision = unsignedNumber(json.at("revision"));
    for (const Json &object : json.at("objects")) {
        result.objects.push_back({ object.at("key").get<std::string>(),
                                   ObjectVersion(unsignedNumber(object.at("version"))) });
    }
    result.outcome = StoreOutcome::Done;
    return result;
}

InstanceListing instancesOf(const HttpResponse &response)
{
    InstanceListing result;
    if (response.head.status != Ok) {
        result.outcome = outcomeOf(response.head.status);
        return result;
    }
    const Json json = Json::parse(response.body);
    for (const Json &entry : json.at("instances")) {
        const std::string state = entry.at("state").get<std::string>();
        const std::string kind = entry.at("kind").get<std::string>();
        if ((state != "live" && state != "leaving") || (kind != "entry" && kind != "target")) {
            throw Error("instance list has the entry " + entry.dump()
                        + ", expected state live or leaving and kind entry or target");
        }
        result.instances.push_back(
                { entry.at("id").get<std::string>(), state == "leaving", kind == "target" });
    }
    result.outcome = StoreOutcome::Done;
    return result;
}

} // namespace

struct ObjectStoreClient::State : public std::enable_shared_from_this<ObjectStoreClient::State>
{
    State(HttpClient &httpClient, std::string storeAddress, std::uint16_t storePort,
          milliseconds callTimeout)
        : client(httpClient)
        , address(std::move(storeAddress))
        , port(storePort)
        , timeout(callTimeout)
    {}

    /// Sends the request and passes what the parser makes of the answer to the callback. An answer
    /// that the parser rejects counts as unknown.
    template<typename Result>
    void call(const HttpRequest &request, Result (*parse)(const HttpResponse &),
              sigc::slot<void(const Result &)> callback);

    HttpRequest request(const std::string &method, const std::string &uri) const
    {
        HttpRequest result;
        result.address = address;
        result.port = port;
        result.method = method;
        result.uri = uri;
        result.timeout = timeout;
        result.connectTimeout = std::min(result.connectTimeout, timeout);
        return result;
    }

    HttpClient &client;
    std::string address;
    std::uint16_t port;
    milliseconds timeout;
    std::uint64_t nextCall = 0;
    std::unordered_map<std::uint64_t, HttpCallPtr> calls;
};

template<typename Result>
void ObjectStoreClient::State::call(const HttpRequest &request,
                                    Result (*parse)(const HttpResponse &),
                                    sigc::slot<void(const Result &)> callback)
{
    const std::uint64_t id = nextCall++;
    const std::weak_ptr<State> self = weak_from_this();
    const std::string uri = request.uri;
    const auto finish = [self, id, callback = std::move(callback)](const Result &result) {
        const std::shared_ptr<State> state = self.lock();
        if (state == nullptr) {
            return;
        }
        const HttpCallPtr ended = std::move(state->calls[id]);
        state->calls.erase(id);
        callback(result);
    };
    const auto onResponse = [parse, finish, uri](const HttpResponse &response) {
        Result result;
        try {
            result = parse(response);
        } catch (const std::exception &error) {
            LOG4CPLUS_WARN(logger(), "Malformed answer of the store. uri="
                                             << uri << " status=" << response.head.status
                                             << " error=" << error.what());
            result = Result();
        }
        finish(result);
    };
    const auto onFailure = [finish, uri](const HttpFailure &failure) {
        LOG4CPLUS_DEBUG(logger(), "Store call failed. uri=" << uri << " error=" << failure.reason);
        Result result;
        result.outcome = outcomeOf(failure);
        finish(result);
    };
    calls[id] = client.fetch(request, MaxBody, onResponse, onFailure);
}

ObjectStoreClient::ObjectStoreClient(EventLoop &, HttpClient &client, std::string address,
                                     std::uint16_t port, milliseconds timeout)
    : m_state(std::make_shared<State>(client, std::move(address), port, timeout))
{}

ObjectStoreClient::~ObjectStoreClient() = default;

void ObjectStoreClient::get(const std::string &key, sigc::slot<void(const StoredObject &)> callback)
{
    m_state->call<StoredObject>(m_state->request("GET", "/v1/objects/" + encodedKey(key)), objectOf,
                                std::move(callback));
}

void ObjectStoreClient::put(const std::string &key, const std::string &value,
                            ObjectVersion ifVersion, sigc::slot<void(const StoreWrite &)> callback)
{
    HttpRequest request = m_state->request("PUT", "/v1/objects/" + encodedKey(key));
    request.headers.add("If-Version", std::to_string(ifVersion.value()));
    request.body = value;
    m_state->call<StoreWrite>(request, writeOf, std::move(callback));
}

void ObjectStoreClient::list(const std::string &prefix,
                             sigc::slot<void(const ObjectListing &)> callback)
{
    m_state->call<ObjectListing>(m_state->request("GET", "/v1/objects?prefix=" + encoded(prefix)),
                                 listingOf, std::move(callback));
}

void ObjectStoreClient::watch(const std::string &prefix, std::uint64_t afterRevision,
                              milliseconds wait, sigc::slot<void(const ObjectListing &)> callback)
{
    HttpRequest request = m_state->request(
            "GET", "/v1/watch?prefix=" + encoded(prefix) + "&after=" + std::to_string(afterRevision)
                           + "&timeoutMs=" + std::to_string(wait.count()));
    request.timeout += wait;
    m_state->call<ObjectListing>(request, listingOf, std::move(callback));
}

void ObjectStoreClient::instances(sigc::slot<void(const InstanceListing &)> callback)
{
    m_state->call<InstanceListing>(m_state->request("GET", "/v1/instances"), instancesOf,
                                   std::move(callback));
}

} // namespace Tarragon
