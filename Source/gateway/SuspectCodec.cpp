#include "gateway/SuspectCodec.h"

namespace Tarragon {

void fillSuspect(PeerRpc::SuspectItem::Builder builder, const SuspectRecord &record)
{
    builder.setFingerprint(record.fingerprint.value());
    builder.setClearances(record.clearances.value());
    builder.setLateTrials(record.lateTrials);
    capnp::List<std::uint64_t>::Builder endings =
            builder.initEndings(static_cast<unsigned int>(record.endings.size()));
    unsigned int i = 0;
    for (const TargetEnding it : record.endings) {
        endings.set(i++, it.value());
    }
}

void fillSuspects(capnp::List<PeerRpc::SuspectItem>::Builder list,
                  const std::vector<SuspectRecord> &records)
{
    for (unsigned int i = 0; i < list.size(); ++i) {
        fillSuspect(list[i], records[i]);
    }
}

SuspectRecord decodeSuspect(PeerRpc::SuspectItem::Reader reader)
{
    SuspectRecord record;
    record.fingerprint = RequestFingerprint(reader.getFingerprint());
    record.clearances = ClearanceCount(reader.getClearances());
    record.lateTrials = reader.getLateTrials();
    for (const std::uint64_t it : reader.getEndings()) {
        if (record.endings.size() == SuspectRecord::MaxEndings) {
            break;
        }
        record.endings.insert(TargetEnding(it));
    }
    return record;
}

std::vector<SuspectRecord> decodeSuspects(capnp::List<PeerRpc::SuspectItem>::Reader list)
{
    std::vector<SuspectRecord> records;
    records.reserve(list.size());
    for (const PeerRpc::SuspectItem::Reader it : list) {
        records.push_back(decodeSuspect(it));
    }
    return records;
}

} // namespace Tarragon
