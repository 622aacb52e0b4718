// A plain TCP relay that forwards bytes, with one server connection per client. It makes no decisions; its
// costs are the baseline that the instance's costs are compared with.
#pragma once

#include "base/net/socket.h"

#include <vector>

namespace myrtlehead::lab {

// Accepts connections on the listening descriptor until the process is killed. Each connection goes to the
// next server in turn. Aborts the process if a server can't be reached.
[[noreturn]] void runRelay(int listener, const std::vector<net::Address> &servers);

} // namespace myrtlehead::lab
