#include "main/shared/settings_program.hpp"

#include <malloc.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <iostream>

#include "wrenswitch/core/exit_codes.hpp"
#include "wrenswitch/core/log.hpp"
#include "wrenswitch/core/settings_reader.hpp"

namespace wrenswitch {
namespace {

/// Larger blocks have their own pages, which go back to the system when the block is freed. Without
/// a fixed value the allocator raises it with each large block that it frees.
constexpr int min_mapped_block_bytes = 128 * 1024;

}  // namespace

int run_program(const settings_program& program, int argc, char** argv) {
    TCLAP::CmdLine command(program.description, ' ', WRENSWITCH_VERSION);
    TCLAP::ValueArg<std::string> file("s", "settings", "File of settings in JSON.", true, "",
                                      "file", command);
    TCLAP::SwitchArg check("c", "check", "Check the settings and end.", command);
    command.parse(argc, argv);

    findings problems;
    const std::string text = read_settings_file(file.getValue(), problems);
    if (problems.empty()) {
        program.check(text, problems);
    }
    if (!problems.empty()) {
        std::cerr << problems.to_text();
        return exit_bad_settings;
    }
    if (check.getValue()) {
        std::cout << file.getValue() << ": no findings\n";
        return exit_done;
    }
    ::mallopt(M_MMAP_THRESHOLD, min_mapped_block_bytes);
    start_logging(program.name);
    // Written before anything that can fail or wait, so that a process that stops there is seen.
    log_event(log_level::information, "process_starting",
              {{"pid", std::to_string(::getpid())},
               {"version", WRENSWITCH_VERSION},
               {"settings", file.getValue()}});
    return program.run(file.getValue(), text);
}

}  // namespace wrenswitch
