#pragma once

#include <fstream>
#include <functional>
#include <string>

namespace wrenswitch::testing {

/// Reads the lines that a running process appends to its output file.
class log_follower {
public:
    explicit log_follower(const std::string& path) : file_(path) {}

    /// Calls the function with each complete line that was appended since the last call.
    void for_each_new_line(const std::function<void(const std::string&)>& function) {
        file_.clear();
        for (std::string part; std::getline(file_, part);) {
            line_ += part;
            if (file_.eof()) {
                return;
            }
            function(line_);
            line_.clear();
        }
    }

private:
    std::ifstream file_;
    std::string line_;
};

}  // namespace wrenswitch::testing
