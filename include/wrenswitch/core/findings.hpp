#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wrenswitch {

/// One thing that is wrong with an input, with the place where it stands.
struct finding {
    /// Where: a JSON pointer, a line and column, or a stream and offset.
    std::string place;
    /// What was found there.
    std::string found;
    /// What would have been allowed.
    std::string allowed;
};

/// Collects everything that is wrong with an input, so that all of it is reported together.
class findings {
public:
    /// Adds one finding.
    void add(std::string_view place, std::string_view found, std::string_view allowed);

    /// True if nothing was found.
    bool empty() const { return items_.empty(); }

    /// All findings, in the order in which they were added.
    const std::vector<finding>& items() const { return items_; }

    /// One line a finding, for a person.
    std::string to_text() const;

private:
    std::vector<finding> items_;
};

}  // namespace wrenswitch
