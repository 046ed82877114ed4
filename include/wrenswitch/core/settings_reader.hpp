#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/findings.hpp"

namespace wrenswitch {

/// Reads one JSON object of settings member by member. Whatever is missing, of the wrong type, out
/// of range, unknown or given twice becomes a finding; reading goes on, so that all findings come
/// together.
class settings_reader {
public:
    /// Parses a text. A syntax error is a finding with its byte offset.
    static settings_reader parse(std::string_view text, findings& problems);

    ~settings_reader();
    settings_reader(settings_reader&&) noexcept;
    settings_reader(const settings_reader&) = delete;
    settings_reader& operator=(const settings_reader&) = delete;
    settings_reader& operator=(settings_reader&&) = delete;

    /// A required text that is not empty.
    std::string text(std::string_view name);

    /// An optional text.
    std::string text_or(std::string_view name, std::string_view fallback);

    /// A required text that must be one of the given ones.
    std::string choice(std::string_view name, std::span<const std::string_view> allowed);

    /// A required whole number from least to most.
    std::int64_t integer(std::string_view name, std::int64_t least, std::int64_t most);

    /// An optional whole number from least to most.
    std::int64_t integer_or(std::string_view name, std::int64_t fallback, std::int64_t least,
                            std::int64_t most);

    /// An optional number from least to most.
    double number_or(std::string_view name, double fallback, double least, double most);

    /// An optional true or false.
    bool boolean_or(std::string_view name, bool fallback);

    /// An optional list of texts.
    std::vector<std::string> texts_or_empty(std::string_view name);

    /// The members of an optional object whose values are all texts, by name. Those that are empty
    /// or no texts are findings and left out.
    std::map<std::string, std::string> text_table_or_empty(std::string_view name);

    /// Reports each member that was not asked for. To be called once, at the end.
    void finish();

private:
    struct state;
    explicit settings_reader(std::unique_ptr<state> initial);
    std::unique_ptr<state> state_;
};

/// Reads a whole file of settings into a text. A file that cannot be read is a finding.
std::string read_settings_file(const std::string& path, findings& problems);

}  // namespace wrenswitch
