#pragma once

#include <easylogging++.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace wrenswitch::testing {

/// Records the lines that this process logs while the object lives.
class log_recorder {
public:
    log_recorder() {
        el::Helpers::installLogDispatchCallback<recording_dispatch>("recorder");
        lines().clear();
    }
    ~log_recorder() { el::Helpers::uninstallLogDispatchCallback<recording_dispatch>("recorder"); }
    log_recorder(const log_recorder&) = delete;
    log_recorder& operator=(const log_recorder&) = delete;

    /// The lines of an event so far.
    std::vector<std::string> lines_of(std::string_view event) const {
        const std::string part = " event=" + std::string(event) + " ";
        std::vector<std::string> found;
        std::copy_if(lines().begin(), lines().end(), std::back_inserter(found),
                     [&](const std::string& line) { return line.find(part) != line.npos; });
        return found;
    }

    /// The value of a field in a line, with its quotes, or `missing`.
    static std::string field(const std::string& line, std::string_view name) {
        const std::string part = " " + std::string(name) + "=";
        const std::size_t at = line.find(part);
        if (at == line.npos) {
            return "missing";
        }
        const std::size_t begin = at + part.size();
        return line.substr(begin, line.find(' ', begin) - begin);
    }

private:
    class recording_dispatch final : public el::LogDispatchCallback {
    protected:
        void handle(const el::LogDispatchData* data) override {
            lines().push_back(std::string(data->logMessage()->message()));
        }
    };

    static std::vector<std::string>& lines() {
        static std::vector<std::string> kept;
        return kept;
    }
};

}  // namespace wrenswitch::testing
