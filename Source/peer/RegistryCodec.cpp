#include "peer/RegistryCodec.h"

#include "base/Error.h"
#include "peer/WireTypes.h"

#include <optional>

namespace Tarragon {

namespace {

using WireMessage = PeerRpc::RegistryMessage;

void writeKey(PeerRpc::ClaimKey::Builder builder, const ClaimKey &key)
{
    writeInstance(builder.initRunner(), key.runner, key.runnerIncarnation);
    builder.setSequence(key.sequence);
}

ClaimKey readKey(PeerRpc::ClaimKey::Reader reader)
{
    const InstanceRun runner = readInstance(reader.getRunner());
    return ClaimKey{ runner.instance, runner.incarnation, reader.getSequence() };
}

void writeResponse(PeerRpc::FinishedResponse::Builder builder, const FinishedResponse &response)
{
    builder.setStatus(static_cast<std::uint16_t>(response.status));
    capnp::List<PeerRpc::HeaderField>::Builder fields =
            builder.initHeaders(static_cast<unsigned int>(response.headers.size()));
    for (std::size_t i = 0; i < response.headers.size(); ++i) {
        fields[static_cast<unsigned int>(i)].setName(response.headers[i].first);
        fields[static_cast<unsigned int>(i)].setValue(response.headers[i].second);
    }
    builder.setBody(kj::arrayPtr(reinterpret_cast<const kj::byte *>(response.body.data()),
                                 response.body.size()));
}

/// Writes the response of a message if it is set.
template<typename Builder>
void writeOptionalResponse(Builder builder, const std::optional<FinishedResponse> &response)
{
    if (response.has_value()) {
        writeResponse(builder.initResponse(), *response);
    }
}

template<typename Reader>
std::optional<FinishedResponse> readOptionalResponse(Reader message)
{
    if (!message.hasResponse()) {
        return std::nullopt;
    }
    const PeerRpc::FinishedResponse::Reader reader = message.getResponse();
    FinishedResponse response;
    response.status = reader.getStatus();
    for (const PeerRpc::HeaderField::Reader it : reader.getHeaders()) {
        response.headers.emplace_back(readText(it.getName()), readText(it.getValue()));
    }
    const capnp::Data::Reader body = reader.getBody();
    response.body.assign(reinterpret_cast<const char *>(body.begin()), body.size());
    return response;
}

/// Converts an enumerator of the schema to the C++ enumerator of the same number. Throws Error if
/// its number is above that of "last".
template<typename Enumeration, typename WireEnumeration>
Enumeration readEnumeration(WireEnumeration value, Enumeration last, const char *name)
{
    if (static_cast<int>(value) > static_cast<int>(last)) {
        throw Error(std::string(name) + ": found " + std::to_string(static_cast<int>(value))
                    + ", expected 0 to " + std::to_string(static_cast<int>(last)));
    }
    return static_cast<Enumeration>(value);
}

void writeClaim(PeerRpc::ClaimRequest::Builder builder, const ClaimRequest &message)
{
    builder.setId(message.id.value());
    writeKey(builder.initClaim(), message.claim);
    builder.setAttempt(static_cast<std::uint32_t>(message.attempt));
}

/// Visitor that writes a payload to the union member for its kind.
struct PayloadWriter
{
    WireMessage::Builder builder;

    void operator()(const ClaimRequest &message)
    {
        writeClaim(message.settle ? builder.initSettle() : builder.initClaim(), message);
    }

    void operator()(const ClaimAnswer &message)
    {
        PeerRpc::ClaimAnswer::Builder out = builder.initClaimAnswer();
        out.setId(message.id.value());
        writeKey(out.initClaim(), message.claim);
        out.setOutcome(static_cast<PeerRpc::ClaimOutcome>(message.outcome));
        out.setFromBackup(message.fromBackup);
        writeKey(out.initHolder(), message.holder);
        out.setVerdict(toWire(message.verdict));
        writeOptionalResponse(out, message.response);
    }

    void operator()(const OutcomeReport &message)
    {
        PeerRpc::OutcomeReport::Builder out = builder.initRecordOutcome();
        out.setId(message.id.value());
        writeKey(out.initClaim(), message.claim);
        out.setVerdict(toWire(message.verdict));
        writeOptionalResponse(out, message.response);
    }

    void operator()(const ConfirmRequest &message)
    {
        PeerRpc::ConfirmRequest::Builder out = builder.initConfirm();
        out.setId(message.id.value());
        writeKey(out.initClaim(), message.claim);
        out.setAttempt(static_cast<std::uint32_t>(message.attempt));
        out.setSequence(message.sequence);
        out.setOldestServed(message.oldestServed.value());
    }

    void operator()(const ConfirmAnswer &message)
    {
        PeerRpc::ConfirmAnswer::Builder out = builder.initConfirmAnswer();
        out.setId(message.id.value());
        out.setSequence(message.sequence);
        out.setOutcome(static_cast<PeerRpc::ConfirmOutcome>(message.outcome));
    }

    void operator()(const OutcomeCopy &message)
    {
        PeerRpc::OutcomeCopy::Builder out = builder.initOutcomeCopy();
        out.setId(message.id.value());
        out.setSequence(message.sequence);
        out.setVerdict(toWire(message.verdict));
        writeOptionalResponse(out, message.response);
    }

    void operator()(const BackupRegistration &message)
    {
        PeerRpc::BackupRegistration::Builder out = builder.initRegistration();
        writeInstance(out.initPrimary(), message.primary, message.primaryIncarnation);
        writeInstance(out.initBackup(), message.backup, message.backupIncarnation);
        out.setFrom(message.from.value());
        out.setCurrent(message.current.value());
        out.setOldestServed(message.oldestServed.value());
    }

    void operator()(const RegistrationAnswer &message)
    {
        PeerRpc::RegistrationAnswer::Builder out = builder.initRegistrationAnswer();
        writeInstance(out.initPrimary(), message.primary, message.primaryIncarnation);
        writeInstance(out.initBackup(), message.backup, message.backupIncarnation);
        out.setFrom(message.from.value());
        out.setAccepted(message.accepted);
    }
};

RegistryPayload readClaim(PeerRpc::ClaimRequest::Reader reader, bool isSettle)
{
    return ClaimRequest{ RequestId(readText(reader.getId())), readKey(reader.getClaim()),
                         static_cast<int>(reader.getAttempt()), isSettle };
}

RegistryPayload readClaimAnswer(PeerRpc::ClaimAnswer::Reader reader)
{
    ClaimAnswer message;
    message.id = RequestId(readText(reader.getId()));
    message.claim = readKey(reader.getClaim());
    message.outcome = readEnumeration(reader.getOutcome(), ClaimOutcome::NoBackup, "outcome");
    message.fromBackup = reader.getFromBackup();
    message.holder = readKey(reader.getHolder());
    message.verdict = fromWire(reader.getVerdict());
    message.response = readOptionalResponse(reader);
    return message;
}

RegistryPayload readOutcome(PeerRpc::OutcomeReport::Reader reader)
{
    return OutcomeReport{ RequestId(readText(reader.getId())), readKey(reader.getClaim()),
                          fromWire(reader.getVerdict()), readOptionalResponse(reader) };
}

RegistryPayload readConfirm(PeerRpc::ConfirmRequest::Reader reader)
{
    return ConfirmRequest{ RequestId(readText(reader.getId())), readKey(reader.getClaim()),
                           static_cast<int>(reader.getAttempt()), reader.getSequence(),
                           SeedGeneration(reader.getOldestServed()) };
}

RegistryPayload readConfirmAnswer(PeerRpc::ConfirmAnswer::Reader reader)
{
    return ConfirmAnswer{ RequestId(readText(reader.getId())), reader.getSequence(),
                          readEnumeration(reader.getOutcome(), ConfirmOutcome::Stale, "outcome") };
}

RegistryPayload readOutcomeCopy(PeerRpc::OutcomeCopy::Reader reader)
{
    return OutcomeCopy{ RequestId(readText(reader.getId())), reader.getSequence(),
                        fromWire(reader.getVerdict()), readOptionalResponse(reader) };
}

RegistryPayload readRegistration(PeerRpc::BackupRegistration::Reader reader)
{
    const InstanceRun primary = readInstance(reader.getPrimary());
    const InstanceRun backup = readInstance(reader.getBackup());
    return BackupRegistration{ primary.instance,
                               primary.incarnation,
                               backup.instance,
                               backup.incarnation,
                               SeedGeneration(reader.getFrom()),
                               SeedGeneration(reader.getCurrent()),
                               SeedGeneration(reader.getOldestServed()) };
}

RegistryPayload readRegistrationAnswer(PeerRpc::RegistrationAnswer::Reader reader)
{
    const InstanceRun primary = readInstance(reader.getPrimary());
    const InstanceRun backup = readInstance(reader.getBackup());
    return RegistrationAnswer{ backup.instance,
                               backup.incarnation,
                               primary.instance,
                               primary.incarnation,
                               SeedGeneration(reader.getFrom()),
                               reader.getAccepted() };
}

} // namespace

void writeRegistryPayload(PeerRpc::RegistryMessage::Builder builder, const RegistryPayload &payload)
{
    std::visit(PayloadWriter{ builder }, payload);
}

RegistryPayload readRegistryPayload(PeerRpc::RegistryMessage::Reader reader)
{
    switch (reader.which()) {
    case WireMessage::CLAIM:
        return readClaim(reader.getClaim(), false);
    case WireMessage::SETTLE:
        return readClaim(reader.getSettle(), true);
    case WireMessage::CLAIM_ANSWER:
        return readClaimAnswer(reader.getClaimAnswer());
    case WireMessage::RECORD_OUTCOME:
        return readOutcome(reader.getRecordOutcome());
    case WireMessage::CONFIRM:
        return readConfirm(reader.getConfirm());
    case WireMessage::CONFIRM_ANSWER:
        return readConfirmAnswer(reader.getConfirmAnswer());
    case WireMessage::OUTCOME_COPY:
        return readOutcomeCopy(reader.getOutcomeCopy());
    case WireMessage::REGISTRATION:
        return readRegistration(reader.getRegistration());
    case WireMessage::REGISTRATION_ANSWER:
        return readRegistrationAnswer(reader.getRegistrationAnswer());
    }
    throw Error("registry message: found kind " + std::to_string(static_cast<int>(reader.which()))
                + ", expected 0 to 8");
}

} // namespace Tarragon
