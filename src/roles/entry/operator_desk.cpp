#include "roles/entry/operator_desk.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "roles/entry/show_tables.hpp"
#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/core/log.hpp"
#include "wrenswitch/decision/language/command_checker.hpp"
#include "wrenswitch/decision/language/command_parser.hpp"

namespace wrenswitch {
namespace {

using nlohmann::json;

/// How long a statement waits to be read back before its outcome is called unknown.
constexpr microseconds statement_patience = seconds(8);

/// How often a change is made anew on a newer version before it is refused as a conflict.
constexpr unsigned most_change_tries = 20;

/// How often, and after which time each, a `show` looks again whether the ledger is read.
constexpr unsigned most_show_waits = 250;
constexpr microseconds show_wait = milliseconds(20);

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

/// A script that is being carried out.
struct operator_desk::script_run {
    http_exchange_pointer exchange;
    std::vector<command> statements;
    std::size_t next = 0;
    json results = json::array();
    bool refused = false;
    bool unknown = false;
    /// Counts the statements, so that a late answer to one that was given up does nothing.
    std::uint64_t step = 0;

    /// Notes the outcome of a statement.
    void note(const command& statement, std::string_view outcome, std::string detail) {
        refused = refused || outcome == "refused";
        unknown = unknown || outcome == "unknown";
        results.push_back({{"statement", describe(statement)},
                           {"place", statement.place},
                           {"outcome", outcome},
                           {"detail", std::move(detail)}});
    }
};

operator_desk::operator_desk(const entry_settings& settings, operator_desk_parts parts)
    : settings_(settings), parts_(parts) {}

bool operator_desk::allowed(const http_exchange& exchange, operator_role needed) const {
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view header = exchange.header("Authorization");
    if (header.substr(0, scheme.size()) != scheme) {
        return false;
    }
    const std::string given = sha256_hex(header.substr(scheme.size()));
    bool found = false;
    for (const operator_key& key : settings_.operator_keys) {
        const bool same = equal_in_constant_time(given, key.sha256);
        found = found || (same && key.role >= needed);
    }
    return found;
}

operator_role operator_desk::needed_for(const command& statement) const {
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

void operator_desk::handle(const http_exchange_pointer& exchange) {
    if (!allowed(*exchange, operator_role::read)) {
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
        if (!allowed(*exchange, needed_for(statement))) {
            reply_json(exchange, status_forbidden,
                       {{"outcome", "refused"},
                        {"detail", statement.place + ": the operator's key does not allow " +
                                       describe(statement) + "."}});
            return;
        }
    }
    run_next(run);
}

void operator_desk::run_next(const std::shared_ptr<script_run>& run) {
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

void operator_desk::run_change(const std::shared_ptr<script_run>& run,
                               std::vector<command> statements) {
    if (statements.empty()) {
        run_next(run);
        return;
    }
    const auto operation = parts_.random.next_id<operation_id>();
    parts_.loop.call_after(statement_patience, [this, run, step = run->step, statements] {
        if (run->step == step) {
            run->note(statements.front(), "unknown",
                      "The log did not show the change in time; it may take effect yet.");
            run_next(run);
        }
    });
    try_change(run, std::move(statements), operation, 0);
}

void operator_desk::try_change(const std::shared_ptr<script_run>& run,
                               std::vector<command> statements, operation_id operation,
                               unsigned tries) {
    const configuration& current = parts_.control.state().config();
    change_set set;
    set.operation = operation;
    set.base_version = current.version();
    set.check_base_version = true;
    bool asked_for_version = false;
    // Later statements of a block build on the earlier ones.
    configuration scratch = current;
    for (const command& statement : statements) {
        const bool stale = statement.if_version && *statement.if_version != current.version();
        if (stale) {
            run->note(statement, "refused",
                      "Version " + std::to_string(current.version()) + " is in force, not " +
                          std::to_string(*statement.if_version) + ".");
            run_next(run);
            return;
        }
        asked_for_version = asked_for_version || statement.if_version.has_value();
        const result<configuration_change> change = to_configuration_change(statement, scratch);
        if (!change) {
            run->note(statement, "refused", change.error().message);
            run_next(run);
            return;
        }
        change_set single;
        single.changes = {change.value()};
        const change_outcome applied = scratch.apply(single);
        if (applied != change_outcome::accepted) {
            run->note(statement, "refused", std::string(name_of(applied)));
            run_next(run);
            return;
        }
        set.changes.push_back(change.value());
    }
    if (statements.front().dry_run) {
        run->note(statements.front(), "done", "Dry run: it would be accepted now.");
        run_next(run);
        return;
    }
    parts_.control.submit_change(set, [this, run, step = run->step, statements, tries,
                                       asked_for_version](change_outcome outcome) {
        if (run->step != step) {
            return;
        }
        const bool again = outcome == change_outcome::refused_conflict && !asked_for_version &&
                           tries < most_change_tries;
        if (again) {
            // Another change came between; this one is made anew on top of it.
            try_change(run, statements, parts_.random.next_id<operation_id>(), tries + 1);
            return;
        }
        const bool accepted = outcome == change_outcome::accepted;
        const std::string version = std::to_string(parts_.control.state().config().version());
        for (const command& statement : statements) {
            run->note(statement, accepted ? "done" : "refused",
                      accepted ? "In force as version " + version + "."
                               : std::string(name_of(outcome)) + " at version " + version + ".");
        }
        run_next(run);
    });
}

void operator_desk::run_set_budget(const std::shared_ptr<script_run>& run,
                                   const command& statement) {
    tokens limit = 0;
    const std::string& text = *statement.find("limit");
    std::from_chars(text.data(), text.data() + text.size(), limit);
    const budget_id budget = budget_id_of(statement.name);
    const shard_index shard = parts_.homes.shard_of(budget);
    const ledger_replica& ledger = parts_.homes.replica(shard);
    const budget_state* known = ledger.state().find(budget);
    const bool created = statement.verb == command_verb::create;
    if (ledger.live() && created == (known != nullptr)) {
        run->note(statement, "refused",
                  created ? "The budget exists." : "There is no such budget.");
        run_next(run);
        return;
    }
    if (statement.dry_run) {
        const bool fits = known == nullptr || limit >= known->committed();
        run->note(
            statement, fits ? "done" : "refused",
            fits ? "Dry run: it would be accepted now." : "Dry run: below what is committed.");
        run_next(run);
        return;
    }
    parts_.loop.call_after(statement_patience, [this, run, step = run->step, statement] {
        if (run->step == step) {
            run->note(statement, "unknown",
                      "The log did not show the operation in time; it may take effect yet.");
            run_next(run);
        }
    });
    const auto operation = parts_.random.next_id<operation_id>();
    parts_.homes.submit(
        shard, set_budget_operation{operation, statement.name, limit},
        [this, run, step = run->step, statement, budget, shard](operation_outcome outcome) {
            if (run->step != step) {
                return;
            }
            const budget_state* state = parts_.homes.replica(shard).state().find(budget);
            std::string detail(name_of(outcome));
            if (outcome == operation_outcome::refused_below_commitments && state != nullptr) {
                detail += ": the lowest limit that would be taken now is " +
                          std::to_string(state->committed());
            }
            run->note(statement, took_effect(outcome) ? "done" : "refused", detail);
            run_next(run);
        });
}

void operator_desk::run_release(const std::shared_ptr<script_run>& run, const command& statement) {
    constexpr int hexadecimal = 16;
    std::uint64_t number = 0;
    const std::string& text = statement.name;
    std::from_chars(text.data(), text.data() + text.size(), number, hexadecimal);
    const incarnation_id holder{number};
    const auto& fences = parts_.control.state().fences();
    const auto fence = fences.find(holder);
    if (fence == fences.end()) {
        run->note(statement, "refused", "No fenced holder has this incarnation.");
        run_next(run);
        return;
    }
    log_event(log_level::warning, "doubt_released_by_operator", {{"holder", text}});
    std::size_t shards = 0;
    for (std::uint32_t index = 0; index < settings_.process.ledger_shards; ++index) {
        const ledger_state& ledger = parts_.homes.replica(shard_index{index}).state();
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
        parts_.homes.submit(shard_index{index}, reclaim, [](operation_outcome) {});
    }
    run->note(statement, "done",
              "Released in " + std::to_string(shards) + " ledger streams; show grant tells when.");
    run_next(run);
}

bool operator_desk::ledgers_read() const {
    bool read = true;
    for (std::uint32_t index = 0; index < settings_.process.ledger_shards; ++index) {
        read = parts_.homes.replica(shard_index{index}).live() && read;
    }
    return read;
}

void operator_desk::run_show(const std::shared_ptr<script_run>& run, const command& statement,
                             unsigned waits) {
    const bool of_ledger = statement.noun == "budget" || statement.noun == "grant";
    if (of_ledger && !ledgers_read()) {
        // This entry has just begun to read a ledger stream; half of it would be a wrong answer.
        if (waits >= most_show_waits) {
            run->note(statement, "unknown", "The ledger could not be read from the log in time.");
            run_next(run);
            return;
        }
        parts_.loop.call_after(
            show_wait, [this, run, statement, waits] { run_show(run, statement, waits + 1); });
        return;
    }
    const result<show_table> table = select_rows(
        rows_of(statement.noun, parts_.control, parts_.homes, settings_.process.ledger_shards),
        statement);
    if (!table) {
        run->note(statement, "refused", table.error().message);
        run_next(run);
        return;
    }
    run->results.push_back({{"statement", describe(statement)},
                            {"place", statement.place},
                            {"outcome", "done"},
                            {"columns", table.value().columns},
                            {"rows", table.value().rows}});
    run_next(run);
}

void operator_desk::finish(const std::shared_ptr<script_run>& run) {
    const char* outcome = run->unknown ? "unknown" : (run->refused ? "refused" : "done");
    reply_json(run->exchange, 200,
               {{"outcome", outcome},
                {"version", parts_.control.state().config().version()},
                {"results", run->results}});
}

}  // namespace wrenswitch
