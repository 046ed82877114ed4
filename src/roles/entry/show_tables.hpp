#pragma once

#include <string>
#include <vector>

#include "roles/entry/fleet_view.hpp"
#include "roles/entry/home_desk.hpp"
#include "wrenswitch/decision/language/command.hpp"
#include "wrenswitch/drivers/control_replica.hpp"

namespace wrenswitch {

/// What a `show` answers: named columns and rows of texts, in a stable order.
struct show_table {
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
};

/// All rows of a noun, before any clause.
show_table rows_of(const std::string& noun, const control_replica& control, home_desk& homes,
                   std::uint32_t shards);

/// Applies where, columns, order by and limit. An error names a column that does not exist.
result<show_table> select_rows(show_table table, const command& statement);

}  // namespace wrenswitch
