// Random numbers for the routing policy. Each instance has one engine, seeded from its configuration, so that
// runs are reproducible. Decisions depend on the order of the draws.
#pragma once

#include <random>

namespace myrtlehead {

using RandomEngine = std::knuth_b;

// Draws from the uniform distribution over [0, 1).
inline double drawUniform(RandomEngine &random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace myrtlehead
