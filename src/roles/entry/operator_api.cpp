#include "roles/entry/operator_api.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "roles/entry/show_table.hpp"
#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/core/log.hpp"
#include "wrenswitch/decision/language/command_checker.hpp"
#include "wrenswitch/decision/language/command_parser.hpp"

namespace wrenswitch {
namespace {

using nlohmann::json;

/// How long a statement waits to be read back before its outcome is reported as unknown.
constexpr microseconds statement_timeout = seconds(8);

/// How often a change is retried on a newer version before it is refused as a conflict.
constexpr unsigned max_change_attempts = 20;

/// How often and at which interval a `show` checks whether the ledger replicas are live.
constexpr unsigned max_show_polls = 250;
constexpr microseconds show_poll_interval = milliseconds(20);

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_forbidden = 403;

void reply_json(const http_exchange_pointer& exchange, unsigned status, const json& body) {
    exchange->reply(status, {{"Content-Type", "application/json"}},
                    body.dump(-1, ' ', false, json::error_handler_t::replace));
}

json findings_json(const findings& problems) {
    json list = json::array();
    for (const finding& item : problems.items()) {
        list.push_back({{"place", item.place}, {"found", item.found}, {"allowed", item.allowed}});
    }
    return list;
}

std::string describe(const command& statement) {
    std::string text(name_of(statement.verb));
    text += statement.noun.empty() ? "" : " " + statement.noun;
    return text + (statement.name.empty() ? "" : " " + statement.name);
}

}  // namespace

/// The state of a script during execution.
struct operator_api::script_run {
    http_exchange_pointer exchange;
    std::vector<command> statements;
    std::size_t next = 0;
    json results = json::array();
    bool refused = false;
    bool unknown = false;
    /// Increases with each statement, so that a late outcome of a statement that timed out is
    /// ignored.
    std::uint64_t step = 0;

    void add_result(const command& statement, std::string_view outcome, std::string detail) {
        refused = refused || outcome == "refused";
        unknown = unknown || outcome == "unknown";
        results.push_back({{"statement", describe(statement)},
                           {"place", statement.place},
                           {"outcome", outcome},
                           {"detail", std::move(detail)}});
    }
};

operator_api::operator_api(const entry_settings& settings, operator_api_context context)
    : settings_(settings), context_(context) {}

bool operator_api::is_authorized(const http_exchange& exchange, operator_role required) const {
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view header = exchange.header("Authorization");
    if (header.substr(0, scheme.size()) != scheme) {
        return false;
    }
    const std::string given = sha256_hex(header.substr(scheme.size()));
    bool found = false;
    for (const operator_key& key : settings_.operator_keys) {
        const bool matches = equal_in_constant_time(given, key.sha256);
        found = found || (matches && key.role >= required);
    }
    return found;
}

operator_role operator_api::required_role(const command& statement) const {
    switch (statement.verb) {
        case command_verb::show:
        case command_verb::begin:
        case command_verb::commit:
            return operator_role::read;
        case command_verb::release:
            return operator_role::release;
        default:
            return operator_role::change;
    }
}

void operator_api::handle(const http_exchange_pointer& exchange) {
    if (!is_authorized(*exchange, operator_role::read)) {
        reply_json(
            exchange, status_forbidden,
            {{"outcome", "refused"}, {"detail", "The operator's key is missing or unknown."}});
        return;
    }
    findings problems;
    auto run = std::make_shared<script_run>();
    run->exchange = exchange;
    run->statements = parse_commands(exchange->body(), problems);
    check_commands(run->statements, problems);
    if (!problems.empty()) {
        reply_json(exchange, status_bad_request,
                   {{"outcome", "bad_command"}, {"findings", findings_json(problems)}});
        return;
    }
    for (const command& statement : run->statements) {
        if (!is_authorized(*exchange, required_role(statement))) {
            reply_json(exchange, status_forbidden,
                       {{"outcome", "refused"},
                        {"detail", statement.place + ": the operator's key does not allow " +
                                       describe(statement) + "."}});
            return;
        }
    }
    run_next_statement(run);
}

void operator_api::run_next_statement(const std::shared_ptr<script_run>& run) {
    ++run->step;
    if (run->next >= run->statements.size() || run->refused || run->unknown) {
        finish(run);
        return;
    }
    const command& statement = run->statements[run->next++];
    if (statement.verb == command_verb::begin) {
        std::vector<command> block;
        while (run->statements[run->next].verb != command_verb::commit) {
            block.push_back(run->statements[run->next++]);
        }
        ++run->next;
        run_change(run, std::move(block));
        return;
    }
    if (changes_configuration(statement)) {
        run_change(run, {statement});
    } else if (statement.verb == command_verb::show) {
        run_show(run, statement, 0);
    } else if (statement.verb == command_verb::release) {
        run_release(run, statement);
    } else {
        run_set_budget(run, statement);
    }
}

void operator_api::run_change(const std::shared_ptr<script_run>& run,
                              std::vector<command> statements) {
    if (statements.empty()) {
        run_next_statement(run);
        return;
    }
    const auto operation = context_.random.next_id<operation_id>();
    context_.loop.call_after(statement_timeout, [this, run, step = run->step, statements] {
        if (run->step == step) {
            run->add_result(statements.front(), "unknown",
                            "The log did not show the change in time; it may take effect yet.");
            run_next_statement(run);
        }
    });
    try_change(run, std::move(statements), operation, 0);
}

void operator_api::try_change(const std::shared_ptr<script_run>& run,
                              std::vector<command> statements, operation_id operation,
                              unsigned attempts) {
    const configuration& current = context_.control.state().config();
    change_set set;
    set.operation = operation;
    set.base_version = current.version();
    set.check_base_version = true;
    bool version_required = false;
    // Later statements of a block are checked against the effect of earlier ones.
    configuration preview = current;
    for (const command& statement : statements) {
        const bool stale = statement.if_version && *statement.if_version != current.version();
        if (stale) {
            run->add_result(statement, "refused",
                            "Version " + std::to_string(current.version()) + " is in force, not " +
                                std::to_string(*statement.if_version) + ".");
            run_next_statement(run);
            return;
        }
        version_required = version_required || statement.if_version.has_value();
        const result<configuration_change> change = to_configuration_change(statement, preview);
        if (!change) {
            run->add_result(statement, "refused", change.error().message);
            run_next_statement(run);
            return;
        }
        change_set single_change;
        single_change.changes = {change.value()};
        const change_outcome applied = preview.apply(single_change);
        if (applied != change_outcome::accepted) {
            run->add_result(statement, "refused", std::string(name_of(applied)));
            run_next_statement(run);
            return;
        }
        set.changes.push_back(change.value());
    }
    if (statements.front().dry_run) {
        run->add_result(statements.front(), "done", "Dry run: it would be accepted now.");
        run_next_statement(run);
        return;
    }
    context_.control.submit_change(set, [this, run, step = run->step, statements, attempts,
                                         version_required](change_outcome outcome) {
        if (run->step != step) {
            return;
        }
        const bool retry = outcome == change_outcome::refused_conflict && !version_required &&
                           attempts < max_change_attempts;
        if (retry) {
            // Another change was applied first; rebuild this one on the new version.
            try_change(run, statements, context_.random.next_id<operation_id>(), attempts + 1);
            return;
        }
        const bool accepted = outcome == change_outcome::accepted;
        const std::string version = std::to_string(context_.control.state().config().version());
        for (const command& statement : statements) {
            run->add_result(statement, accepted ? "done" : "refused",
                            accepted
                                ? "In force as version " + version + "."
                                : std::string(name_of(outcome)) + " at version " + version + ".");
        }
        run_next_statement(run);
    });
}

void operator_api::run_set_budget(const std::shared_ptr<script_run>& run,
                                  const command& statement) {
    tokens limit = 0;
    const std::string& text = *statement.find("limit");
    std::from_chars(text.data(), text.data() + text.size(), limit);
    const budget_id budget = budget_id_of(statement.name);
    const shard_index shard = context_.allocators.shard_of(budget);
    const ledger_replica& ledger = context_.allocators.replica(shard);
    const budget_state* known = ledger.state().find(budget);
    const bool created = statement.verb == command_verb::create;
    if (ledger.live() && created == (known != nullptr)) {
        run->add_result(statement, "refused",
                        created ? "The budget exists." : "There is no such budget.");
        run_next_statement(run);
        return;
    }
    if (statement.dry_run) {
        const bool fits = known == nullptr || limit >= known->committed();
        run->add_result(
            statement, fits ? "done" : "refused",
            fits ? "Dry run: it would be accepted now." : "Dry run: below what is committed.");
        run_next_statement(run);
        return;
    }
    context_.loop.call_after(statement_timeout, [this, run, step = run->step, statement] {
        if (run->step == step) {
            run->add_result(statement, "unknown",
                            "The log did not show the operation in time; it may take effect yet.");
            run_next_statement(run);
        }
    });
    const auto operation = context_.random.next_id<operation_id>();
    context_.allocators.submit(
        shard, set_budget_operation{operation, statement.name, limit},
        [this, run, step = run->step, statement, budget, shard](operation_outcome outcome) {
            if (run->step != step) {
                return;
            }
            const budget_state* state = context_.allocators.replica(shard).state().find(budget);
            std::string detail(name_of(outcome));
            if (outcome == operation_outcome::refused_below_commitments && state != nullptr) {
                detail += ": the lowest limit that would be taken now is " +
                          std::to_string(state->committed());
            }
            run->add_result(statement, took_effect(outcome) ? "done" : "refused", detail);
            run_next_statement(run);
        });
}

void operator_api::run_release(const std::shared_ptr<script_run>& run, const command& statement) {
    constexpr int hexadecimal = 16;
    std::uint64_t number = 0;
    const std::string& text = statement.name;
    std::from_chars(text.data(), text.data() + text.size(), number, hexadecimal);
    const incarnation_id holder{number};
    const auto& fences = context_.control.state().fences();
    const auto fence = fences.find(holder);
    if (fence == fences.end()) {
        run->add_result(statement, "refused", "No fenced holder has this incarnation.");
        run_next_statement(run);
        return;
    }
    log_event(log_level::warning, "doubt_released_by_operator", {{"holder", text}});
    std::size_t shards = 0;
    for (std::uint32_t index = 0; index < settings_.process.ledger_shards; ++index) {
        const ledger_state& ledger = context_.allocators.replica(shard_index{index}).state();
        if (ledger.writers().count(holder) == 0 || ledger.is_closed(holder)) {
            continue;
        }
        reclaim_operation reclaim;
        reclaim.holder = holder;
        for (const charge& item : fence->second.charges) {
            if (ledger.find(item.budget) != nullptr) {
                reclaim.charges.push_back(item);
            }
        }
        ++shards;
        context_.allocators.submit(shard_index{index}, reclaim, [](operation_outcome) {});
    }
    run->add_result(
        statement, "done",
        "Released in " + std::to_string(shards) + " ledger streams; show grant tells when.");
    run_next_statement(run);
}

bool operator_api::all_ledgers_live() const {
    bool all_live = true;
    for (std::uint32_t index = 0; index < settings_.process.ledger_shards; ++index) {
        all_live = context_.allocators.replica(shard_index{index}).live() && all_live;
    }
    return all_live;
}

void operator_api::run_show(const std::shared_ptr<script_run>& run, const command& statement,
                            unsigned polls) {
    const bool needs_ledger = statement.noun == "budget" || statement.noun == "grant";
    if (needs_ledger && !all_ledgers_live()) {
        // A replica that is still catching up would give an incomplete result.
        if (polls >= max_show_polls) {
            run->add_result(statement, "unknown",
                            "The ledger could not be read from the log in time.");
            run_next_statement(run);
            return;
        }
        context_.loop.call_after(show_poll_interval, [this, run, statement, polls] {
            run_show(run, statement, polls + 1);
        });
        return;
    }
    const result<show_table> table =
        apply_clauses(make_show_table(statement.noun, context_.control, context_.allocators,
                                      settings_.process.ledger_shards),
                      statement);
    if (!table) {
        run->add_result(statement, "refused", table.error().message);
        run_next_statement(run);
        return;
    }
    run->results.push_back({{"statement", describe(statement)},
                            {"place", statement.place},
                            {"outcome", "done"},
                            {"columns", table.value().columns},
                            {"rows", table.value().rows}});
    run_next_statement(run);
}

void operator_api::finish(const std::shared_ptr<script_run>& run) {
    const char* outcome = run->unknown ? "unknown" : (run->refused ? "refused" : "done");
    reply_json(run->exchange, 200,
               {{"outcome", outcome},
                {"version", context_.control.state().config().version()},
                {"results", run->results}});
}

}  // namespace wrenswitch
