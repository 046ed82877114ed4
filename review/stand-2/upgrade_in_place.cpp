// The workers of a streaming service are upgraded in place, one after the other: each ends and
// starts again under its id with the new version of its software, and writes its entry with its
// first heartbeat. Clients take up what breaks off.
//
// usage: upgrade_in_place FOLDER-OF-BINARIES TEMPORARY-FOLDER RECORD-FILE TROUBLE
#include "streams.hpp"

namespace {

constexpr std::int64_t heartbeat_ms = 1200;
constexpr std::int64_t start_takes_ms = 500;
constexpr std::int64_t gap_ms = 1000;
constexpr int events = 60;
constexpr int stream_count = 40;

}  // namespace

int main(int argc, char** argv) {
    if (argc != 5) {
        return 2;
    }
    kit::record_file record(argv[3]);
    const bool trouble = std::string(argv[4]) != "0";
    ::signal(SIGPIPE, SIG_IGN);

    kit::stream_worker first("w-1", "v1", "127.0.0.21", events, record);
    kit::stream_worker second("w-2", "v1", "127.0.0.22", events, record);
    kit::stream_fleet fleet(argv[1], argv[2], record);
    fleet.list(first);
    fleet.list(second);
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
            client.tries = 6;
            client.record = &record;
            client.run(outcomes[static_cast<std::size_t>(number)]);
        });
    }
    if (trouble) {
        std::int64_t at = begin + 3000;
        for (kit::stream_worker* each : {&first, &second}) {
            kit::sleep_until_ms(at);
            fleet.silence(*each);
            each->end();
            record.line("worker " + each->id() + " has ended");
            kit::sleep_until_ms(at + start_takes_ms);
            each->start("v2");
            fleet.list_after(*each, heartbeat_ms);
            record.line("worker " + each->id() + " has started again as v2");
            at += gap_ms;
        }
    }
    for (std::thread& each : clients) {
        each.join();
    }
    int joined = 0;
    for (std::size_t number = 0; number < outcomes.size(); ++number) {
        if (outcomes[number].versions.size() > 1) {
            ++joined;
            record.line("ORDER: stream " + std::to_string(number + 1) +
                        " holds events of two versions");
        }
    }
    record.line("streams that hold events of two versions: " + std::to_string(joined) +
                " (two are allowed)");
    return joined > 2 ? 1 : 0;
}
