#include <tclap/CmdLine.h>

#include <iostream>

#include "experiment/slopes.hpp"
#include "main/wrenload/subcommands.hpp"
#include "wrenswitch/core/exit_codes.hpp"

namespace wrenswitch::load {

int run_slopes(std::vector<std::string>& words) {
    TCLAP::CmdLine command("Measures what one more budget, request, member or target costs.", ' ',
                           WRENSWITCH_VERSION);
    TCLAP::ValueArg<unsigned> seed("s", "seed", "Seed.", false, 1, "number", command);
    command.parse(words);
    std::cout << experiment::measure_slopes(seed.getValue()).dump(2) << '\n';
    return exit_done;
}

}  // namespace wrenswitch::load
