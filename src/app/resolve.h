// `myrtlehead resolve`: looks SRV names up once and prints what an instance would make of their records.
#pragma once

#include "base/log/log.h"
#include "base/net/socket.h"

#include <string>
#include <vector>

namespace myrtlehead::app {

// Prints the endpoints with their TTLs and sources, as a table or as JSON. `timeout`: for all look-ups, in
// nanoseconds. Returns the exit code: 0: there are endpoints; 1: there are none, and the causes are printed.
int resolve(const std::vector<std::string> &names, const std::vector<net::Address> &servers,
            sched::Nanoseconds timeout, bool json, log::Levels levels);

} // namespace myrtlehead::app
