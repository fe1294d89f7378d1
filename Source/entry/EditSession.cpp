#include "entry/EditSession.h"

#include "base/Digest.h"
#include "base/Error.h"
#include "document/Head.h"

namespace Tarragon {

namespace {

/// The session fails when concurrent edits were accepted before this one so many times.
constexpr int MaxRestarts = 16;

/// Attempts of a single call to the store.
constexpr int MaxAttempts = 5;

constexpr milliseconds RetryBackoff{ 200 };

bool isMissing(StoreOutcome outcome)
{
    return outcome == StoreOutcome::NotFound;
}

} // namespace

EditSession::EditSession(EventLoop &loop, ObjectStoreClient &store, SectionTexts knownTexts,
                         Prepare prepare, std::string proposalId, Callback callback)
    : m_loop(loop)
    , m_store(store)
    , m_knownTexts(std::move(knownTexts))
    , m_prepare(std::move(prepare))
    , m_proposalId(std::move(proposalId))
    , m_callback(std::move(callback))
{}

void EditSession::start()
{
    readHead();
}

void EditSession::readHead()
{
    const std::shared_ptr<EditSession> self = shared_from_this();
    m_store.get(HeadKey, [self](const StoredObject &object) { self->onHead(object); });
}

void EditSession::onHead(const StoredObject &object)
{
    if (object.outcome != StoreOutcome::Done && !isMissing(object.outcome)) {
        finishUnavailable(m_isHeadWriteUnresolved);
        return;
    }
    m_current = {};
    m_headVersion = object.version;
    m_sectionsToRead.clear();
    if (isMissing(object.outcome)) {
        m_headVersion = ObjectVersion(0);
        decide();
        return;
    }
    try {
        m_current.head = parseHead(object.value);
    } catch (const Error &) {
        finishUnavailable(m_isHeadWriteUnresolved);
        return;
    }
    for (const auto &[name, reference] : m_current.head.sections) {
        const SectionTexts::const_iterator it = m_knownTexts.find(name);
        if (it != m_knownTexts.end() && sha256Hex(it->second) == reference.digest) {
            m_current.texts[name] = it->second;
        } else {
            m_sectionsToRead.emplace_back(name, reference.digest);
        }
    }
    readNextSection();
}

void EditSession::readNextSection()
{
    if (m_sectionsToRead.empty()) {
        decide();
        return;
    }
    const std::shared_ptr<EditSession> self = shared_from_this();
    const std::pair<SectionName, std::string> section = m_sectionsToRead.back();
    m_store.get(sectionObjectKey(section.first, section.second),
                [self, section](const StoredObject &object) {
                    const bool isIntact = object.outcome == StoreOutcome::Done
                                          && sha256Hex(object.value) == section.second;
                    if (!isIntact) {
                        self->finishUnavailable(self->m_isHeadWriteUnresolved);
                        return;
                    }
                    self->m_current.texts[section.first] = object.value;
                    self->m_knownTexts[section.first] = object.value;
                    self->m_sectionsToRead.pop_back();
                    self->readNextSection();
                });
}

void EditSession::decide()
{
    m_result = m_prepare(m_current);
    if (m_result.status != EditStatus::Ready) {
        finish(EditOutcome{ m_result, false, false });
        return;
    }
    m_objectsToWrite.assign(m_result.objects.begin(), m_result.objects.end());
    m_attempts = 0;
    writeNextObject();
}

void EditSession::writeNextObject()
{
    if (m_objectsToWrite.empty()) {
        m_attempts = 0;
        writeHead();
        return;
    }
    const std::shared_ptr<EditSession> self = shared_from_this();
    m_store.put(m_objectsToWrite.back().first, m_objectsToWrite.back().second, ObjectVersion(0),
                [self](const StoreWrite &write) {
                    // The key contains the digest of the text, so an existing object has this text.
                    const bool exists = write.outcome == StoreOutcome::Done
                                        || write.outcome == StoreOutcome::Conflict;
                    if (exists) {
                        self->m_objectsToWrite.pop_back();
                        self->m_attempts = 0;
                        self->writeNextObject();
                        return;
                    }
                    if (++self->m_attempts >= MaxAttempts) {
                        self->finishUnavailable(self->m_isHeadWriteUnresolved);
                        return;
                    }
                    self->m_retryTimer = self->m_loop.schedule(RetryBackoff,
                                                               [self] { self->writeNextObject(); });
                });
}

void EditSession::writeHead()
{
    const std::shared_ptr<EditSession> self = shared_from_this();
    m_store.put(HeadKey, serializeHead(m_result.next), m_headVersion,
                [self](const StoreWrite &write) { self->onHeadWritten(write); });
}

void EditSession::onHeadWritten(const StoreWrite &write)
{
    switch (write.outcome) {
    case StoreOutcome::Done:
        finish(EditOutcome{ m_result, false, false });
        return;
    case StoreOutcome::Conflict:
        // An earlier write of this proposal, whose result was lost, may have changed the head.
        resolveHeadWrite();
        return;
    case StoreOutcome::NotApplied:
    case StoreOutcome::NotFound:
        if (!m_isHeadWriteUnresolved) {
            finishUnavailable(false);
            return;
        }
        resolveHeadWrite();
        return;
    case StoreOutcome::Unknown:
        m_isHeadWriteUnresolved = true;
        resolveHeadWrite();
        return;
    }
}

void EditSession::resolveHeadWrite()
{
    if (++m_attempts > MaxAttempts) {
        finishUnavailable(m_isHeadWriteUnresolved);
        return;
    }
    const std::shared_ptr<EditSession> self = shared_from_this();
    m_store.get(HeadKey, [self](const StoredObject &object) { self->onHeadReadBack(object); });
}

void EditSession::onHeadReadBack(const StoredObject &object)
{
    const std::shared_ptr<EditSession> self = shared_from_this();
    if (object.outcome != StoreOutcome::Done && !isMissing(object.outcome)) {
        m_retryTimer = m_loop.schedule(RetryBackoff, [self] { self->resolveHeadWrite(); });
        return;
    }
    Head head;
    try {
        head = isMissing(object.outcome) ? Head{} : parseHead(object.value);
    } catch (const Error &) {
        finishUnavailable(m_isHeadWriteUnresolved);
        return;
    }
    switch (reconcile(head, m_proposalId, m_result.next.generation)) {
    case ProposalOutcome::Accepted:
        finish(EditOutcome{ m_result, false, false });
        return;
    case ProposalOutcome::Undecided:
        m_retryTimer = m_loop.schedule(RetryBackoff, [self] { self->writeHead(); });
        return;
    case ProposalOutcome::NotAccepted:
        m_isHeadWriteUnresolved = false;
        restart();
        return;
    case ProposalOutcome::Forgotten:
        finishUnavailable(m_isHeadWriteUnresolved);
        return;
    }
}

void EditSession::restart()
{
    if (++m_restarts >= MaxRestarts) {
        finishUnavailable(false);
        return;
    }
    readHead();
}

void EditSession::finishUnavailable(bool mayBeAccepted)
{
    finish(EditOutcome{ m_result, true, mayBeAccepted });
}

void EditSession::finish(const EditOutcome &outcome)
{
    // The callback is called once and then destroyed: it may hold the last reference to objects
    // that the session uses.
    Callback callback;
    std::swap(callback, m_callback);
    if (callback) {
        callback(outcome);
    }
}

} // namespace Tarragon
