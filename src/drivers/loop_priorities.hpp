#pragma once

namespace wrenswitch {

/// How many priorities the loop has. What isn't given one gets the second.
constexpr int loop_priorities = 2;

/// What goes before everything else: messages of the fleet and answers of the platform's service.
/// libevent reads 4 KB at a time, so that an answer of 400 KB takes a hundred turns of the loop. An
/// entry that was busy with its callers needed up to 6.7 s for one, with 25 configurations in it.
constexpr int first_priority = 0;

}  // namespace wrenswitch
