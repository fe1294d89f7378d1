// The answer to one watch of the store is lost. The entry waits on the silent connection for half a
// minute and meanwhile acts on what it knew before: it sends bookings to a zone that the operator
// has evacuated, and that is then switched off.

#include "../common/Lab.h"

using namespace Lab;

namespace {

constexpr const char *Ip = "127.0.81.1";
constexpr const char *Host = "shop.example";
/// Bounds of the site kinisi-stands.
constexpr double EvacuationSeconds = 5;
constexpr double MaxStretchSeconds = 5;
constexpr double ContactSeconds = 3;
/// Largest duration of platform_lost in the site file.
constexpr double LossSeconds = 4.5;
/// Time from the evacuation to the end of the zone's servers, well after the bound.
constexpr double EmptyAfterSeconds = 15;

Json desiredState()
{
    return {
        { "version", "r3" },
        { "routes",
          { { "columns",
              { "name", "host", "path_prefix", "kind", "timeout_s", "target_latency_s",
                "max_attempts", "service" } },
            { "rows", { { "booking", Host, "/book/", "unsafe", 1.5, 0.3, 2, "checkout" } } } } },
        { "services", { { "columns", { "name" } }, { "rows", { { "checkout" } } } } },
        { "limits",
          { { "max_header_bytes", 16384 },
            { "max_body_bytes", 1048576 },
            { "header_timeout_s", 5 },
            { "idle_timeout_s", 30 } } }
    };
}

int run(const std::string &folder)
{
    const int port = freePorts(Ip, 40);
    Store store("127.0.81.1", port);
    store.onCall = [](const std::string &peer, const std::string &call, int status) {
        note("store: %s from %s: %s", call.c_str(), peer.c_str(),
             status == 0 ? "done, answer lost" : std::to_string(status).c_str());
    };
    store.start();
    Runs runs;
    std::vector<std::unique_ptr<Target>> targets;
    const std::vector<std::string> zones = { "thess-a", "athens-a", "crete-a" };
    for (int i = 0; i < 9; ++i) {
        targets.push_back(std::make_unique<Target>(
                store, runs, "i-" + std::to_string(i), "checkout",
                zones[static_cast<std::size_t>(i % 3)], Ip, port + 20 + i, 0.31));
        if (i < 8) {
            targets.back()->start();
        }
    }
    store.put("config", "main", desiredState());
    const std::map<std::string, std::string> regions = { { "thess-a", "gr-north" },
                                                         { "athens-a", "gr-attica" },
                                                         { "crete-a", "gr-islands" } };
    Gateway gateway({ "edge-crete-a-1", "crete-a", "gr-islands", Ip }, port + 1,
                    std::string(Ip) + ":" + std::to_string(port), folder);
    gateway.start(regions);
    waitFor("the entry is ready", 15, [&gateway] { return gateway.isReady(); });
    sleepUntil(now() + 4);

    std::atomic<bool> isOver{ false };
    std::mutex mutex;
    std::vector<Call> calls;
    std::vector<std::thread> callers;
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back([&, i] {
            Caller caller(gateway, Host);
            for (int n = 0; !isOver; ++n) {
                const std::string attempt = "c" + std::to_string(i) + "-" + std::to_string(n);
                const Call call = caller.request("POST", "/book/1", attempt, 1500, "slot");
                note("caller: %s sent at %.3f: status %d%s", attempt.c_str(), call.sentAt,
                     call.status, call.hasSeal ? ", sealed" : "");
                if (call.status != 200) {
                    std::this_thread::sleep_for(std::chrono::milliseconds(200));
                }
                const std::lock_guard lock(mutex);
                calls.push_back(call);
            }
        });
    }
    sleepUntil(now() + 2);

    // The impairment: for 4.5 s, the answers to watches of evacuations are lost. Those to all other
    // calls arrive, such as the watch that returns the new server.
    const double lossAt = now();
    if (hasTrouble()) {
        note("store: the answers to watches of evacuations are lost from now on");
        store.loseAnswersTo("GET /tarragonstage/objects/evacuations?watch=");
    }
    sleepUntil(lossAt + 1);
    targets.back()->start();
    sleepUntil(lossAt + 2);
    const double evacuatedAt = store.put("evacuations", "crete-a", Json::object());
    note("operator: evacuation of crete-a acknowledged");
    sleepUntil(lossAt + LossSeconds);
    store.loseAnswersTo("");
    note("store: without impairment from now on");
    sleepUntil(evacuatedAt + EmptyAfterSeconds);
    note("operator: crete-a is switched off");
    std::set<std::string> evacuated;
    for (const std::unique_ptr<Target> &it : targets) {
        if (it->zone() == "crete-a") {
            evacuated.insert(it->id());
            it->stop();
        }
    }
    const double offAt = now();
    sleepUntil(offAt + 3);
    isOver = true;
    for (std::thread &it : callers) {
        it.join();
    }
    if (!gateway.isRunning()) {
        note("the entry has ended by itself");
        return RuleBroken;
    }

    // The entry is in touch, and the store is stable, from contact_s after the impairment on.
    const double bound = std::max(evacuatedAt + EvacuationSeconds + MaxStretchSeconds,
                                  lossAt + LossSeconds + ContactSeconds);
    int late = 0;
    std::set<std::string> atEvacuated;
    for (const Run &it : runs.all()) {
        note("target: %s ran %s at %.3f", it.target.c_str(), it.attempt.c_str(), it.at);
        if (evacuated.contains(it.target)) {
            atEvacuated.insert(it.attempt);
            late += it.at > bound ? 1 : 0;
        }
    }
    int lost = 0;
    int answered = 0;
    for (const Call &it : calls) {
        answered += it.status == 200 ? 1 : 0;
        // A booking that runs when the zone is switched off has neither an answer nor a refusal.
        lost += it.status != 200 && it.status != 503 && atEvacuated.contains(it.attempt) ? 1 : 0;
    }
    note("summary: %zu bookings, %d answered with success", calls.size(), answered);
    note("summary: evacuation acknowledged at %.3f, bound %.3f, zone switched off at %.3f",
         evacuatedAt, bound, offAt);
    note("summary: %d bookings reached the evacuated zone after the bound", late);
    note("summary: %d bookings ran there and were lost when the zone was switched off", lost);
    if (answered < 100) {
        throw std::runtime_error("hardly any booking was answered");
    }
    return late > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
