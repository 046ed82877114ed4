#pragma once

#include <functional>
#include <memory>
#include <string>

#include "wrenswitch/drivers/event_loop.hpp"

namespace wrenswitch {

/// Tells when a process's settings file has a new text: at SIGHUP, and by a look once a second,
/// since a file may change without a signal. A file that can't be read changes nothing.
class settings_watch {
public:
    /// Told the new text.
    using change_hook = std::function<void(const std::string&)>;

    /// `text` is what the process started with. Keeps SIGHUP from ending the process.
    settings_watch(event_loop& loop, std::string path, std::string text, change_hook changed);

private:
    void look(bool asked);

    std::string path_;
    std::string text_;
    change_hook changed_;
    std::unique_ptr<timer> ticker_;
};

}  // namespace wrenswitch
