#include "main/shared/settings_program.hpp"
#include "wrenswitch/roles/entry.hpp"

int main(int argc, char** argv) {
    using namespace wrenswitch;
    const settings_program program{
        "wrenentry", "The wrenswitch entry process.",
        [](const std::string& text, findings& problems) { read_entry_settings(text, problems); },
        [](const std::string&, const std::string& text) {
            findings problems;
            return run_entry(*read_entry_settings(text, problems));
        }};
    return run_program(program, argc, argv);
}
