#include "main/shared/settings_program.hpp"
#include "platform/dialect.hpp"
#include "wrenswitch/roles/gateway.hpp"

int main(int argc, char** argv) {
    using namespace wrenswitch;
    const settings_program program{
        "wrengate", "The wrenswitch gateway process.",
        [](const std::string& text, findings& problems) { read_gateway_settings(text, problems); },
        [](const std::string& path, const std::string& text) {
            return run_gateway(path, text, platform::make_dialect());
        }};
    return run_program(program, argc, argv);
}
