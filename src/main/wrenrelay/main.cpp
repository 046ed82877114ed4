#include "main/shared/settings_program.hpp"
#include "wrenswitch/roles/relay.hpp"

int main(int argc, char** argv) {
    using namespace wrenswitch;
    const settings_program program{
        "wrenrelay", "The wrenswitch relay process.",
        [](const std::string& text, findings& problems) { read_relay_settings(text, problems); },
        [](const std::string& path, const std::string& text) { return run_relay(path, text); }};
    return run_program(program, argc, argv);
}
