#include "Cases.h"

#include <cstdlib>
#include <cstring>
#include <exception>
#include <iostream>

#include <unistd.h>

using namespace Stage;

namespace {

/// Runs a case; each ends the process by finish().
void run(const std::string &name, const CaseInput &input)
{
    if (name == "broken-behind") {
        runBrokenBehind(input);
    }
    if (name == "stop-while-pipelining") {
        runStopWhilePipelining(input);
    }
    if (name == "slow-pipelines") {
        runSlowPipelines(input);
    }
    if (name == "additional-bytes") {
        runAdditionalBytes(input);
    }
    std::cerr << "stage: found the case \"" << name << "\", expected one of Cases.h\n";
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5) {
        std::cerr << "usage: stage CASE PROGRAM FOLDER RECORD\n";
        return 2;
    }
    const char *const trouble = std::getenv("TROUBLE");
    Record record(argv[4]);
    try {
        const CaseInput input{ argv[2], argv[3],
                               trouble == nullptr || std::strcmp(trouble, "0") != 0, record };
        record.line(std::string("case ") + argv[1] + (input.hasTrouble ? "" : ", TROUBLE=0"));
        run(argv[1], input);
    } catch (const std::exception &error) {
        record.line(std::string("not run: ") + error.what());
        std::cout << "not run: " << error.what() << "\n";
    }
    std::cout.flush();
    _exit(static_cast<int>(Outcome::NotRun));
}
