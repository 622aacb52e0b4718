// `myrtlehead check`: whether files would be taken, without serving.
#pragma once

#include <string>
#include <vector>

namespace myrtlehead::app {

// Writes what is wrong to standard output, a line each or one JSON object. 0: nothing; 1: something.
int check(const std::vector<std::string> &files, bool json);

} // namespace myrtlehead::app
