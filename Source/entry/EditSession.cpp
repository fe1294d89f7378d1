#include "entry/EditSession.h"

#include "base/Digest.h"
#include "base/Error.h"
#include "document/Head.h"

namespace Tarragon {

namespace {

/// Edits by other teams can overtake this often before the edit is given up.
constexpr int MaxRounds = 16;

/// Repetitions of a single call to the store.
constexpr int MaxTries = 5;

constexpr milliseconds PauseBetweenTries{ 200 };

bool isMissing(StoreOutcome outcome)
{
    return outcome == StoreOutcome::NotFound;
}

} // namespace

EditSession::EditSession(EventLoop &loop, ObjectStoreClient &store, SectionTexts known,
                         Prepare prepare, std::string proposalId, Callback callback)
    : m_loop(loop)
    , m_store(store)
    , m_known(std::move(known))
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
        unavailable(m_isHeadUncertain);
        return;
    }
    m_current = {};
    m_headVersion = object.version;
    m_toRead.clear();
    if (isMissing(object.outcome)) {
        m_headVersion = ObjectVersion(0);
        decide();
        return;
    }
    try {
        m_current.head = parseHead(object.value);
    } catch (const Error &) {
        unavailable(m_isHeadUncertain);
        return;
    }
    for (const auto &[name, reference] : m_current.head.sections) {
        const SectionTexts::const_iterator it = m_known.find(name);
        if (it != m_known.end() && sha256Hex(it->second) == reference.digest) {
            m_current.texts[name] = it->second;
        } else {
            m_toRead.emplace_back(name, reference.digest);
        }
    }
    readNextSection();
}

void EditSession::readNextSection()
{
    if (m_toRead.empty()) {
        decide();
        return;
    }
    const std::shared_ptr<EditSession> self = shared_from_this();
    const std::pair<SectionName, std::string> section = m_toRead.back();
    m_store.get(sectionObjectKey(section.first, section.second),
                [self, section](const StoredObject &object) {
                    const bool isWhole = object.outcome == StoreOutcome::Done
                                         && sha256Hex(object.value) == section.second;
                    if (!isWhole) {
                        self->unavailable(self->m_isHeadUncertain);
                        return;
                    }
                    self->m_current.texts[section.first] = object.value;
                    self->m_known[section.first] = object.value;
                    self->m_toRead.pop_back();
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
    m_toWrite.assign(m_result.objects.begin(), m_result.objects.end());
    m_tries = 0;
    writeNextObject();
}

void EditSession::writeNextObject()
{
    if (m_toWrite.empty()) {
        m_tries = 0;
        writeHead();
        return;
    }
    const std::shared_ptr<EditSession> self = shared_from_this();
    m_store.put(m_toWrite.back().first, m_toWrite.back().second, ObjectVersion(0),
                [self](const StoreWrite &write) {
                    // The key holds the text's digest, so an object that exists has this text.
                    const bool isThere = write.outcome == StoreOutcome::Done
                                         || write.outcome == StoreOutcome::Conflict;
                    if (isThere) {
                        self->m_toWrite.pop_back();
                        self->m_tries = 0;
                        self->writeNextObject();
                        return;
                    }
                    if (++self->m_tries >= MaxTries) {
                        self->unavailable(self->m_isHeadUncertain);
                        return;
                    }
                    self->m_pause = self->m_loop.schedule(PauseBetweenTries,
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
        // The head may have been moved by this proposal itself, by a write whose answer was lost.
        settle();
        return;
    case StoreOutcome::NotApplied:
    case StoreOutcome::NotFound:
        if (!m_isHeadUncertain) {
            unavailable(false);
            return;
        }
        settle();
        return;
    case StoreOutcome::Unknown:
        m_isHeadUncertain = true;
        settle();
        return;
    }
}

void EditSession::settle()
{
    if (++m_tries > MaxTries) {
        unavailable(m_isHeadUncertain);
        return;
    }
    const std::shared_ptr<EditSession> self = shared_from_this();
    m_store.get(HeadKey, [self](const StoredObject &object) { self->onHeadReadBack(object); });
}

void EditSession::onHeadReadBack(const StoredObject &object)
{
    const std::shared_ptr<EditSession> self = shared_from_this();
    if (object.outcome != StoreOutcome::Done && !isMissing(object.outcome)) {
        m_pause = m_loop.schedule(PauseBetweenTries, [self] { self->settle(); });
        return;
    }
    Head head;
    try {
        head = isMissing(object.outcome) ? Head{} : parseHead(object.value);
    } catch (const Error &) {
        unavailable(m_isHeadUncertain);
        return;
    }
    switch (reconcile(head, m_proposalId, m_result.next.generation)) {
    case ProposalOutcome::Accepted:
        finish(EditOutcome{ m_result, false, false });
        return;
    case ProposalOutcome::Undecided:
        m_pause = m_loop.schedule(PauseBetweenTries, [self] { self->writeHead(); });
        return;
    case ProposalOutcome::NotAccepted:
        m_isHeadUncertain = false;
        startAgain();
        return;
    case ProposalOutcome::Forgotten:
        unavailable(m_isHeadUncertain);
        return;
    }
}

void EditSession::startAgain()
{
    if (++m_rounds >= MaxRounds) {
        unavailable(false);
        return;
    }
    readHead();
}

void EditSession::unavailable(bool mayBeAccepted)
{
    finish(EditOutcome{ m_result, true, mayBeAccepted });
}

void EditSession::finish(const EditOutcome &outcome)
{
    // The callback may hold the last reference to what the session uses; it is called once.
    Callback callback;
    std::swap(callback, m_callback);
    if (callback) {
        callback(outcome);
    }
}

} // namespace Tarragon
