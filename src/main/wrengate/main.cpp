#include <tclap/CmdLine.h>

#include <iostream>

#include "platform/dialect.hpp"
#include "wrenswitch/core/exit_codes.hpp"
#include "wrenswitch/core/log.hpp"
#include "wrenswitch/core/settings_reader.hpp"
#include "wrenswitch/roles/gateway.hpp"

int main(int argc, char** argv) {
    using namespace wrenswitch;
    TCLAP::CmdLine command("The wrenswitch gateway process.", ' ', WRENSWITCH_VERSION);
    TCLAP::ValueArg<std::string> file("s", "settings", "File of settings in JSON.", true, "",
                                      "file", command);
    TCLAP::SwitchArg check("c", "check", "Check the settings and end.", command);
    command.parse(argc, argv);

    findings problems;
    const std::string text = read_settings_file(file.getValue(), problems);
    if (!problems.empty()) {
        std::cerr << problems.to_text();
        return exit_bad_settings;
    }
    const auto settings = read_gateway_settings(text, problems);
    if (!problems.empty()) {
        std::cerr << problems.to_text();
        return exit_bad_settings;
    }
    if (check.getValue()) {
        std::cout << file.getValue() << ": no findings\n";
        return exit_done;
    }
    start_logging("wrengate");
    return run_gateway(file.getValue(), text, platform::make_dialect());
}
