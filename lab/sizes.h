// What subsets and merges cost at large size.
#pragma once

namespace myrtlehead::lab {

// Prints a table: subsets by rendezvous against modulo and random ones, and the time of a merge. 0.
int sizes();

} // namespace myrtlehead::lab
