#include "ScriptedStore.h"

#include <optional>
#include <utility>

namespace Tarragon {

using Platform::CallOutcome;

ScriptedStore::ScriptedStore(VirtualLoop &loop, VirtualStore &contents)
    : m_loop(loop)
    , m_contents(contents)
{}

template<typename Page>
ScriptedStore::CallPtr
ScriptedStore::add(const std::string &kind, bool isWrite, milliseconds timeout,
                   const sigc::slot<void(const Page &)> &callback, const std::function<Page()> &run)
{
    const std::shared_ptr<OpenCall> call = std::make_shared<OpenCall>();
    call->kind = kind;
    call->isWrite = isWrite;
    const std::shared_ptr<std::optional<Page>> result = std::make_shared<std::optional<Page>>();
    const auto runOnce = [run, result]() -> const Page & {
        if (!result->has_value()) {
            *result = run();
        }
        return **result;
    };
    const std::weak_ptr<OpenCall> weak = call;
    const auto end = [weak, callback](const Page &page) {
        const std::shared_ptr<OpenCall> open = weak.lock();
        if (open != nullptr && !std::exchange(open->hasEnded, true)) {
            callback(page);
        }
    };
    call->answer = [this, end, runOnce, result](ScriptedAnswer answer) {
        Page failure;
        failure.reason = "no answer";
        switch (answer) {
        case ScriptedAnswer::Run:
            end(runOnce());
            break;
        case ScriptedAnswer::RunUnanswered:
            runOnce();
            break;
        case ScriptedAnswer::Reject:
            if (!result->has_value()) {
                failure.outcome = CallOutcome::NotApplied;
                failure.reason = "status 503";
                failure.era = era();
            }
            end(failure);
            break;
        case ScriptedAnswer::LoseAnswer:
            runOnce();
            end(failure);
            break;
        case ScriptedAnswer::LoseCall:
            end(failure);
            break;
        }
    };
    m_loop.run(timeout, [end] {
        Page page;
        page.reason = "timed out";
        end(page);
    });
    m_calls.push_back(call);
    return std::make_unique<Call>(call);
}

ScriptedStore::CallPtr
ScriptedStore::list(const std::string &kind, const std::string &, milliseconds timeout, bool,
                    const sigc::slot<void(const Platform::ItemPage &)> &callback)
{
    return add<Platform::ItemPage>(kind, false, timeout, callback,
                                   [this, kind] { return m_contents.list(kind); });
}

ScriptedStore::CallPtr
ScriptedStore::watch(const std::string &kind, const StoreRevision &revision, milliseconds,
                     milliseconds timeout, bool,
                     const sigc::slot<void(const Platform::ChangePage &)> &callback)
{
    return add<Platform::ChangePage>(kind, false, timeout, callback, [this, kind, revision] {
        return m_contents.changes(kind, revision);
    });
}

ScriptedStore::CallPtr
ScriptedStore::create(const std::string &kind, const std::string &name, const nlohmann::json &spec,
                      milliseconds timeout,
                      const sigc::slot<void(const Platform::ItemResult &)> &callback)
{
    return add<Platform::ItemResult>(kind, true, timeout, callback, [this, kind, name, spec] {
        if (m_contents.objects().find(kind, name) != nullptr) {
            return ended(CallOutcome::Conflict);
        }
        m_contents.put(kind, name, spec);
        return written(kind, name);
    });
}

ScriptedStore::CallPtr
ScriptedStore::replace(const std::string &kind, const std::string &name, const nlohmann::json &spec,
                       const StoreRevision &, milliseconds timeout,
                       const sigc::slot<void(const Platform::ItemResult &)> &callback)
{
    return add<Platform::ItemResult>(kind, true, timeout, callback, [this, kind, name, spec] {
        if (m_contents.objects().find(kind, name) == nullptr) {
            return ended(CallOutcome::NotFound);
        }
        m_contents.put(kind, name, spec);
        return written(kind, name);
    });
}

ScriptedStore::CallPtr
ScriptedStore::remove(const std::string &kind, const std::string &name,
                      const StoreRevision &revision, milliseconds timeout,
                      const sigc::slot<void(const Platform::ItemResult &)> &callback)
{
    return add<Platform::ItemResult>(kind, true, timeout, callback, [this, kind, name, revision] {
        if (m_contents.objects().revisionOf(kind, name) != revision.number) {
            return ended(CallOutcome::Conflict);
        }
        m_contents.remove(kind, name);
        return ended(CallOutcome::Done);
    });
}

std::vector<std::shared_ptr<ScriptedStore::OpenCall>> ScriptedStore::openCalls()
{
    std::erase_if(m_calls, [](const std::shared_ptr<OpenCall> &it) { return it->hasEnded; });
    return m_calls;
}

Platform::ItemResult ScriptedStore::written(const std::string &kind, const std::string &name) const
{
    Platform::ItemResult result = ended(CallOutcome::Done);
    const StandInObjects::Object &object = *m_contents.objects().find(kind, name);
    result.item =
            Platform::StoredItem{ name, StoreRevision{ era(), object.revision }, object.spec };
    return result;
}

Platform::ItemResult ScriptedStore::ended(CallOutcome outcome) const
{
    Platform::ItemResult result;
    result.outcome = outcome;
    result.era = era();
    return result;
}

} // namespace Tarragon
