#include "peer/RegistryCodec.h"
#include "peer/SlotCodec.h"

#include <capnp/message.h>
#include <gtest/gtest.h>

namespace Tarragon {
namespace {

RegistryPayload roundTrip(const RegistryPayload &payload)
{
    capnp::MallocMessageBuilder message;
    const PeerRpc::RegistryMessage::Builder builder = message.initRoot<PeerRpc::RegistryMessage>();
    writeRegistryPayload(builder, payload);
    return readRegistryPayload(builder.asReader());
}

const ClaimKey Key{ InstanceId("e3"), Incarnation(77), 5 };

// Guards against a verdict or response that is altered by encoding and decoding: a booking could
// then run twice.
TEST(RegistryCodec, KeepsClaimAnswerWithResponse)
{
    ClaimAnswer answer;
    answer.id = RequestId("seed.id");
    answer.claim = Key;
    answer.outcome = ClaimOutcome::Finished;
    answer.fromBackup = true;
    answer.holder = ClaimKey{ InstanceId("e4"), Incarnation(78), 6 };
    answer.verdict = Verdict::Ran;
    answer.response =
            FinishedResponse{ 201, { { "Content-Type", "text/plain" } }, std::string("a\0b", 3) };
    const ClaimAnswer read = std::get<ClaimAnswer>(roundTrip(answer));
    EXPECT_EQ(read.id, answer.id);
    EXPECT_EQ(read.claim, answer.claim);
    EXPECT_EQ(read.outcome, ClaimOutcome::Finished);
    EXPECT_TRUE(read.fromBackup);
    EXPECT_EQ(read.holder, answer.holder);
    EXPECT_EQ(read.verdict, Verdict::Ran);
    ASSERT_TRUE(read.response.has_value());
    EXPECT_EQ(read.response->status, 201);
    EXPECT_EQ(read.response->headers, answer.response->headers);
    EXPECT_EQ(read.response->body, answer.response->body);
}

TEST(RegistryCodec, KeepsTheKindOfEachMessage)
{
    const std::vector<RegistryPayload> payloads{
        ClaimRequest{ RequestId("a"), Key, 2, true },
        ClaimAnswer{},
        OutcomeReport{ RequestId("a"), Key, Verdict::MayHaveRun, std::nullopt },
        ConfirmRequest{ RequestId("a"), Key, 1, 9, SeedGeneration(3) },
        ConfirmAnswer{ RequestId("a"), 9, ConfirmOutcome::TakenOver },
        OutcomeCopy{ RequestId("a"), 9, Verdict::NotRun, std::nullopt },
        BackupRegistration{ InstanceId("p"), Incarnation(1), InstanceId("b"), Incarnation(2),
                            SeedGeneration(1), SeedGeneration(2), SeedGeneration(3) },
        RegistrationAnswer{ InstanceId("b"), Incarnation(2), InstanceId("p"), Incarnation(1),
                            SeedGeneration(1), true },
    };
    for (const RegistryPayload &it : payloads) {
        EXPECT_EQ(roundTrip(it).index(), it.index());
    }
    const ConfirmRequest confirm = std::get<ConfirmRequest>(roundTrip(payloads[3]));
    EXPECT_EQ(confirm.sequence, 9U);
    EXPECT_EQ(confirm.oldestServed, SeedGeneration(3));
    const RegistrationAnswer answer = std::get<RegistrationAnswer>(roundTrip(payloads[7]));
    EXPECT_EQ(answer.primary, InstanceId("p"));
    EXPECT_EQ(answer.backup, InstanceId("b"));
    EXPECT_TRUE(answer.accepted);
}

// Guards against reading an outcome that a newer software version has added as a permission.
TEST(RegistryCodec, RefusesUnknownOutcome)
{
    capnp::MallocMessageBuilder message;
    PeerRpc::RegistryMessage::Builder builder = message.initRoot<PeerRpc::RegistryMessage>();
    writeRegistryPayload(builder, ConfirmAnswer{ RequestId("a"), 1, ConfirmOutcome::Stale });
    builder.getConfirmAnswer().setOutcome(static_cast<PeerRpc::ConfirmOutcome>(200));
    EXPECT_ANY_THROW(readRegistryPayload(builder.asReader()));
}

TEST(SlotCodec, KeepsGrantMessages)
{
    capnp::MallocMessageBuilder message;
    GrantRequest request;
    request.from = InstanceId("e1");
    request.fromIncarnation = Incarnation(1);
    request.to = InstanceId("e2");
    request.toIncarnation = Incarnation(2);
    request.sequence = 3;
    request.wanted = { TargetId("t1"), TargetId("t1") };
    request.renewals = { GrantId(4) };
    request.returns = { GrantId(5), GrantId(6) };
    const PeerRpc::SlotRequest::Builder builder = message.initRoot<PeerRpc::SlotRequest>();
    writeGrantRequest(builder, request);
    const GrantRequest read = readGrantRequest(builder.asReader());
    EXPECT_EQ(read.from, request.from);
    EXPECT_EQ(read.toIncarnation, request.toIncarnation);
    EXPECT_EQ(read.wanted, request.wanted);
    EXPECT_EQ(read.renewals, request.renewals);
    EXPECT_EQ(read.returns, request.returns);

    capnp::MallocMessageBuilder other;
    GrantResponse response;
    response.from = InstanceId("e2");
    response.duration = microseconds(2'000'000);
    response.granted = { SlotGrant{ GrantId(7), TargetId("t1") } };
    response.renewed = { GrantId(4) };
    const PeerRpc::SlotResponse::Builder out = other.initRoot<PeerRpc::SlotResponse>();
    writeGrantResponse(out, response);
    const GrantResponse back = readGrantResponse(out.asReader());
    EXPECT_EQ(back.duration, response.duration);
    ASSERT_EQ(back.granted.size(), 1U);
    EXPECT_EQ(back.granted[0].id, GrantId(7));
    EXPECT_EQ(back.renewed, response.renewed);
}

TEST(SlotCodec, KeepsShareReport)
{
    capnp::MallocMessageBuilder message;
    const ShareReport report{ InstanceId("e1"), Incarnation(1), 2, Generation(3), Generation(4),
                              Generation(5),    Incarnation(6), 7 };
    const PeerRpc::ShareReport::Builder builder = message.initRoot<PeerRpc::ShareReport>();
    writeShareReport(builder, report);
    const ShareReport read =
            readShareReport(builder.asReader(), report.from, report.fromIncarnation);
    EXPECT_EQ(read.sequence, 2U);
    EXPECT_EQ(read.adopted, Generation(3));
    EXPECT_EQ(read.settled, Generation(4));
    EXPECT_EQ(read.closed, Generation(5));
    EXPECT_EQ(read.echoedIncarnation, Incarnation(6));
    EXPECT_EQ(read.echoedSequence, 7U);
}

} // namespace
} // namespace Tarragon
