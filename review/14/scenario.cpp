// An upstream fails a download with a long body, and the upstream that gets it next answers a few
// milliseconds beyond the client's time budget. Bytes of the second answer reach the client inside the first.
#include "standins-3.h"

using namespace Review;

namespace {

constexpr int Clients = 12;
/// Longest time for which the sheet of the stands has grey upstreams.
constexpr milliseconds TroubleTime{ 6'500 };
constexpr int BudgetMs = 1'000;
constexpr int Upstreams = 12;
/// Largest download on the sheet of the stands.
constexpr std::size_t FailureBytes = 540'000;
constexpr std::size_t DownloadBytes = 60'000;
/// Link of the smaller machines, 10 Mbit/s.
constexpr std::size_t LinkBytesPerMs = 1'250;
constexpr milliseconds RegionDelay{ 20 };
/// Time after which the grey upstream, which is also four times as slow, fails a download.
constexpr milliseconds GreyWork{ 742 };

/// Work of a sound upstream for a download, 180 ms on average.
milliseconds soundWork(const std::string &path)
{
    static constexpr int Spread[] = { 180, 150, 210 };
    return milliseconds(Spread[std::atoi(path.c_str() + path.rfind('/') + 1) % 3]);
}

/// Sends the body in chunks at the rate of the link.
bool sendPaced(Connection &connection, const std::string &body)
{
    const Clock::time_point start = Clock::now();
    const std::size_t step = LinkBytesPerMs * 5;
    for (std::size_t at = 0; at < body.size(); at += step) {
        char size[32];
        const std::string piece = body.substr(at, step);
        std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
        if (!connection.send(size + piece + "\r\n")) {
            return false;
        }
        std::this_thread::sleep_until(start + milliseconds((at + step) / LinkBytesPerMs));
    }
    return connection.send("0\r\n\r\n");
}

std::string bodyOf(char letter, const std::string &id, std::size_t size)
{
    std::string body;
    while (body.size() < size) {
        body += std::string(1, letter) + " " + id + "\n";
    }
    body.resize(size);
    return body;
}

/// Serves a download. In trouble the grey upstream fails four of ten.
bool serve(Record &record, Connection &connection, const Head &head, bool isGrey)
{
    static std::atomic<int> greyCount{ 0 };
    const std::string id = head.field("attempt-id");
    const bool fails = isGrey && hasTrouble() && greyCount++ % 5 < 2;
    const std::string upstream = isGrey ? "the grey upstream" : "a sound upstream";
    const int small = 16'384;
    setsockopt(connection.descriptor(), SOL_SOCKET, SO_SNDBUF, &small, sizeof small);
    record.line("run " + id + " at " + upstream + ", Request-Deadline "
                + head.field("request-deadline") + (fails ? ", fails" : ""));
    pauseFor(fails ? GreyWork : RegionDelay + soundWork(head.target()) + RegionDelay);
    const std::string body = fails ? bodyOf('f', id, FailureBytes) : bodyOf('s', id, DownloadBytes);
    const bool isSent = connection.send(responseStart(head, fails ? 500 : 200,
                                                      (fails ? "failed-" : "done-") + id)
                                        + "Transfer-Encoding: chunked\r\n\r\n")
                        && sendPaced(connection, body);
    record.line(id + ": " + upstream + (isSent ? " sent all" : " was cut off"));
    return isSent;
}

struct Counts
{
    std::atomic<int> answered{ 0 };
    std::atomic<int> mixed{ 0 };
    std::atomic<int> next{ 0 };
};

void download(Record &record, Machine &machine, Counts &counts)
{
    const int number = counts.next++;
    const std::string id = "manual" + std::to_string(number);
    const std::unique_ptr<Connection> connection = Connection::open(machine.front());
    if (connection == nullptr) {
        return;
    }
    // The client waits for the end of an answer that has begun.
    connection->setTimeout(milliseconds(3'000));
    record.line(id + " sent");
    connection->send(requestStart("GET", "/manual/" + std::to_string(number), id, BudgetMs)
                     + "\r\n");
    const Answer answer = connection->readAnswer();
    const std::string seal = answer.head.field("response-seal");
    const bool isFailure = seal.starts_with("failed-");
    const std::string whole = isFailure ? bodyOf('f', id, FailureBytes)
                                        : bodyOf('s', id, DownloadBytes);
    const bool hasForeignBytes = isFailure && answer.body.find("s " + id) != std::string::npos;
    // A part of the body that its client can see to be incomplete is no break of the rule.
    const bool isMixed = !seal.empty() && answer.isWhole && answer.body != whole;
    record.line(id + " answered " + std::to_string(answer.status()) + ", "
                + (seal.empty() ? "no seal" : "seal " + seal) + ", "
                + (answer.isWhole ? "complete" : "incomplete") + " with "
                + std::to_string(answer.body.size())
                + (seal.empty() ? "" : " of " + std::to_string(whole.size())) + " bytes"
                + (hasForeignBytes ? ", with bytes of the sound upstream's answer" : ""));
    counts.answered += answer.status() != 0 ? 1 : 0;
    counts.mixed += isMixed ? 1 : 0;
}

int play(Record &record)
{
    const TemporaryFolder folder;
    Store &store = *new Store;
    store.put("config", "main",
              desiredState(1, { { "manual", "/manual/", "download", 3, "media", 3 } }, { "media" },
                           1'048'576));
    for (int i = 0; i < Upstreams; ++i) {
        const bool isGrey = i == 0;
        new Upstream(store, "media-" + std::to_string(i), "media", 5,
                     [&record, isGrey](Connection &connection, const Head &head) {
                         return serve(record, connection, head, isGrey);
                     });
    }
    Machine machine(folder.path(), "edge-1", store.port(), 260);
    machine.start();
    if (!machine.waitUntilReady()) {
        return CouldNotRun;
    }
    pauseFor(milliseconds(4'000));
    Counts counts;
    const Clock::time_point end = Clock::now() + TroubleTime;
    std::vector<std::thread> clients;
    for (int i = 0; i < Clients; ++i) {
        clients.emplace_back([&record, &machine, &counts, end] {
            while (Clock::now() < end) {
                download(record, machine, counts);
            }
        });
    }
    for (std::thread &it : clients) {
        it.join();
    }
    record.line(std::to_string(counts.answered) + " answers, "
                + std::to_string(counts.mixed)
                + " of them complete with other bytes than the upstream's");
    return counts.answered == 0 ? CouldNotRun : counts.mixed > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int, char **argv)
{
    Record record(argv[1]);
    finish(record, play(record));
}
