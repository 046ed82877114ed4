// The workers of version v1 of a streaming service are replaced one after the other by workers of
// version v2. Those of v1 don't announce that they drain: their entries go, and they serve on for
// drainMs and some seconds more, and end. Clients take up what breaks off.
//
// usage: release_of_versions FOLDER-OF-BINARIES TEMPORARY-FOLDER RECORD-FILE TROUBLE
#include "streams.hpp"

namespace {

constexpr std::int64_t drain_ms = 2000;
constexpr std::int64_t first_serves_on_ms = 5000;
constexpr std::int64_t second_serves_on_ms = 8000;
constexpr int events = 60;
constexpr int stream_count = 40;

/// Writes down what reached a worker that is gone too late. Returns how often that was.
int judge(kit::stream_worker& worker, std::int64_t gone_at,
          const std::vector<kit::stream_outcome>& outcomes, kit::record_file& record) {
    int late = 0;
    for (const kit::arrival& came : worker.arrivals()) {
        if (came.at <= gone_at + drain_ms) {
            continue;
        }
        ++late;
        const bool lost = std::any_of(outcomes.begin(), outcomes.end(), [&](const auto& each) {
            return std::find(each.broken_off.begin(), each.broken_off.end(), came.request) !=
                   each.broken_off.end();
        });
        record.line("DRAIN: request " + came.request + " reached " + worker.id() + " " +
                    std::to_string(came.at - gone_at) +
                    " ms after its entry was gone, last_event " + came.last_event +
                    (lost ? ", and was broken off" : ""));
    }
    return late;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 5) {
        return 2;
    }
    kit::record_file record(argv[3]);
    const bool trouble = std::string(argv[4]) != "0";
    ::signal(SIGPIPE, SIG_IGN);

    kit::stream_worker old1("w-old-1", "v1", "127.0.0.21", events, record);
    kit::stream_worker old2("w-old-2", "v1", "127.0.0.22", events, record);
    kit::stream_worker new1("w-new-1", "v2", "127.0.0.23", events, record);
    kit::stream_worker new2("w-new-2", "v2", "127.0.0.24", events, record);
    kit::stream_fleet fleet(argv[1], argv[2], record);
    fleet.list(old1);
    fleet.list(old2);
    if (!fleet.wait_until_ready()) {
        record.line("the gateways did not become ready");
        return 2;
    }
    kit::sleep_ms(2000);
    const std::int64_t begin = kit::now_ms();
    record.line("traffic begins");
    std::vector<kit::stream_outcome> outcomes(stream_count);
    std::vector<std::thread> clients;
    for (int number = 0; number < stream_count; ++number) {
        kit::sleep_until_ms(begin + 50 * number);
        clients.emplace_back([&, number] {
            kit::stream_client client;
            client.number = number;
            client.port = fleet.port();
            client.tries = 4;
            client.record = &record;
            client.run(outcomes[static_cast<std::size_t>(number)]);
        });
    }
    std::int64_t gone1 = 0;
    std::int64_t gone2 = 0;
    if (trouble) {
        kit::sleep_until_ms(begin + 2500);
        fleet.list(new1);
        kit::sleep_until_ms(begin + 3000);
        gone1 = fleet.unlist(old1);
        kit::sleep_until_ms(begin + 3500);
        fleet.list(new2);
        kit::sleep_until_ms(begin + 4000);
        gone2 = fleet.unlist(old2);
        kit::sleep_until_ms(begin + 3000 + first_serves_on_ms);
        old1.end();
        record.line("worker w-old-1 has ended");
        kit::sleep_until_ms(begin + 4000 + second_serves_on_ms);
        old2.end();
        record.line("worker w-old-2 has ended");
    }
    for (std::thread& each : clients) {
        each.join();
    }
    if (old1.arrivals().size() + old2.arrivals().size() < stream_count) {
        record.line("the traffic did not reach the workers");
        return 2;
    }
    const int late =
        trouble ? judge(old1, gone1, outcomes, record) + judge(old2, gone2, outcomes, record) : 0;
    record.line("requests that reached a worker later than drainMs after it was gone: " +
                std::to_string(late));
    return late > 0 ? 1 : 0;
}
