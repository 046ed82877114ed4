#include <tclap/CmdLine.h>

#include <functional>
#include <iostream>
#include <map>
#include <vector>

#include "stand/engine_stand.hpp"
#include "stand/host_list_stand.hpp"
#include "stand/log_stand.hpp"
#include "stand/service_stand.hpp"
#include "stand/weight_store_stand.hpp"
#include "wrenswitch/core/exit_codes.hpp"
#include "wrenswitch/core/log.hpp"
#include "wrenswitch/drivers/event_loop.hpp"

namespace {

using namespace wrenswitch;

using port_list = std::vector<std::uint16_t>;

/// A stand-in that runs, whatever its kind, with the ports it serves.
struct running_stand {
    std::shared_ptr<void> stand;
    port_list ports;
};

template <typename Stand>
result<running_stand> one_port(result<std::unique_ptr<Stand>> started) {
    if (!started) {
        return started.error();
    }
    const std::uint16_t port = started.value()->port();
    return running_stand{std::shared_ptr<void>(std::move(started.value())), {port}};
}

port_list ports_of(const std::vector<int>& numbers) {
    port_list ports(numbers.begin(), numbers.end());
    return ports.empty() ? port_list{0} : ports;
}

int serve(event_loop& loop, std::string_view kind, const result<running_stand>& started) {
    if (!started) {
        std::cerr << started.error().message << '\n';
        return exit_unavailable;
    }
    std::string ports;
    for (const std::uint16_t port : started.value().ports) {
        ports += (ports.empty() ? "" : ",") + std::to_string(port);
    }
    log_event(log_level::information, "listening", {{"kind", std::string(kind)}, {"ports", ports}});
    loop.on_stop_signal([&loop] { loop.stop(); });
    loop.run();
    return 0;
}

/// The options that all subcommands share.
struct common_options {
    TCLAP::MultiArg<int> port;
    TCLAP::ValueArg<unsigned> seed;

    explicit common_options(TCLAP::CmdLine& command)
        : port("p", "port", "Port to serve at; 0 lets the system choose.", false, "number",
               command),
          seed("s", "seed", "Seed of all random choices.", false, 1, "number", command) {}
};

int run_log(TCLAP::CmdLine& command, std::vector<std::string>& words, event_loop& loop) {
    const common_options common(command);
    command.parse(words);
    auto started =
        stand::log_stand::start(loop, ports_of(common.port.getValue()), common.seed.getValue());
    if (!started) {
        return serve(loop, "log", started.error());
    }
    port_list ports = started.value()->ports();
    return serve(loop, "log",
                 running_stand{std::shared_ptr<void>(std::move(started.value())), ports});
}

int run_engine(TCLAP::CmdLine& command, std::vector<std::string>& words, event_loop& loop) {
    const common_options common(command);
    TCLAP::ValueArg<std::string> model("m", "model", "Name of the model.", false, "grijac-llm",
                                       "name", command);
    TCLAP::ValueArg<unsigned> step("", "step-us", "Time of a step without sequences.", false, 5000,
                                   "microseconds", command);
    TCLAP::ValueArg<unsigned> sequence("", "sequence-us", "Time that a sequence adds to a step.",
                                       false, 200, "microseconds", command);
    TCLAP::ValueArg<unsigned> prompt("", "prompt-token-us", "Time that a prompt's token adds.",
                                     false, 20, "microseconds", command);
    TCLAP::ValueArg<unsigned> batch("", "batch", "Most sequences in a batch.", false, 64, "number",
                                    command);
    TCLAP::ValueArg<unsigned> longest("", "longest-answer", "Most tokens of an answer.", false, 256,
                                      "tokens", command);
    TCLAP::ValueArg<unsigned> lag("", "report-lag-ms", "Age of load reports.", false, 250,
                                  "milliseconds", command);
    command.parse(words);
    stand::engine_stand_settings settings;
    settings.port = ports_of(common.port.getValue()).front();
    settings.model = model.getValue();
    settings.speed.step_base = microseconds(step.getValue());
    settings.speed.step_per_sequence = microseconds(sequence.getValue());
    settings.speed.step_per_prompt_token = microseconds(prompt.getValue());
    settings.speed.most_sequences = batch.getValue();
    settings.longest_answer = longest.getValue();
    settings.report_lag = milliseconds(lag.getValue());
    settings.seed = common.seed.getValue();
    return serve(loop, "engine", one_port(stand::engine_stand::start(loop, settings)));
}

int run_service(TCLAP::CmdLine& command, std::vector<std::string>& words, event_loop& loop) {
    const common_options common(command);
    TCLAP::ValueArg<unsigned> duration("", "duration-ms", "Time that a call takes.", false, 5,
                                       "milliseconds", command);
    command.parse(words);
    return serve(
        loop, "service",
        one_port(stand::service_stand::start(loop, ports_of(common.port.getValue()).front(),
                                             milliseconds(duration.getValue()))));
}

int run_hosts(TCLAP::CmdLine& command, std::vector<std::string>& words, event_loop& loop) {
    const common_options common(command);
    TCLAP::ValueArg<unsigned> lag("", "lag-ms", "Age of the list.", false, 2000, "milliseconds",
                                  command);
    command.parse(words);
    return serve(
        loop, "hosts",
        one_port(stand::host_list_stand::start(loop, ports_of(common.port.getValue()).front(),
                                               milliseconds(lag.getValue()))));
}

int run_weights(TCLAP::CmdLine& command, std::vector<std::string>& words, event_loop& loop) {
    const common_options common(command);
    TCLAP::ValueArg<double> rate("", "loads-a-second", "Loads that are allowed a second.", false,
                                 0.5, "number", command);
    command.parse(words);
    return serve(loop, "weights",
                 one_port(stand::weight_store_stand::start(
                     loop, ports_of(common.port.getValue()).front(), rate.getValue())));
}

using subcommand = std::function<int(TCLAP::CmdLine&, std::vector<std::string>&, event_loop&)>;

const std::map<std::string, subcommand, std::less<>>& subcommands() {
    static const std::map<std::string, subcommand, std::less<>> all{{"log", run_log},
                                                                    {"engine", run_engine},
                                                                    {"service", run_service},
                                                                    {"hosts", run_hosts},
                                                                    {"weights", run_weights}};
    return all;
}

void print_usage(std::ostream& out) {
    out << "Stand-ins of the platform and of targets.\n"
           "Usage: wrenstand log|engine|service|hosts|weights [options]\n"
           "       wrenstand SUBCOMMAND --help shows its options.\n";
}

}  // namespace

int main(int argc, char** argv) {
    std::vector<std::string> words(argv, argv + argc);
    const std::string name = words.size() > 1 ? words[1] : "";
    if (name == "--help" || name == "-h") {
        print_usage(std::cout);
        return 0;
    }
    if (name == "--version") {
        std::cout << "wrenstand " << WRENSWITCH_VERSION << '\n';
        return 0;
    }
    const auto found = subcommands().find(name);
    if (found == subcommands().end()) {
        print_usage(std::cerr);
        return exit_bad_command;
    }
    words.erase(words.begin() + 1);
    words[0] = "wrenstand " + name;
    start_logging("wrenstand-" + name);
    TCLAP::CmdLine command("A stand-in; POST /faults sets its faults.", ' ', WRENSWITCH_VERSION);
    event_loop loop;
    return found->second(command, words, loop);
}
