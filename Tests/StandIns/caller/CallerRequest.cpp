#include "StandIns/caller/CallerRequest.h"

#include <algorithm>
#include <utility>

namespace Tarragon {

namespace {

constexpr milliseconds MinRetryBackoff{ 50 };
constexpr milliseconds MaxRetryBackoff{ 1'000 };
/// Lookup responses without a request-id seed expire after 200 ms.
constexpr milliseconds BackoffWithoutSeed{ 250 };
/// Number of bytes of the body kept for comparison. The first line, which contains the request id,
/// is never longer.
constexpr std::size_t MaxBodyStart = 512;

milliseconds retryAfter(const HttpHeaders &headers)
{
    const std::optional<std::string> text = headers.find("Retry-After");
    if (!text.has_value()) {
        return MinRetryBackoff;
    }
    const int n = std::atoi(text->c_str());
    return std::clamp<milliseconds>(seconds(n), MinRetryBackoff, MaxRetryBackoff);
}

} // namespace

CallerRequest::CallerRequest(EventLoop &loop, HttpClient &client, LookupCache &lookups,
                             const CallerOptions &options, std::string uniquePart,
                             Callback callback)
    : m_loop(loop)
    , m_client(client)
    , m_lookups(lookups)
    , m_options(options)
    , m_uniquePart(std::move(uniquePart))
    , m_callback(std::move(callback))
    , m_started(loop.now())
{
    m_outcome.method = options.method;
}

void CallerRequest::start()
{
    attempt();
}

void CallerRequest::attempt()
{
    if (m_outcome.attempts >= m_options.attempts) {
        if (m_verdict != Verdict::NotRun) {
            finish(CallerResult::Uncertain, m_outcome.detail);
        } else {
            finish(m_hasEntryResponse ? CallerResult::NotRun : CallerResult::Lost,
                   m_outcome.detail);
        }
        return;
    }
    const std::shared_ptr<CallerRequest> self = shared_from_this();
    m_lookups.find([self](const std::optional<CachedLookup> &lookup) {
        const bool needsSeed =
                self->m_options.method == "POST" && self->m_outcome.requestId.empty();
        if (!lookup.has_value() || (needsSeed && lookup->requestIdSeed.empty())) {
            ++self->m_outcome.attempts;
            self->retry(lookup.has_value() ? "the lookup response has no request-id seed"
                                           : "no entry returned a valid lookup response",
                        BackoffWithoutSeed);
            return;
        }
        self->send(*lookup);
    });
}

void CallerRequest::send(const CachedLookup &lookup)
{
    // A new id is safe only if the request is known not to have run; otherwise it could run twice.
    const bool takesNewId = m_outcome.requestId.empty() || m_verdict == Verdict::NotRun;
    if (takesNewId) {
        m_outcome.requestId = lookup.requestIdSeed + "." + m_uniquePart + "-"
                              + std::to_string(m_outcome.attempts);
    }
    const EntryAddress &entry =
            lookup.entries[static_cast<std::size_t>(m_outcome.attempts) % lookup.entries.size()];
    ++m_outcome.attempts;
    HttpRequest request;
    request.address = entry.address;
    request.port = entry.port;
    request.method = m_options.method;
    request.uri = "/s/" + m_options.service + m_options.path;
    request.body = m_options.body;
    request.timeout = m_options.deadline + MinRetryBackoff;
    request.headers.set("Tarragon-Request-Id", m_outcome.requestId);
    request.headers.set("Tarragon-Deadline-Ms", std::to_string(m_options.deadline.count()));
    request.headers.set("Tarragon-Caller", m_options.callerAddress);
    m_attemptOfId = takesNewId ? 1 : m_attemptOfId + 1;
    request.headers.set("Tarragon-Attempt", std::to_string(m_attemptOfId));
    m_head = {};
    m_bodyStart.clear();
    m_bodyBytes = 0;
    const std::shared_ptr<CallerRequest> self = shared_from_this();
    HttpCallHandlers handlers;
    handlers.onHead = [self](const HttpResponseHead &head) { self->onHead(head); };
    handlers.onData = [self](std::string_view data) { self->onData(data); };
    handlers.onComplete = [self] { self->onComplete(); };
    handlers.onFailure = [self](const HttpFailure &failure) { self->onFailure(failure); };
    m_call = m_client.send(request, std::move(handlers));
}

void CallerRequest::onHead(const HttpResponseHead &head)
{
    m_head = head;
    m_outcome.status = head.status;
    m_hasEntryResponse = true;
}

void CallerRequest::onData(std::string_view data)
{
    m_bodyBytes += data.size();
    if (m_bodyStart.size() < MaxBodyStart) {
        m_bodyStart.append(data.substr(0, MaxBodyStart - m_bodyStart.size()));
    }
    if (m_options.readRate == 0) {
        return;
    }
    m_call->pause();
    const std::shared_ptr<CallerRequest> self = shared_from_this();
    const microseconds time(data.size() * 1'000'000 / m_options.readRate);
    m_readTimer = m_loop.schedule(time, [self] {
        if (self->m_call != nullptr) {
            self->m_call->resume();
        }
    });
}

bool CallerRequest::isOwnWholeBody() const
{
    const std::string line = "request " + m_outcome.requestId + "\n";
    return m_bodyStart.compare(0, line.size(), line) == 0
           && m_bodyBytes == std::max(m_options.expectedBytes, line.size());
}

void CallerRequest::onComplete()
{
    const Verdict verdict = parseVerdict(m_head.headers.find("Tarragon-Verdict").value_or(""))
                                    .value_or(Verdict::MayHaveRun);
    if (m_head.status == 200) {
        const bool isOwn = isOwnWholeBody();
        finish(isOwn ? CallerResult::Whole : CallerResult::Lost,
               isOwn ? ""
                     : "incomplete or foreign body of " + std::to_string(m_bodyBytes)
                               + " bytes for request " + m_outcome.requestId + ": "
                               + m_bodyStart.substr(0, 80));
        return;
    }
    m_verdict = combined(m_verdict, verdict);
    const std::string detail = "status " + std::to_string(m_head.status) + " "
                               + std::string(toString(verdict)) + ": " + m_bodyStart;
    if (verdict == Verdict::Ran) {
        finish(CallerResult::Uncertain, detail);
        return;
    }
    if (m_head.status >= 400 && m_head.status < 500 && m_head.status != 429) {
        finish(verdict == Verdict::NotRun ? CallerResult::NotRun : CallerResult::Uncertain, detail);
        return;
    }
    retry(detail, retryAfter(m_head.headers));
}

void CallerRequest::onFailure(const HttpFailure &failure)
{
    if (failure.stage != HttpStage::Connect) {
        m_verdict = combined(m_verdict, Verdict::MayHaveRun);
    }
    m_lookups.invalidate();
    retry("connection failed: " + failure.reason, MinRetryBackoff);
}

void CallerRequest::retry(const std::string &detail, milliseconds backoff)
{
    m_outcome.detail = detail;
    const std::shared_ptr<CallerRequest> self = shared_from_this();
    m_retryTimer = m_loop.schedule(backoff, [self] { self->attempt(); });
}

void CallerRequest::finish(CallerResult result, const std::string &detail)
{
    m_outcome.result = result;
    m_outcome.detail = detail;
    m_outcome.milliseconds =
            std::chrono::duration<double, std::milli>(m_loop.now() - m_started).count();
    m_callback(m_outcome);
}

} // namespace Tarragon
