#include "roles/entry/show_table.hpp"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>

namespace wrenswitch {
namespace {

std::string to_hex(incarnation_id id) {
    constexpr int hexadecimal = 16;
    std::string text(hexadecimal, '0');
    const auto [end, problem] =
        std::to_chars(text.data(), text.data() + text.size(), raw(id), hexadecimal);
    text.resize(static_cast<std::size_t>(end - text.data()));
    return text;
}

std::string member_state(const member& known) {
    if (known.fenced()) {
        return "fenced";
    }
    return known.closed ? "closed" : "active";
}

show_table member_rows(const control_state& control) {
    show_table table{{"incarnation", "role", "host", "region", "failure_domain", "service",
                      "endpoint", "operator_address", "state"},
                     {}};
    for (const auto& [id, known] : control.members()) {
        table.rows.push_back({to_hex(id), known.info.role == member_role::entry ? "entry" : "guard",
                              known.info.host, known.info.region, known.info.failure_domain,
                              known.info.service, known.info.endpoint, known.info.operator_address,
                              member_state(known)});
    }
    return table;
}

show_table host_rows(const control_state& control) {
    show_table table{{"host", "state"}, {}};
    std::map<std::string, std::string> hosts;
    for (const auto& [id, known] : control.members()) {
        if (known.active()) {
            hosts[known.info.host] = "active";
        } else {
            hosts.try_emplace(known.info.host, "gone");
        }
    }
    for (const std::string& host : control.config().drained_hosts()) {
        hosts[host] = "drained";
    }
    for (const auto& [host, state] : hosts) {
        table.rows.push_back({host, state});
    }
    return table;
}

show_table fence_rows(const control_state& control) {
    show_table table{{"incarnation", "host", "offset", "awaited", "marked", "charges"}, {}};
    for (const auto& [id, fence] : control.fences()) {
        const member* known = control.find(id);
        table.rows.push_back(
            {to_hex(id), known == nullptr ? "" : known->info.host,
             std::to_string(raw(fence.offset)), std::to_string(fence.pending_acks.size()),
             std::to_string(fence.acked_by.size()), std::to_string(fence.charges.size())});
    }
    return table;
}

/// Tokens of a budget that are held by fenced processes and cannot be spent until reclaimed.
tokens in_doubt(const budget_state& budget, const control_state& control) {
    tokens sum = 0;
    for (const holding& item : budget.holdings) {
        sum += control.is_fenced(item.holder) ? item.outstanding : 0;
    }
    return sum;
}

show_table budget_rows(const control_state& control, allocator_service& allocators,
                       std::uint32_t shards) {
    show_table table{{"name", "limit", "billed", "burnt", "available", "held", "in_doubt",
                      "running", "waiting", "unbacked"},
                     {}};
    std::map<std::string, const budget_state*> budgets;
    for (std::uint32_t index = 0; index < shards; ++index) {
        for (const auto& [id, budget] : allocators.replica(shard_index{index}).state().budgets()) {
            budgets[budget.name] = &budget;
        }
    }
    for (const auto& [name, budget] : budgets) {
        tokens held = 0;
        for (const holding& item : budget->holdings) {
            held += item.outstanding;
        }
        tokens running = 0;
        for (const charge& item : budget->running) {
            running += item.amount;
        }
        table.rows.push_back({name, std::to_string(budget->limit), std::to_string(budget->billed),
                              std::to_string(budget->burnt), std::to_string(budget->available()),
                              std::to_string(held), std::to_string(in_doubt(*budget, control)),
                              std::to_string(running), std::to_string(budget->total_waiting_need()),
                              std::to_string(budget->unbacked)});
    }
    return table;
}

show_table grant_rows(const control_state& control, allocator_service& allocators,
                      std::uint32_t shards) {
    show_table table{{"budget", "holder", "host", "tokens", "state"}, {}};
    for (std::uint32_t index = 0; index < shards; ++index) {
        for (const auto& [id, budget] : allocators.replica(shard_index{index}).state().budgets()) {
            for (const holding& item : budget.holdings) {
                const member* known = control.find(item.holder);
                const bool in_fenced_process = control.is_fenced(item.holder);
                table.rows.push_back(
                    {budget.name, to_hex(item.holder), known == nullptr ? "" : known->info.host,
                     std::to_string(item.outstanding), in_fenced_process ? "in doubt" : "held"});
            }
        }
    }
    std::sort(table.rows.begin(), table.rows.end());
    return table;
}

show_table account_rows(const configuration& config) {
    show_table table{{"name", "budget", "priority", "key_sha256"}, {}};
    for (const auto& [name, account] : config.client_accounts()) {
        table.rows.push_back(
            {name, account.budget, std::to_string(account.priority), account.key_sha256});
    }
    return table;
}

show_table service_rows(const configuration& config) {
    show_table table{{"name", "kind", "tokens_per_call", "repeatable", "concurrency"}, {}};
    for (const auto& [name, value] : config.services()) {
        table.rows.push_back(
            {name, value.model ? "model" : "plain", std::to_string(value.tokens_per_call),
             value.repeatable ? "true" : "false", std::to_string(value.concurrency)});
    }
    return table;
}

show_table configuration_rows(const control_replica& control) {
    show_table table{{"version", "offset", "age_ms", "log"}, {}};
    const instant now = monotonic_now();
    const auto age = std::chrono::duration_cast<milliseconds>(now - control.last_contact()).count();
    table.rows.push_back({std::to_string(control.state().config().version()),
                          std::to_string(raw(control.position())), std::to_string(age),
                          control.log_healthy(now) ? "reachable" : "unreachable"});
    return table;
}

std::optional<std::int64_t> parse_integer(const std::string& text) {
    std::int64_t value = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_integer = problem == std::errc{} && end == text.data() + text.size();
    return is_integer ? std::make_optional(value) : std::nullopt;
}

/// Three-way comparison; numeric if both values are integers.
int compare(const std::string& left, const std::string& right) {
    const auto left_number = parse_integer(left);
    const auto right_number = parse_integer(right);
    if (left_number && right_number) {
        return *left_number < *right_number ? -1 : (*left_number > *right_number ? 1 : 0);
    }
    return left.compare(right);
}

bool matches(const std::string& value, const command_condition& condition) {
    const int order = compare(value, condition.value);
    switch (condition.comparison) {
        case command_comparison::equal:
            return order == 0;
        case command_comparison::not_equal:
            return order != 0;
        case command_comparison::less:
            return order < 0;
        case command_comparison::greater:
            return order > 0;
    }
    return false;
}

result<std::size_t> column_of(const show_table& table, const std::string& name,
                              const std::string& place) {
    const auto found = std::find(table.columns.begin(), table.columns.end(), name);
    if (found != table.columns.end()) {
        return static_cast<std::size_t>(found - table.columns.begin());
    }
    std::string available_columns;
    for (const std::string& column : table.columns) {
        available_columns += " " + column;
    }
    return failed(error_code::bad_input,
                  place + ": found column " + name + "; allowed: one of" + available_columns);
}

}  // namespace

show_table make_show_table(const std::string& noun, const control_replica& control,
                           allocator_service& allocators, std::uint32_t shards) {
    const control_state& state = control.state();
    if (noun == "client_account") {
        return account_rows(state.config());
    }
    if (noun == "service") {
        return service_rows(state.config());
    }
    if (noun == "host") {
        return host_rows(state);
    }
    if (noun == "member") {
        return member_rows(state);
    }
    if (noun == "fence") {
        return fence_rows(state);
    }
    if (noun == "budget") {
        return budget_rows(state, allocators, shards);
    }
    if (noun == "grant") {
        return grant_rows(state, allocators, shards);
    }
    return configuration_rows(control);
}

result<show_table> apply_clauses(show_table table, const command& statement) {
    for (const command_condition& condition : statement.conditions) {
        const result<std::size_t> column = column_of(table, condition.column, statement.place);
        if (!column) {
            return column.error();
        }
        std::erase_if(table.rows, [&](const std::vector<std::string>& row) {
            return !matches(row[column.value()], condition);
        });
    }
    if (!statement.order_by.empty()) {
        const result<std::size_t> column = column_of(table, statement.order_by, statement.place);
        if (!column) {
            return column.error();
        }
        std::stable_sort(table.rows.begin(), table.rows.end(),
                         [&](const auto& left, const auto& right) {
                             const int order = compare(left[column.value()], right[column.value()]);
                             return statement.descending ? order > 0 : order < 0;
                         });
    }
    if (statement.limit && *statement.limit < table.rows.size()) {
        table.rows.resize(*statement.limit);
    }
    if (statement.columns.empty()) {
        return table;
    }
    show_table selected;
    selected.rows.resize(table.rows.size());
    for (const std::string& name : statement.columns) {
        const result<std::size_t> column = column_of(table, name, statement.place);
        if (!column) {
            return column.error();
        }
        selected.columns.push_back(name);
        for (std::size_t row = 0; row < table.rows.size(); ++row) {
            selected.rows[row].push_back(table.rows[row][column.value()]);
        }
    }
    return selected;
}

}  // namespace wrenswitch
