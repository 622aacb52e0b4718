// The floor: what passing bytes on costs at the least, and what the instance costs beside it.
#pragma once

#include <string>

namespace myrtlehead::lab {

// Relay and instance in turn, at three loads, `runs` times each; prints medians and spreads. 0.
int floorMeasure(const std::string &marshal, const std::string &folder, int runs);

} // namespace myrtlehead::lab
