#include "wrenswitch/decision/placement/prefill_model.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

constexpr double thousand = 1e3;
constexpr double million = 1e6;

/// Initial weights: those of a rather slow current engine.
constexpr double initial_setup_ms = 50.0;
constexpr double initial_ms_per_thousand = 33.0;
constexpr double initial_ms_per_million_pairs = 0.8;

/// The uncertainty of the initial weights, as standard deviations.
constexpr double setup_std_dev = 30.0;
constexpr double per_thousand_std_dev = 15.0;
constexpr double per_million_pairs_std_dev = 0.5;

/// The noise of an observation, in ms. The gateway itself adds some ms of delay.
constexpr double observation_noise_ms = 20.0;

/// The weight of past observations per update: about the last 200 count.
constexpr double forgetting_factor = 0.995;

/// The upper bound to which forgetting may raise a variance, relative to the initial variance.
constexpr double max_variance_ratio = 1.0;

/// The maximum error of an observation, as a share of the expected time.
constexpr double max_error_share = 0.5;

/// The range of each weight, relative to its initial value.
constexpr double min_weight_ratio = 0.1;
constexpr double max_weight_ratio = 10.0;

/// The number of prompt tokens that an engine processes between two tokens of its streams: the
/// usual setting for engines with chunked prefill.
constexpr double prefill_chunk_tokens = 2048.0;

constexpr std::array<double, 3> initial_weights{initial_setup_ms, initial_ms_per_thousand,
                                                initial_ms_per_million_pairs};
constexpr std::array<double, 3> initial_std_devs{setup_std_dev, per_thousand_std_dev,
                                                 per_million_pairs_std_dev};

}  // namespace

prefill_model::prefill_model() : weights_(initial_weights) {
    for (std::size_t index = 0; index < terms; ++index) {
        covariance_[index][index] = initial_std_devs[index] * initial_std_devs[index];
    }
}

prefill_model::vector prefill_model::features(tokens prompt_tokens, tokens uncached_tokens) {
    const auto processed = static_cast<double>(uncached_tokens);
    const double mean_context = static_cast<double>(prompt_tokens) - processed / 2;
    return {1.0, processed / thousand, processed * std::max(0.0, mean_context) / million};
}

double prefill_model::first_event_ms(tokens prompt_tokens, tokens uncached_tokens) const {
    return weights_[0] + prefill_ms(prompt_tokens, uncached_tokens);
}

double prefill_model::prefill_ms(tokens prompt_tokens, tokens uncached_tokens) const {
    const vector x = features(prompt_tokens, uncached_tokens);
    return weights_[1] * x[1] + weights_[2] * x[2];
}

double prefill_model::pause_ms(tokens prompt_tokens, tokens uncached_tokens,
                               tokens tokens_per_event) const {
    const double limit = prefill_chunk_tokens * static_cast<double>(tokens_per_event);
    const auto last_chunks =
        static_cast<tokens>(std::min(static_cast<double>(uncached_tokens), limit));
    return prefill_ms(prompt_tokens, last_chunks);
}

void prefill_model::observe(tokens prompt_tokens, tokens uncached_tokens, double elapsed_ms) {
    const vector x = features(prompt_tokens, uncached_tokens);
    const double expected = first_event_ms(prompt_tokens, uncached_tokens);
    const double limit = max_error_share * expected;
    update(x, std::clamp(elapsed_ms - expected, -limit, limit));
    clamp_parameters();
}

/// One step of recursive least squares with forgetting.
void prefill_model::update(const vector& x, double error) {
    vector gain{};
    double innovation_variance = forgetting_factor * observation_noise_ms * observation_noise_ms;
    for (std::size_t row = 0; row < terms; ++row) {
        for (std::size_t column = 0; column < terms; ++column) {
            gain[row] += covariance_[row][column] * x[column];
        }
        innovation_variance += x[row] * gain[row];
    }
    for (std::size_t row = 0; row < terms; ++row) {
        weights_[row] += gain[row] / innovation_variance * error;
    }
    for (std::size_t row = 0; row < terms; ++row) {
        for (std::size_t column = 0; column < terms; ++column) {
            covariance_[row][column] -= gain[row] * gain[column] / innovation_variance;
            covariance_[row][column] /= forgetting_factor;
        }
    }
}

void prefill_model::clamp_parameters() {
    for (std::size_t index = 0; index < terms; ++index) {
        weights_[index] = std::clamp(weights_[index], min_weight_ratio * initial_weights[index],
                                     max_weight_ratio * initial_weights[index]);
        const double limit = max_variance_ratio * initial_std_devs[index] * initial_std_devs[index];
        if (covariance_[index][index] > limit) {
            // Scaling a row and its column keeps the matrix a covariance.
            const double scale = limit / covariance_[index][index];
            for (std::size_t other = 0; other < terms; ++other) {
                covariance_[index][other] *= scale;
                covariance_[other][index] *= scale;
            }
            covariance_[index][index] = limit;
        }
    }
}

}  // namespace wrenswitch
