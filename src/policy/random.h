// Random numbers for the routing policy. RoutingPolicy has one engine and Router has three more. All of them
// are seeded from the instance's seed, so that runs are reproducible. Decisions depend on the order of the
// draws.
#pragma once

#include <random>

namespace myrtlehead {

using RandomEngine = std::knuth_b;

// Draws from the uniform distribution over [0, 1).
inline double drawUniform(RandomEngine &random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace myrtlehead
