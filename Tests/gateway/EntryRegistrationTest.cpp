#include "gateway/EntryRegistration.h"

#include "StandIns/platform/StandInStore.h"
#include "Support/LoopTest.h"
#include "platform/RegistryDecoder.h"

namespace Tarragon {
namespace {

EntryRecord recordOf(const std::string &id)
{
    return EntryRecord{ InstanceId(id), FailureDomainId("d1"),      RegionId("r1"),
                        Incarnation(1), Endpoint{ "127.0.0.1", 1 }, Endpoint{ "127.0.0.1", 2 } };
}

class EntryRegistrationTest : public LoopTest
{
protected:
    static Platform::StoredItem itemOf(const std::string &id)
    {
        return Platform::StoredItem{ id, StoreRevision{ StoreEra(1), 1 },
                                     Platform::encodeEntry(recordOf(id)) };
    }

    StandInStore m_standIn{ m_loop, "127.0.0.1", 0, 0 };
    HttpClient m_client{ m_loop };
    Platform::ObjectStore m_store{ m_client, Endpoint{ "127.0.0.1", m_standIn.port() } };
    EntryMembership m_membership{ recordOf("e1"), 1 };
    EntryRegistration m_registration{ m_loop, m_store, m_membership, 1 };
};

// Guards against limits of the whole deployment that are divided by too few entries, because
// registered entries are dropped at the periodic check.
TEST_F(EntryRegistrationTest, RegisteredEntriesOutlastThePeriodicCheck)
{
    m_registration.start();
    m_registration.onSnapshot({ itemOf("e1"), itemOf("e2") }, false);
    runFor(milliseconds(2'200));
    EXPECT_EQ(m_registration.records().size(), 2u);
}

} // namespace
} // namespace Tarragon
