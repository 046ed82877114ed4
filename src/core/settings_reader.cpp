#include "wrenswitch/core/settings_reader.hpp"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace wrenswitch {

using nlohmann::json;

struct settings_reader::state {
    json object = json::object();
    findings* problems = nullptr;
    std::set<std::string, std::less<>> asked;

    /// The member with this name, or null if it is absent.
    const json* find(std::string_view name) {
        asked.emplace(name);
        const auto found = object.find(std::string(name));
        return found == object.end() ? nullptr : &*found;
    }

    void report(std::string_view name, std::string_view found, std::string_view allowed) const {
        problems->add("/" + std::string(name), found, allowed);
    }
};

namespace {

/// Finds names that one object has twice, of which a parsed object keeps the last only.
class repeated_names {
public:
    explicit repeated_names(findings& problems) : problems_(problems) {}

    void take(json::parse_event_t event, const json& parsed) {
        if (event == json::parse_event_t::object_start) {
            open_.emplace_back();
        } else if (event == json::parse_event_t::object_end) {
            open_.pop_back();
        } else if (event == json::parse_event_t::key) {
            take_name(parsed.get<std::string>());
        }
    }

private:
    struct open_object {
        std::set<std::string> names;
        std::string last;
    };

    void take_name(const std::string& name) {
        open_.back().last = name;
        if (open_.back().names.insert(name).second) {
            return;
        }
        std::string place;
        for (const open_object& each : open_) {
            place += "/" + each.last;
        }
        problems_.add(place, "the name twice", "each name once");
    }

    findings& problems_;
    std::vector<open_object> open_;
};

std::string range_text(std::int64_t least, std::int64_t most) {
    return "a whole number from " + std::to_string(least) + " to " + std::to_string(most);
}

std::string list_text(std::span<const std::string_view> allowed) {
    std::string text = "one of";
    for (const std::string_view word : allowed) {
        text += " \"" + std::string(word) + "\"";
    }
    return text;
}

}  // namespace

settings_reader settings_reader::parse(std::string_view text, findings& problems) {
    auto initial = std::make_unique<state>();
    initial->problems = &problems;
    try {
        repeated_names repeated(problems);
        initial->object =
            json::parse(text, [&repeated](int, json::parse_event_t event, const json& parsed) {
                repeated.take(event, parsed);
                return true;
            });
    } catch (const json::parse_error& problem) {
        problems.add("byte " + std::to_string(problem.byte), "text that is not JSON",
                     "a JSON object");
        initial->object = json::object();
    }
    if (!initial->object.is_object()) {
        problems.add("/", initial->object.type_name(), "a JSON object");
        initial->object = json::object();
    }
    return settings_reader(std::move(initial));
}

settings_reader::settings_reader(std::unique_ptr<state> initial) : state_(std::move(initial)) {}
settings_reader::~settings_reader() = default;
settings_reader::settings_reader(settings_reader&&) noexcept = default;

std::string settings_reader::text(std::string_view name) {
    const json* value = state_->find(name);
    if (value == nullptr) {
        state_->report(name, "nothing", "a text");
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
        state_->report(name, value->dump(), "a text that is not empty");
        return {};
    }
    return value->get<std::string>();
}

std::string settings_reader::text_or(std::string_view name, std::string_view fallback) {
    if (state_->find(name) == nullptr) {
        return std::string(fallback);
    }
    return text(name);
}

std::string settings_reader::choice(std::string_view name,
                                    std::span<const std::string_view> allowed) {
    const json* value = state_->find(name);
    if (value == nullptr) {
        state_->report(name, "nothing", list_text(allowed));
        return {};
    }
    const bool known =
        value->is_string() && std::find(allowed.begin(), allowed.end(),
                                        value->get_ref<const std::string&>()) != allowed.end();
    if (!known) {
        state_->report(name, value->dump(), list_text(allowed));
        return {};
    }
    return value->get<std::string>();
}

std::int64_t settings_reader::integer(std::string_view name, std::int64_t least,
                                      std::int64_t most) {
    const json* value = state_->find(name);
    if (value == nullptr) {
        state_->report(name, "nothing", range_text(least, most));
        return least;
    }
    const bool in_range = value->is_number_integer() && value->get<std::int64_t>() >= least &&
                          value->get<std::int64_t>() <= most;
    if (!in_range) {
        state_->report(name, value->dump(), range_text(least, most));
        return least;
    }
    return value->get<std::int64_t>();
}

std::int64_t settings_reader::integer_or(std::string_view name, std::int64_t fallback,
                                         std::int64_t least, std::int64_t most) {
    if (state_->find(name) == nullptr) {
        return fallback;
    }
    return integer(name, least, most);
}

double settings_reader::number_or(std::string_view name, double fallback, double least,
                                  double most) {
    const json* value = state_->find(name);
    if (value == nullptr) {
        return fallback;
    }
    const bool in_range =
        value->is_number() && value->get<double>() >= least && value->get<double>() <= most;
    if (!in_range) {
        std::ostringstream allowed;
        allowed << "a number from " << least << " to " << most;
        state_->report(name, value->dump(), allowed.str());
        return fallback;
    }
    return value->get<double>();
}

bool settings_reader::boolean_or(std::string_view name, bool fallback) {
    const json* value = state_->find(name);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        state_->report(name, value->dump(), "true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::vector<std::string> settings_reader::texts_or_empty(std::string_view name) {
    const json* value = state_->find(name);
    if (value == nullptr) {
        return {};
    }
    const bool all_texts =
        value->is_array() && std::all_of(value->begin(), value->end(),
                                         [](const json& item) { return item.is_string(); });
    if (!all_texts) {
        state_->report(name, value->dump(), "a list of texts");
        return {};
    }
    return value->get<std::vector<std::string>>();
}

std::map<std::string, std::string> settings_reader::text_table_or_empty(std::string_view name) {
    const json* value = state_->find(name);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_object()) {
        state_->report(name, value->dump(), "an object of texts");
        return {};
    }
    std::map<std::string, std::string> texts;
    for (const auto& [key, item] : value->items()) {
        if (key.empty() || !item.is_string() || item.get_ref<const std::string&>().empty()) {
            state_->report(std::string(name) + "/" + key, item.dump(),
                           "a name and a text that are not empty");
            continue;
        }
        texts.emplace(key, item.get<std::string>());
    }
    return texts;
}

void settings_reader::finish() {
    for (const auto& [name, value] : state_->object.items()) {
        if (state_->asked.count(name) == 0) {
            std::string known = "one of";
            for (const std::string& asked : state_->asked) {
                known += " " + asked;
            }
            state_->report(name, "an unknown name", known);
        }
    }
}

std::string read_settings_file(const std::string& path, findings& problems) {
    std::ifstream file(path);
    if (!file) {
        problems.add(path, "no readable file", "a file of settings in JSON");
        return {};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}  // namespace wrenswitch
