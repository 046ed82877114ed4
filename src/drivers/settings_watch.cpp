#include "wrenswitch/drivers/settings_watch.hpp"

#include "wrenswitch/core/log.hpp"
#include "wrenswitch/core/settings_reader.hpp"

namespace wrenswitch {
namespace {

constexpr microseconds look_period = seconds(1);

}  // namespace

settings_watch::settings_watch(event_loop& loop, std::string path, std::string text,
                               change_hook changed)
    : path_(std::move(path)), text_(std::move(text)), changed_(std::move(changed)) {
    loop.on_reload_signal([this] { look(true); });
    ticker_ = loop.call_every(look_period, [this] { look(false); });
}

void settings_watch::look(bool asked) {
    findings problems;
    std::string text = read_settings_file(path_, problems);
    if (!problems.empty()) {
        if (asked) {
            log_event(log_level::error, "settings_unreadable", {{"findings", problems.to_text()}});
        }
        return;
    }
    if (text == text_) {
        if (asked) {
            log_event(log_level::information, "settings_unchanged", {{"file", path_}});
        }
        return;
    }
    text_ = std::move(text);
    changed_(text_);
}

}  // namespace wrenswitch
