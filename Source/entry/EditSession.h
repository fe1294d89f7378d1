#pragma once

#include "document/DocumentEdit.h"
#include "net/EventLoop.h"
#include "platform/ObjectStoreClient.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Tarragon {

/// How an edit ended.
struct EditOutcome
{
    /// The result of checking the edit; valid unless isStoreUnavailable is set.
    EditResult result;
    /// Whether a call to the store failed, or the outcome of a write could not be determined.
    bool isStoreUnavailable = false;
    /// Whether the edit may have been accepted or may still be; only with isStoreUnavailable.
    bool mayBeAccepted = false;
};

/// Applies one edit of the document to the store: reads the head, checks the edit, writes the texts
/// of the changed sections and then the head by a conditional update. The edit is accepted by the
/// update of the head. Starts again from the new head if another edit was accepted meanwhile; the
/// check then finds whether the edits conflict. If the result of the update is lost, the session
/// reads the head back to see whether the edit was accepted.
class EditSession : public std::enable_shared_from_this<EditSession>
{
public:
    /// Checks the edit against the newest document. An empty head stands for no document.
    using Prepare = std::function<EditResult(const CurrentDocument &)>;
    using Callback = std::function<void(const EditOutcome &)>;

    /// A text in knownTexts whose digest equals that in the head is not read from the store.
    EditSession(EventLoop &loop, ObjectStoreClient &store, SectionTexts knownTexts, Prepare prepare,
                std::string proposalId, Callback callback);

    void start();

private:
    void readHead();
    void onHead(const StoredObject &object);
    void readNextSection();
    void decide();
    void writeNextObject();
    void writeHead();
    void onHeadWritten(const StoreWrite &write);
    void resolveHeadWrite();
    void onHeadReadBack(const StoredObject &object);
    void restart();
    void finishUnavailable(bool mayBeAccepted);
    void finish(const EditOutcome &outcome);

    EventLoop &m_loop;
    ObjectStoreClient &m_store;
    SectionTexts m_knownTexts;
    Prepare m_prepare;
    std::string m_proposalId;
    Callback m_callback;
    CurrentDocument m_current;
    ObjectVersion m_headVersion;
    std::vector<std::pair<SectionName, std::string>> m_sectionsToRead;
    EditResult m_result;
    std::vector<std::pair<std::string, std::string>> m_objectsToWrite;
    int m_restarts = 0;
    int m_attempts = 0;
    /// Whether a write of the head was sent and its outcome is still unknown.
    bool m_isHeadWriteUnresolved = false;
    Timer m_retryTimer;
};

} // namespace Tarragon
