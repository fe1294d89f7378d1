#pragma once

#include "Stage.h"

namespace Stage {

/// How a case ended; the exit code of its script.
enum class Outcome { Held = 0, Broken = 1, NotRun = 2 };

/// What a case gets from its script.
struct CaseInput
{
    std::string program;
    std::string folder;
    /// False with TROUBLE=0: the case leaves out its disruption.
    bool hasTrouble = true;
    Record &record;
};

/// Answers of sound upstreams are lost when the answer behind them on the connection breaks off.
void runBrokenBehind(const CaseInput &input);
/// Answers are lost during a planned stop when the client has sent a further request.
void runStopWhilePipelining(const CaseInput &input);
/// Clients that pipeline and read slowly make the process exceed the machine's memory.
void runSlowPipelines(const CaseInput &input);
/// Additional bytes after a complete response become the answer to the next request.
void runAdditionalBytes(const CaseInput &input);

/// Ends the gateway, prints the summary and ends this process. The threads of the stand-ins still
/// run and must not see destroyed objects, so that a case does not return once they are started.
[[noreturn]] void finish(const CaseInput &input, Gateway &gateway, const std::string &summary,
                         Outcome outcome);

/// Returns a safe or unsafe request; the method is POST if there is a body.
std::string requestText(const std::string &path, const std::string &id, int timeMs,
                        const std::string &body = "");
/// Returns the headers of an upstream's answer to a request.
Headers answerHeaders(const Message &request);

} // namespace Stage
