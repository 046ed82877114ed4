#pragma once

#include <functional>
#include <string>

#include "wrenswitch/core/findings.hpp"

namespace wrenswitch {

/// A program that runs by a settings file.
struct settings_program {
    /// As logs name it.
    std::string name;
    /// One sentence for --help.
    std::string description;
    /// Reports all that is wrong with a file's text.
    std::function<void(const std::string& text, findings& problems)> check;
    /// Runs by a file that was found good. Returns the exit code.
    std::function<int(const std::string& path, const std::string& text)> run;
};

/// Reads the command line, checks the settings, and runs the program unless only --check was asked.
int run_program(const settings_program& program, int argc, char** argv);

}  // namespace wrenswitch
