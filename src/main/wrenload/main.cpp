#include <tclap/CmdLine.h>

#include <functional>
#include <iostream>
#include <map>

#include "main/wrenload/subcommands.hpp"
#include "wrenswitch/core/exit_codes.hpp"

namespace {

using subcommand = std::function<int(std::vector<std::string>&)>;

const std::map<std::string, subcommand, std::less<>>& subcommands() {
    using namespace wrenswitch::load;
    static const std::map<std::string, subcommand, std::less<>> all{
        {"run", run_load},
        {"policy-budget", run_policy_budget},
        {"policy-limits", run_policy_limits},
        {"policy-rollout", run_policy_rollout},
        {"slopes", run_slopes}};
    return all;
}

void print_usage(std::ostream& out) {
    out << "Open-loop load and experiments.\n"
           "Usage: wrenload run|policy-budget|policy-limits|policy-rollout|slopes [options]\n"
           "       wrenload SUBCOMMAND --help shows its options.\n";
}

}  // namespace

int main(int argc, char** argv) {
    std::vector<std::string> words(argv, argv + argc);
    const std::string name = words.size() > 1 ? words[1] : "";
    if (name == "--help" || name == "-h") {
        print_usage(std::cout);
        return wrenswitch::exit_done;
    }
    if (name == "--version") {
        std::cout << "wrenload " << WRENSWITCH_VERSION << '\n';
        return wrenswitch::exit_done;
    }
    const auto found = subcommands().find(name);
    if (found == subcommands().end()) {
        print_usage(std::cerr);
        return wrenswitch::exit_bad_command;
    }
    words.erase(words.begin() + 1);
    words[0] = "wrenload " + name;
    return found->second(words);
}
