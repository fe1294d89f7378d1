#include "ctl/Command.h"

#include <algorithm>
#include <iostream>
#include <vector>

namespace Tarragon {

namespace {

void printHelp(std::ostream &out, const std::vector<Command> &commands)
{
    static constexpr std::size_t NameWidth = 10;
    out << "Controls tarragonstage through the administration API of its entries.\n\n"
           "Usage: tarragonctl COMMAND [OPTION...]\n\n";
    for (const Command &it : commands) {
        out << "  " << it.name << std::string(NameWidth - it.name.size(), ' ') << it.summary
            << "\n";
    }
    out << "\ntarragonctl COMMAND --help shows a command's options.\n";
}

int runProgram(int argc, const char *const *argv)
{
    const std::vector<Command> commands = { checkCommand(),   applyCommand(),   showCommand(),
                                            diffCommand(),    historyCommand(), drainCommand(),
                                            undrainCommand(), statusCommand(),  whyCommand(),
                                            explainCommand() };
    const std::string name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "help") {
        printHelp(std::cout, commands);
        return int(ExitCode::Done);
    }
    const auto it = std::find_if(commands.begin(), commands.end(),
                                 [&](const Command &command) { return command.name == name; });
    if (it == commands.end()) {
        std::cerr << "tarragonctl: found command \"" << name
                  << "\", expected one of the commands below\n\n";
        printHelp(std::cerr, commands);
        return int(ExitCode::Usage);
    }
    return int(runCommand(*it, argc - 1, argv + 1));
}

} // namespace

} // namespace Tarragon

int main(int argc, char **argv)
{
    return Tarragon::runProgram(argc, argv);
}
