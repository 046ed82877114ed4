#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <iterator>

#include "main/wrenctl/command_client.hpp"
#include "main/wrenctl/merged_timeline.hpp"
#include "main/wrenctl/output.hpp"
#include "wrenswitch/core/exit_codes.hpp"

namespace {

using namespace wrenswitch;

std::string whole_of(std::istream& input) {
    return {std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>()};
}

/// The exit code that stands for the outcome of a script.
int exit_code_of(const ctl::operator_reply& reply) {
    const std::string outcome = reply.body.value("outcome", "refused");
    if (outcome == "done") {
        return exit_done;
    }
    if (outcome == "bad_command") {
        return exit_bad_command;
    }
    return outcome == "unknown" ? exit_unknown : exit_refused;
}

ctl::output_format format_named(const std::string& name) {
    if (name == "json") {
        return ctl::output_format::json;
    }
    return name == "lines" ? ctl::output_format::lines : ctl::output_format::table;
}

int show_timeline(ctl::command_client& client, const http_address& entry,
                  const std::string& request, ctl::output_format format) {
    const result<nlohmann::json> events = ctl::merged_timeline(client, entry, request);
    if (!events) {
        std::cerr << events.error().message << '\n';
        return exit_unavailable;
    }
    ctl::print_timeline(std::cout, events.value(), format);
    return exit_done;
}

int run_script(ctl::command_client& client, const http_address& entry, const std::string& script,
               ctl::output_format format) {
    const result<ctl::operator_reply> reply = client.run_script(entry, script);
    if (!reply) {
        std::cerr << reply.error().message << '\n';
        return reply.error().code == error_code::unreachable ? exit_unavailable : exit_unknown;
    }
    ctl::print_answer(std::cout, reply.value().body, format);
    return exit_code_of(reply.value());
}

}  // namespace

int main(int argc, char** argv) {
    TCLAP::CmdLine command(
        "Operators' command line. Reads a script from -c, from a file or from standard input.", ' ',
        WRENSWITCH_VERSION);
    TCLAP::ValueArg<std::string> entry("e", "entry", "Operators' address of any entry.", true, "",
                                       "address:port", command);
    TCLAP::ValueArg<std::string> key("k", "key", "The operator's key.", false, "", "key", command);
    TCLAP::ValueArg<std::string> script("c", "command", "The script.", false, "", "statements",
                                        command);
    std::vector<std::string> formats{"table", "json", "lines"};
    TCLAP::ValuesConstraint<std::string> format_names(formats);
    TCLAP::ValueArg<std::string> format("o", "output", "How to print.", false, "table",
                                        &format_names, command);
    TCLAP::SwitchArg timeline("t", "timeline", "Show the merged time line of all processes.",
                              command);
    TCLAP::ValueArg<std::string> request("r", "request", "Only this request's events.", false, "",
                                         "number", command);
    TCLAP::UnlabeledValueArg<std::string> file("file", "A file with a script.", false, "", "file",
                                               command);
    command.parse(argc, argv);

    const result<http_address> address = http_address::parse(entry.getValue());
    if (!address) {
        std::cerr << address.error().message << '\n';
        return exit_bad_command;
    }
    event_loop loop;
    ctl::command_client client(loop, key.getValue());
    const ctl::output_format chosen = format_named(format.getValue());
    if (timeline.getValue()) {
        return show_timeline(client, address.value(), request.getValue(), chosen);
    }
    std::string text = script.getValue();
    if (text.empty() && file.isSet()) {
        std::ifstream input(file.getValue());
        if (!input) {
            std::cerr << "The file " << file.getValue() << " cannot be read.\n";
            return exit_bad_command;
        }
        text = whole_of(input);
    } else if (text.empty()) {
        text = whole_of(std::cin);
    }
    return run_script(client, address.value(), text, chosen);
}
