// Workers of two versions serve side by side in one service. All gateways are killed at the same
// moment and start again half a second later; all workers live on. Clients take their streams up.
// Without the disruption the clients' own connections break instead, at the same moment.
//
// usage: streams_after_kill FOLDER-OF-BINARIES TEMPORARY-FOLDER RECORD-FILE TROUBLE
#include "streams.hpp"

namespace {

constexpr std::int64_t contact_ms = 3000;
constexpr std::int64_t break_at_ms = 6000;
constexpr std::int64_t restart_after_ms = 500;
constexpr int events = 100;
constexpr int old_count = 40;
constexpr int new_count = 20;

/// The rule's figures, and its verdict.
int judge(const std::vector<kit::stream_outcome>& outcomes, kit::record_file& record) {
    int taken_up = 0;
    int went_on = 0;
    int began = 0;
    for (std::size_t number = 0; number < outcomes.size(); ++number) {
        const kit::stream_outcome& each = outcomes[number];
        if (number < old_count) {
            taken_up += each.tried_in_touch ? 1 : 0;
            went_on += each.went_on ? 1 : 0;
        } else {
            began += each.began ? 1 : 0;
        }
    }
    record.line("streams taken up at machines in touch: " + std::to_string(taken_up) +
                ", of these went on: " + std::to_string(went_on) + "; new streams: " +
                std::to_string(new_count) + ", of these began: " + std::to_string(began));
    if (taken_up < 12 || began < new_count / 2) {
        return 2;
    }
    const bool broken =
        static_cast<double>(went_on) / taken_up < 0.5 * static_cast<double>(began) / new_count;
    if (broken) {
        record.line("LOST: under half as many streams go on as new ones begin");
    }
    return broken ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 5) {
        return 2;
    }
    kit::record_file record(argv[3]);
    const bool trouble = std::string(argv[4]) != "0";
    ::signal(SIGPIPE, SIG_IGN);

    std::vector<std::unique_ptr<kit::stream_worker>> workers;
    for (int at = 0; at < 4; ++at) {
        workers.push_back(std::make_unique<kit::stream_worker>(
            "w-" + std::to_string(at + 1), at % 2 == 0 ? "v1" : "v2",
            "127.0.0.2" + std::to_string(at + 1), events, record));
    }
    kit::stream_fleet fleet(argv[1], argv[2], record);
    for (const auto& each : workers) {
        fleet.list(*each);
    }
    if (!fleet.wait_until_ready()) {
        record.line("the gateways did not become ready");
        return 2;
    }
    kit::sleep_ms(3000);
    const std::int64_t begin = kit::now_ms();
    const std::int64_t in_touch_from =
        begin + break_at_ms + (trouble ? restart_after_ms + contact_ms : 0);
    record.line("traffic begins");
    std::vector<kit::stream_outcome> outcomes(old_count + new_count);
    std::vector<std::thread> clients;
    for (int number = 0; number < old_count; ++number) {
        kit::sleep_until_ms(begin + 100 * number);
        clients.emplace_back([&, number] {
            kit::stream_client client;
            client.number = number;
            client.port = fleet.port();
            client.in_touch_from = in_touch_from;
            client.breaks_at = trouble ? 0 : begin + break_at_ms;
            client.record = &record;
            client.run(outcomes[static_cast<std::size_t>(number)]);
        });
    }
    if (trouble) {
        kit::sleep_until_ms(begin + break_at_ms);
        fleet.gateway(0).kill();
        fleet.gateway(1).kill();
        record.line("both gateways are killed");
        kit::sleep_ms(restart_after_ms);
        fleet.gateway(0).start();
        fleet.gateway(1).start();
        record.line("both gateways start again");
    }
    for (int number = old_count; number < old_count + new_count; ++number) {
        kit::sleep_until_ms(in_touch_from + 200 * (number - old_count));
        clients.emplace_back([&, number] {
            kit::stream_client client;
            client.number = number;
            client.port = fleet.port();
            client.tries = 1;
            client.record = &record;
            client.run(outcomes[static_cast<std::size_t>(number)]);
        });
    }
    for (std::thread& each : clients) {
        each.join();
    }
    return judge(outcomes, record);
}
