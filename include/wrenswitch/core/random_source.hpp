#pragma once

#include <cstdint>
#include <random>

namespace wrenswitch {

/// Random numbers for identifiers and for choices. Seeded from the system in a process and by hand
/// in tests and experiments, so that these repeat exactly.
class random_source {
public:
    /// Seeds from the operating system.
    random_source() : random_source(system_seed()) {}

    /// Seeds with a given number.
    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    /// A new identifier of any of the types in ids.hpp. Zero is never returned: it means none.
    template <typename Id>
    Id next_id() {
        std::uint64_t value = engine_();
        while (value == 0) {
            value = engine_();
        }
        return static_cast<Id>(value);
    }

    /// A whole number from 0 to bound - 1. The bound must be positive.
    std::uint64_t below(std::uint64_t bound) {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
    }

    /// A number in [0, 1).
    double unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(engine_); }

    /// The generator itself, for the distributions of the standard library.
    std::mt19937_64& engine() { return engine_; }

private:
    static std::uint64_t system_seed() {
        std::random_device device;
        constexpr unsigned bits_a_draw = 32;
        return (static_cast<std::uint64_t>(device()) << bits_a_draw) | device();
    }

    std::mt19937_64 engine_;
};

}  // namespace wrenswitch
