#include "wrenswitch/core/log.hpp"

#include <easylogging++.h>
#include <unistd.h>

#include "core/output_queue.hpp"

INITIALIZE_EASYLOGGINGPP

namespace wrenswitch {
namespace {

std::string process_label = "wrenswitch";

bool needs_quotes(std::string_view value) {
    return value.empty() || value.find_first_of(" =\"\n") != std::string_view::npos;
}

std::string quoted(std::string_view value) {
    std::string text = "\"";
    for (const char letter : value) {
        if (letter == '\n') {
            text += "\\n";
            continue;
        }
        if (letter == '"' || letter == '\\') {
            text += '\\';
        }
        text += letter;
    }
    return text + "\"";
}

/// What a reader that stands still may hold back before lines are dropped.
constexpr std::size_t most_kept_bytes = 256U * 1024U;

output_queue& standard_output() {
    static output_queue queue(STDOUT_FILENO, most_kept_bytes);
    return queue;
}

/// Takes the library's finished lines in place of its own writer, which would wait for the reader.
class queue_dispatch final : public el::LogDispatchCallback {
protected:
    void handle(const el::LogDispatchData* data) override {
        const el::LogMessage* message = data->logMessage();
        standard_output().add(message->logger()->logBuilder()->build(message, true));
    }
};

}  // namespace

std::uint64_t dropped_log_lines() {
    return standard_output().dropped();
}

void flush_log() {
    standard_output().flush();
}

void start_logging(std::string_view process_name) {
    process_label = process_name;
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format,
                         "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(settings);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
        "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<queue_dispatch>("queue");
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    log_event(level, event, std::span<const log_field>(fields.begin(), fields.size()));
}

void log_event(log_level level, std::string_view event, std::span<const log_field> fields) {
    std::string line = "process=" + process_label + " event=" + std::string(event);
    for (const log_field& field : fields) {
        const std::string value = needs_quotes(field.value) ? quoted(field.value) : field.value;
        line += " " + std::string(field.name) + "=" + value;
    }
    switch (level) {
        case log_level::information:
            LOG(INFO) << line;
            return;
        case log_level::warning:
            LOG(WARNING) << line;
            return;
        case log_level::error:
            LOG(ERROR) << line;
            return;
    }
}

}  // namespace wrenswitch
