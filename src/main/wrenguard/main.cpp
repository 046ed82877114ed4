#include "main/shared/settings_program.hpp"
#include "wrenswitch/roles/guard.hpp"

int main(int argc, char** argv) {
    using namespace wrenswitch;
    const settings_program program{
        "wrenguard", "The wrenswitch guard process.",
        [](const std::string& text, findings& problems) { read_guard_settings(text, problems); },
        [](const std::string&, const std::string& text) {
            findings problems;
            return run_guard(*read_guard_settings(text, problems));
        }};
    return run_program(program, argc, argv);
}
