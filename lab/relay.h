// A bare relay: bytes passed on, one connection to a server for each client. It decides nothing; it is the
// floor that the instance's costs are held against.
#pragma once

#include "base/net/socket.h"

#include <vector>

namespace myrtlehead::lab {

// Serves on the listening descriptor until it is killed.
[[noreturn]] void runRelay(int listener, const std::vector<net::Address> &servers);

} // namespace myrtlehead::lab
