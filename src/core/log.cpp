#include "wrenswitch/core/log.hpp"

#include <easylogging++.h>

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

}  // namespace

void start_logging(std::string_view process_name) {
    process_label = process_name;
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format,
                         "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(settings);
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
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
