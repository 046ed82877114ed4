#include "main/wrenctl/output.hpp"

#include <algorithm>
#include <iomanip>
#include <vector>

namespace wrenswitch::ctl {
namespace {

using nlohmann::json;

void print_table(std::ostream& out, const json& result) {
    const json& columns = result["columns"];
    const json& rows = result["rows"];
    std::vector<std::size_t> widths;
    for (std::size_t column = 0; column < columns.size(); ++column) {
        std::size_t width = columns[column].get_ref<const std::string&>().size();
        for (const json& row : rows) {
            width = std::max(width, row[column].get_ref<const std::string&>().size());
        }
        widths.push_back(width);
    }
    const auto print_row = [&](const json& row) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            out << (column == 0 ? "" : "  ") << std::left
                << std::setw(static_cast<int>(widths[column]))
                << row[column].get_ref<const std::string&>();
        }
        out << '\n';
    };
    print_row(columns);
    for (const json& row : rows) {
        print_row(row);
    }
}

void print_lines(std::ostream& out, const json& result) {
    for (const json& row : result["rows"]) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            out << (column == 0 ? "" : " ")
                << result["columns"][column].get_ref<const std::string&>() << '='
                << row[column].get_ref<const std::string&>();
        }
        out << '\n';
    }
}

void print_findings(std::ostream& out, const json& findings) {
    for (const json& item : findings) {
        out << item["place"].get_ref<const std::string&>() << ": found "
            << item["found"].get_ref<const std::string&>()
            << "; allowed: " << item["allowed"].get_ref<const std::string&>() << '\n';
    }
}

}  // namespace

void print_answer(std::ostream& out, const json& answer, output_format format) {
    if (format == output_format::json) {
        out << answer.dump(2) << '\n';
        return;
    }
    if (answer.contains("findings")) {
        print_findings(out, answer["findings"]);
        return;
    }
    if (!answer.contains("results")) {
        out << answer.value("outcome", "refused") << ": " << answer.value("detail", "") << '\n';
        return;
    }
    for (const json& result : answer["results"]) {
        if (!result.contains("columns")) {
            out << result.value("statement", "") << ": " << result.value("outcome", "") << ". "
                << result.value("detail", "") << '\n';
        } else if (format == output_format::table) {
            print_table(out, result);
        } else {
            print_lines(out, result);
        }
    }
}

void print_timeline(std::ostream& out, const json& events, output_format format) {
    if (format == output_format::json) {
        out << events.dump(2) << '\n';
        return;
    }
    std::int64_t begin = events.empty() ? 0 : events.front().value("time_us", std::int64_t{0});
    for (const json& event : events) {
        constexpr double microseconds_a_millisecond = 1000.0;
        const auto since = event.value("time_us", std::int64_t{0}) - begin;
        out << std::right << std::setw(12) << std::fixed << std::setprecision(3)
            << static_cast<double>(since) / microseconds_a_millisecond << " ms  " << std::left
            << std::setw(18) << event.value("process", "") << "  " << std::setw(22)
            << event.value("kind", "") << "  " << event.value("request", "") << "  "
            << event.value("detail", "") << '\n';
    }
}

}  // namespace wrenswitch::ctl
