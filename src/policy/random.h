// Randomness as the decisions use it: one engine for each instance, seeded from its configuration, so that a
// run can be repeated. The order of draws is part of the decisions.
#pragma once

#include <random>

namespace myrtlehead {

using RandomEngine = std::knuth_b;

// A draw from [0, 1).
inline double drawUniform(RandomEngine &random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace myrtlehead
