#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <functional>
#include <thread>
#include <vector>

namespace wrenswitch::experiment {

/// Calls a function for each number below a count, on all cores. Runs share nothing, so that the
/// order does not matter; results go into a vector by number.
template <typename Result>
std::vector<Result> parallel_runs(std::size_t count,
                                  const std::function<Result(std::size_t)>& run) {
    std::vector<Result> results(count);
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> workers;
    for (unsigned worker = 0; worker < std::max(1U, std::thread::hardware_concurrency());
         ++worker) {
        workers.emplace_back([&] {
            for (std::size_t index = next++; index < count; index = next++) {
                results[index] = run(index);
            }
        });
    }
    for (std::thread& worker : workers) {
        worker.join();
    }
    return results;
}

}  // namespace wrenswitch::experiment
