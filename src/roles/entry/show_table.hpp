#pragma once

#include <string>
#include <vector>

#include "roles/entry/allocator_service.hpp"
#include "roles/entry/cluster_view.hpp"
#include "wrenswitch/decision/language/command.hpp"
#include "wrenswitch/drivers/control_replica.hpp"

namespace wrenswitch {

/// The result of a `show` statement: named columns and rows of text, in a stable order.
struct show_table {
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
};

/// Returns all rows of a noun, before any clause is applied. `shards` is the number of ledger
/// shards; their replicas must be live for `budget` and `grant`.
show_table make_show_table(const std::string& noun, const control_replica& control,
                           allocator_service& allocators, std::uint32_t shards);

/// Applies the where, columns, order by and limit clauses. Fails if a clause names an unknown
/// column.
result<show_table> apply_clauses(show_table table, const command& statement);

}  // namespace wrenswitch
