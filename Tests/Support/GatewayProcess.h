#pragma once

#include "Support/LoopbackAddress.h"

#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Tarragon {

/// What a GatewayProcess logs.
struct GatewayLogOptions
{
    std::string level = "ERROR";
    /// File to which the log is written; empty for the standard output of the test.
    std::filesystem::path file;
};

/// A gateway that runs as a child process on free ports of the loopback address. The destructor
/// ends it.
class GatewayProcess
{
public:
    explicit GatewayProcess(std::uint16_t storePort, const GatewayLogOptions &log = {})
        : m_front(freePort())
        , m_file(std::filesystem::temp_directory_path()
                 / ("gateway-" + std::to_string(getpid()) + "-" + std::to_string(m_front)))
    {
        std::ofstream settings(m_file);
        settings << "instance: e1\nfailureDomain: d1\nregion: r1\nfailureDomains: { d1: r1 }\n"
                 << "front: \"127.0.0.1:" << m_front << "\"\n"
                 << "store: \"127.0.0.1:" << storePort << "\"\nlog:\n  level: " << log.level
                 << "\n";
        for (const char *key : { "readiness", "lookup", "rpc", "metrics" }) {
            settings << key << ": \"127.0.0.1:" << freePort() << "\"\n";
        }
        settings.close();
        const std::string program = std::string(TARRAGON_BIN_DIR) + "/tarragonstage";
        std::array<std::string, 4> words = { program, "gateway", "--settings", m_file.string() };
        std::array<char *, 5> arguments = { words[0].data(), words[1].data(), words[2].data(),
                                            words[3].data(), nullptr };
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        if (!log.file.empty()) {
            posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.file.c_str(),
                                             O_WRONLY | O_CREAT | O_TRUNC, S_IRUSR | S_IWUSR);
        }
        EXPECT_EQ(
                posix_spawn(&m_pid, program.c_str(), &actions, nullptr, arguments.data(), environ),
                0);
        posix_spawn_file_actions_destroy(&actions);
    }
    ~GatewayProcess()
    {
        if (isAlive()) {
            kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
        }
        std::filesystem::remove(m_file);
    }
    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;

    std::uint16_t frontPort() const { return m_front; }
    bool isAlive()
    {
        m_hasEnded = m_hasEnded || waitpid(m_pid, nullptr, WNOHANG) != 0;
        return !m_hasEnded;
    }
    /// Stops the process as a debugger or a suspended machine does.
    void pause() const { kill(m_pid, SIGSTOP); }
    /// Lets the process go on after pause().
    void resume() const { kill(m_pid, SIGCONT); }
    /// Returns the largest resident memory so far, in bytes; 0 if the process has ended.
    std::size_t peakMemory() const
    {
        static constexpr std::size_t BytesPerUnit = 1'024;
        std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
        for (std::string word; status >> word;) {
            if (word == "VmHWM:") {
                std::size_t amount = 0;
                status >> amount;
                return amount * BytesPerUnit;
            }
        }
        return 0;
    }
    std::size_t openDescriptors() const
    {
        std::error_code error;
        const std::filesystem::directory_iterator files("/proc/" + std::to_string(m_pid) + "/fd",
                                                        error);
        return error ? 0 : std::size_t(std::distance(begin(files), end(files)));
    }

private:
    /// Returns a port that was free a moment ago. Settings cannot name port 0, because the port
    /// that the process then chooses would not be known here.
    static std::uint16_t freePort()
    {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        SocketAddress address = loopbackAddress(0);
        EXPECT_EQ(bind(fd, address.data(), address.length), 0);
        getsockname(fd, reinterpret_cast<sockaddr *>(&address.storage), &address.length);
        close(fd);
        return address.port();
    }

    std::uint16_t m_front = 0;
    std::filesystem::path m_file;
    pid_t m_pid = -1;
    bool m_hasEnded = false;
};

} // namespace Tarragon
